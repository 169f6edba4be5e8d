package org.fuchsiawinch.protocol.worker;

import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;

/**
 * What a worker says of one part.
 *
 * @param task the part
 * @param state its state
 * @param used its peak use so far, as of the last measurement
 * @param answer the answer; present once completed
 * @param failure why it failed; present once failed
 */
public record TaskReport(
        TaskId task, TaskState state, Resources used, Optional<byte[]> answer, Optional<TaskFailure> failure) {}
