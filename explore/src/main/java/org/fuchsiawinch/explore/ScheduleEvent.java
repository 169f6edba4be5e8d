package org.fuchsiawinch.explore;

import java.util.List;

/** Event that a schedule injects. Durations and delays are virtual, in ms; percentages are probabilities. */
sealed interface ScheduleEvent {

    /** Node index that stands for the node that owns the cell at the time of the event. */
    int OWNER = -1;

    /** Returns the virtual time since the start of the schedule, in ms. */
    long atMs();

    /**
     * Submission of a job by one or more callers at the same time. If conflicting, all callers but the first reuse the
     * job's key for other payloads.
     */
    record Submit(long atMs, int job, int callers, boolean conflicting) implements ScheduleEvent {}

    /** Cancellation of a job by a caller. */
    record Cancel(long atMs, int job) implements ScheduleEvent {}

    /** Concurrent proposals of editors, each on the version in force on the node that it reaches. */
    record DocumentRace(long atMs, int editors) implements ScheduleEvent {}

    /** Outage of the log for appends and reads. */
    record LogOutage(long atMs, long forMs) implements ScheduleEvent {}

    /** Extra delay of the log of up to {@code delayMs} each way. */
    record LogSlow(long atMs, long forMs, long delayMs) implements ScheduleEvent {}

    /** Appends that are lost, take effect without an answer or take effect after their timeout. */
    record AppendFaults(long atMs, long forMs, int lostPercent, int unansweredPercent, int latePercent)
            implements ScheduleEvent {}

    /** Pause of the process of a node while its inputs queue up. */
    record NodePaused(long atMs, int node, long forMs) implements ScheduleEvent {}

    /** Kill of a node; a new node with a new id replaces it after {@code downMs}. */
    record NodeKilled(long atMs, int node, long downMs) implements ScheduleEvent {}

    /** Kill of all nodes at the same time; new nodes replace them after {@code downMs}. */
    record AllNodesKilled(long atMs, long downMs) implements ScheduleEvent {}

    /** Drain of a node; a new node replaces it afterwards. */
    record NodeDrained(long atMs, int node) implements ScheduleEvent {}

    /** Disconnection of a node from the log; its workers stay reachable. */
    record NodeCutFromLog(long atMs, int node, long forMs) implements ScheduleEvent {}

    /** Disconnection of a node from some workers. */
    record NodeCutFromWorkers(long atMs, int node, List<Integer> workers, long forMs) implements ScheduleEvent {}

    /** Connection that silently drops all commands until it is replaced. */
    record ConnectionSilent(long atMs, int node, int worker) implements ScheduleEvent {}

    /** Commands that are duplicated, and commands and answers that are lost or delayed. */
    record CommandFaults(long atMs, long forMs, int lostPercent, int doubledPercent, long delayMs)
            implements ScheduleEvent {}

    /** Leave of a worker, announced by itself or by the VM list only; it is lost after {@code goneAfterMs}. */
    record WorkerLeaves(long atMs, int worker, boolean saysSo, long goneAfterMs) implements ScheduleEvent {}

    /**
     * Loss of the VM of a worker. A VM of the same name replaces it after {@code backAfterMs}, but no sooner than after
     * 10 s; with 0, only if few workers are left.
     */
    record WorkerLost(long atMs, int worker, long backAfterMs) implements ScheduleEvent {}

    /** Restart of the process of a worker without any state. */
    record WorkerRestarted(long atMs, int worker, long downMs) implements ScheduleEvent {}

    /** Lag of the VM list of {@code lagMs} instead of its usual lag. */
    record ListLagged(long atMs, long forMs, long lagMs) implements ScheduleEvent {}
}
