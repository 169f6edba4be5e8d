package org.fuchsiawinch.replay.trace;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** One line of a trace after its header. Times are in ms from the start of the trace. */
public sealed interface TraceEvent {

    /**
     * Tells when the event happens.
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
     * @param job the job with its true figures
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
     * A worker dies with all that runs on it.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerLost(long atMs, WorkerId worker) implements TraceEvent {}

    /**
     * A worker can't be reached; what runs on it goes on until its lease lapses.
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
     * A worker starts to leave; it departs when its running parts have ended.
     *
     * @param atMs time in ms
     * @param worker the worker
     */
    record WorkerLeaving(long atMs, WorkerId worker) implements TraceEvent {}

    /**
     * A worker fails everything that starts on it.
     *
     * @param atMs time in ms
     * @param worker the worker
     * @param untilMs time in ms at which it works again
     */
    record WorkerFaulty(long atMs, WorkerId worker, long untilMs) implements TraceEvent {}

    /**
     * Usage reports are late from now on.
     *
     * @param atMs time in ms
     * @param lagMs time in ms from the use to its report
     */
    record UsageLag(long atMs, long lagMs) implements TraceEvent {}

    /**
     * The platform's log takes no appends.
     *
     * @param atMs time in ms
     * @param untilMs time in ms at which it is back
     */
    record LogOutage(long atMs, long untilMs) implements TraceEvent {}

    /**
     * A new version of the document is accepted.
     *
     * @param atMs time in ms
     * @param file its file, relative to the trace's folder
     */
    record DocumentChange(long atMs, String file) implements TraceEvent {}
}
