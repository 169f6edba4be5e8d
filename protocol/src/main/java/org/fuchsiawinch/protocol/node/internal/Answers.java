package org.fuchsiawinch.protocol.node.internal;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.fuchsiawinch.protocol.fold.Sha256;
import org.fuchsiawinch.protocol.record.JobOutcome;

/** Helper that combines the answers of a gang's parts. */
final class Answers {

    private Answers() {}

    /**
     * Returns the parts' answers concatenated, with their digest.
     *
     * @param parts answers in order of part number
     * @return the outcome of the job
     */
    static JobOutcome.Completed join(List<byte[]> parts) {
        ByteArrayOutputStream answers = new ByteArrayOutputStream();
        parts.forEach(answers::writeBytes);
        byte[] answer = answers.toByteArray();
        return new JobOutcome.Completed(answer, Sha256.hex(answer));
    }
}
