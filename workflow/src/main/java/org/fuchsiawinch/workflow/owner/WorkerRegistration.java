package org.fuchsiawinch.workflow.owner;

import java.util.List;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/**
 * A worker as it is listed.
 *
 * @param id the worker
 * @param service service whose tasks it runs
 * @param rack rack, or empty text if unknown
 * @param labels all its labels
 * @param capacity what it can run at once; slots and connections are not used
 * @param leaving whether it drains and gets no new work
 */
public record WorkerRegistration(
        WorkerId id, String service, String rack, List<String> labels, Resources capacity, boolean leaving) {

    /**
     * Copies the list.
     */
    public WorkerRegistration {
        labels = List.copyOf(labels);
    }
}
