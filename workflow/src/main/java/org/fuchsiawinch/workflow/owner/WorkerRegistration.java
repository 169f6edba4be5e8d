package org.fuchsiawinch.workflow.owner;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/**
 * Registration of a worker in the platform's list of workers.
 *
 * @param id the worker
 * @param incarnation start time of the process that has registered, in ms since the Unix epoch; 0 if unknown
 * @param dataCentre data centre of the worker; empty text if unknown
 * @param service service whose tasks the worker runs
 * @param rack rack; empty text if unknown
 * @param labels all labels of the worker
 * @param capacity total resources of the worker; slots and connections are not used
 * @param leaving whether the worker is draining and gets no new work
 * @param leavesInMs time in ms from the registration until a draining worker may exit; empty if it states none
 */
public record WorkerRegistration(
        WorkerId id,
        long incarnation,
        String dataCentre,
        String service,
        String rack,
        List<String> labels,
        Resources capacity,
        boolean leaving,
        OptionalLong leavesInMs) {

    /**
     * Copies the list of labels.
     */
    public WorkerRegistration {
        labels = List.copyOf(labels);
    }

    /**
     * Returns whether the registration holds for a process of the worker. The next process may have another service,
     * rack, labels and capacity.
     *
     * @param reportedIncarnation start time that the process has reported, in ms since the Unix epoch; 0 if unknown
     * @return true unless another process is known to have registered
     */
    public boolean describes(long reportedIncarnation) {
        return incarnation == 0 || reportedIncarnation == 0 || incarnation == reportedIncarnation;
    }

    /** Creates a registration in an unknown data centre. */
    public WorkerRegistration(
            WorkerId id,
            long incarnation,
            String service,
            String rack,
            List<String> labels,
            Resources capacity,
            boolean leaving) {
        this(id, incarnation, "", service, rack, labels, capacity, leaving, OptionalLong.empty());
    }

    /** Creates a registration of an unknown process in an unknown data centre. */
    public WorkerRegistration(
            WorkerId id, String service, String rack, List<String> labels, Resources capacity, boolean leaving) {
        this(id, 0, "", service, rack, labels, capacity, leaving, OptionalLong.empty());
    }
}
