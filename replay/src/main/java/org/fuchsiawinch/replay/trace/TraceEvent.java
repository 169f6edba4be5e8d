package org.fuchsiawinch.replay.trace;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** Event of a trace; each line after the header holds one. Times are in ms from the start of the trace. */
public sealed interface TraceEvent {

    /**
     * Returns when the event happens.
     *
     * @return time in ms from the start of the trace
     */
    long atMs();

    /**
     * A worker starts to serve.
     *
     * @param atMs time in ms
     * @param worker its description
     */
    record WorkerJoins(long atMs, WorkerSpec worker) implements TraceEvent {}

    /**
     * A caller submits a job.
     *
     * @param atMs time in ms
     * @param job the job with its true run time and memory
     */
    record Submit(long atMs, TraceJob job) implements TraceEvent {}

    /**
     * A caller cancels a job.
     *
     * @param atMs time in ms
     * @param job the job
     */
    record Cancel(long atMs, JobId job) implements TraceEvent {}

    /**
     * A worker fails and everything on it stops.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerLost(long atMs, WorkerId worker) implements TraceEvent {}

    /**
     * A worker becomes unreachable; its parts continue to run until its lease expires.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerSilent(long atMs, WorkerId worker) implements TraceEvent {}

    /**
     * A lost, silent or departed worker serves again.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerBack(long atMs, WorkerId worker) implements TraceEvent {}

    /**
     * A worker starts to leave; it departs once its running parts have ended.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerLeaving(long atMs, WorkerId worker) implements TraceEvent {}

    /**
     * A worker fails every task that starts on it.
     *
     * @param atMs time in ms
     * @param worker the worker
     * @param untilMs time in ms at which it works again
     */
    record WorkerFaulty(long atMs, WorkerId worker, long untilMs) implements TraceEvent {}

    /**
     * Usage reports are delayed from this time on.
     *
     * @param atMs time in ms
     * @param lagMs delay of a report in ms
     */
    record UsageLag(long atMs, long lagMs) implements TraceEvent {}

    /**
     * The platform's log accepts no appends.
     *
     * @param atMs time in ms
     * @param untilMs time in ms at which the log is available again
     */
    record LogOutage(long atMs, long untilMs) implements TraceEvent {}

    /**
     * A new version of the document is accepted.
     *
     * @param atMs time in ms
     * @param file file of the document, relative to the directory of the trace
     */
    record DocumentChange(long atMs, String file) implements TraceEvent {}
}
