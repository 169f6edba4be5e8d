package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.workflow.job.TaskRun;

/**
 * Start orders to one worker that no answer has settled. Such an order may be carried out seconds later, also by the
 * next incarnation of the worker, which knows neither the fence nor the ended runs of the earlier one. The orders are
 * kept beyond the ends of their runs, so that they can be barred there. Not thread-safe.
 */
final class UnansweredStarts {

    /** Longest delay in ms of an order that the network or the worker holds back. */
    static final long MAX_ORDER_DELAY_MS = 15_000;

    /** Delay in ms between two stop orders for the same run. */
    private static final long STOP_RETRY_MS = 400;

    private static final class Order {
        int unanswered;
        long incarnation;
        long sentMs;

        /** Incarnation that has accepted, or is being sent, a stop; 0 for none. */
        long stopIncarnation;

        boolean stopAccepted;
        long stopSentMs;
    }

    private final Map<TaskRun, Order> orders = new LinkedHashMap<>();

    /** Records that a start order is being sent to an incarnation of the worker. */
    void sent(TaskRun run, long incarnation, long nowMs) {
        Order order = orders.computeIfAbsent(run, id -> new Order());
        order.unanswered++;
        order.incarnation = incarnation;
        order.sentMs = nowMs;
    }

    /** Records the answer to one start order of a run. */
    void answered(TaskRun run) {
        Order order = orders.get(run);
        if (order != null && --order.unanswered == 0) {
            orders.remove(run);
        }
    }

    /** Returns whether no order can be carried out any more. */
    boolean settled(long nowMs) {
        orders.values().removeIf(order -> nowMs - order.sentMs > MAX_ORDER_DELAY_MS);
        return orders.isEmpty();
    }

    /** Records that the worker has accepted a stop of a run, and so refuses late start orders of it. */
    void stopAccepted(TaskRun run, long incarnation) {
        Order order = orders.get(run);
        if (order != null && order.stopIncarnation == incarnation) {
            order.stopAccepted = true;
        }
    }

    /**
     * Returns the runs for which the present incarnation needs a stop now, since their orders were sent to an earlier
     * one. Counts each as sent.
     */
    List<TaskRun> stopsDue(long incarnation, long nowMs) {
        if (settled(nowMs)) {
            return List.of();
        }
        List<TaskRun> due = new ArrayList<>();
        orders.forEach((run, order) -> {
            if (order.incarnation == incarnation) {
                return;
            }
            boolean sent = order.stopIncarnation == incarnation;
            if (!sent || !order.stopAccepted && nowMs - order.stopSentMs >= STOP_RETRY_MS) {
                order.stopIncarnation = incarnation;
                order.stopAccepted = false;
                order.stopSentMs = nowMs;
                due.add(run);
            }
        });
        return due;
    }
}
