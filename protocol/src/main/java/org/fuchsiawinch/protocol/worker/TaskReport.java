package org.fuchsiawinch.protocol.worker;

import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;

/**
 * State of one part as its worker reports it.
 *
 * @param task the part
 * @param state its state
 * @param used peak resource use so far, as of the last measurement
 * @param answer the answer; present once the part has completed
 * @param failure why the part failed; present once it has failed
 */
public record TaskReport(
        TaskId task, TaskState state, Resources used, Optional<byte[]> answer, Optional<TaskFailure> failure) {}
