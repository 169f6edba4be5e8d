package org.fuchsiawinch.explore;

import java.util.List;

/** Event that a schedule injects. The node index {@link #OWNER} stands for the owner of the cell. */
sealed interface ScheduleEvent {

    /** Node index that stands for the node that owns the cell at the time of the event. */
    int OWNER = -1;

    /** Returns the virtual time since the start of the schedule, in ms. */
    long atMs();

    /** Callers submit a job at the same time; if conflicting, all but the first reuse its key for other payloads. */
    record Submit(long atMs, int job, int callers, boolean conflicting) implements ScheduleEvent {}

    /** A caller cancels a job. */
    record Cancel(long atMs, int job) implements ScheduleEvent {}

    /** Editors propose changes concurrently, each on the version in force on the node that it reaches. */
    record DocumentRace(long atMs, int editors) implements ScheduleEvent {}

    /** The log is unavailable for appends and reads. */
    record LogOutage(long atMs, long forMs) implements ScheduleEvent {}

    /** The log answers with extra delay. */
    record LogSlow(long atMs, long forMs, long delayMs) implements ScheduleEvent {}

    /** Appends are lost, take effect without an answer or take effect after their timeout. */
    record AppendFaults(long atMs, long forMs, int lostPercent, int unansweredPercent, int latePercent)
            implements ScheduleEvent {}

    /** The process of a node is paused while its inputs queue up. */
    record NodePaused(long atMs, int node, long forMs) implements ScheduleEvent {}

    /** A node is killed; a new node with a new id replaces it after {@code downMs}. */
    record NodeKilled(long atMs, int node, long downMs) implements ScheduleEvent {}

    /** All nodes are killed at the same time. */
    record AllNodesKilled(long atMs, long downMs) implements ScheduleEvent {}

    /** A node is drained; a new node replaces it afterwards. */
    record NodeDrained(long atMs, int node) implements ScheduleEvent {}

    /** A node cannot reach the log; its workers stay reachable. */
    record NodeCutFromLog(long atMs, int node, long forMs) implements ScheduleEvent {}

    /** A node cannot reach some workers. */
    record NodeCutFromWorkers(long atMs, int node, List<Integer> workers, long forMs) implements ScheduleEvent {}

    /** A connection silently drops all commands until it is replaced. */
    record ConnectionSilent(long atMs, int node, int worker) implements ScheduleEvent {}

    /** Commands and their answers are lost, delayed or duplicated. */
    record CommandFaults(long atMs, long forMs, int lostPercent, int doubledPercent, long delayMs)
            implements ScheduleEvent {}

    /** A worker is leaving, announced by itself or by the VM list only, and is lost after {@code goneAfterMs}. */
    record WorkerLeaves(long atMs, int worker, boolean saysSo, long goneAfterMs) implements ScheduleEvent {}

    /** The VM of a worker is lost; a VM of the same name may replace it later. */
    record WorkerLost(long atMs, int worker, long backAfterMs) implements ScheduleEvent {}

    /** The process of a worker restarts without any state. */
    record WorkerRestarted(long atMs, int worker, long downMs) implements ScheduleEvent {}

    /** The VM list lags by {@code lagMs} instead of its usual lag. */
    record ListLagged(long atMs, long forMs, long lagMs) implements ScheduleEvent {}
}
