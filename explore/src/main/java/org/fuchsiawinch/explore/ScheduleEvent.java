package org.fuchsiawinch.explore;

import java.util.List;

/** Something that a schedule brings about. Node index {@link #OWNER} stands for the cell's owner. */
sealed interface ScheduleEvent {

    /** Node index that stands for whichever node schedules the cell at that time. */
    int OWNER = -1;

    /** Virtual time in ms since the start of the schedule. */
    long atMs();

    /** Callers submit a job to nodes at the same moment; a conflicting one reuses the key for another payload. */
    record Submit(long atMs, int job, int callers, boolean conflicting) implements ScheduleEvent {}

    /** A caller cancels a job. */
    record Cancel(long atMs, int job) implements ScheduleEvent {}

    /** Editors propose changes against the version that each sees. */
    record DocumentRace(long atMs, int editors) implements ScheduleEvent {}

    /** The log takes and gives nothing. */
    record LogOutage(long atMs, long forMs) implements ScheduleEvent {}

    /** The log answers late. */
    record LogSlow(long atMs, long forMs, long delayMs) implements ScheduleEvent {}

    /** Appends get lost, take effect without an answer, or arrive after their timeout. */
    record AppendFaults(long atMs, long forMs, int lostPercent, int unansweredPercent, int latePercent)
            implements ScheduleEvent {}

    /** A node's process stands still while its inputs queue up. */
    record NodePaused(long atMs, int node, long forMs) implements ScheduleEvent {}

    /** A node dies; a new one with a new id takes its place. */
    record NodeKilled(long atMs, int node, long downMs) implements ScheduleEvent {}

    /** All nodes die at once. */
    record AllNodesKilled(long atMs, long downMs) implements ScheduleEvent {}

    /** A node is stopped in a planned way; a new one takes its place afterwards. */
    record NodeDrained(long atMs, int node) implements ScheduleEvent {}

    /** A node cannot reach the log; its workers stay reachable. */
    record NodeCutFromLog(long atMs, int node, long forMs) implements ScheduleEvent {}

    /** A node cannot reach some workers. */
    record NodeCutFromWorkers(long atMs, int node, List<Integer> workers, long forMs) implements ScheduleEvent {}

    /** A connection swallows all commands until it is replaced. */
    record ConnectionSilent(long atMs, int node, int worker) implements ScheduleEvent {}

    /** Commands and their answers get lost, late or doubled. */
    record CommandFaults(long atMs, long forMs, int lostPercent, int doubledPercent, long delayMs)
            implements ScheduleEvent {}

    /** A worker is about to leave, says so itself or only by the VM list, and is gone later. */
    record WorkerLeaves(long atMs, int worker, boolean saysSo, long goneAfterMs) implements ScheduleEvent {}

    /** A worker's VM is lost; a VM of the same name may come later. */
    record WorkerLost(long atMs, int worker, long backAfterMs) implements ScheduleEvent {}

    /** A worker's process restarts and holds nothing. */
    record WorkerRestarted(long atMs, int worker, long downMs) implements ScheduleEvent {}

    /** The VM list lags more than usual. */
    record ListLagged(long atMs, long forMs, long lagMs) implements ScheduleEvent {}
}
