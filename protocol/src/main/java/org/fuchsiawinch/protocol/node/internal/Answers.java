package org.fuchsiawinch.protocol.node.internal;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.fuchsiawinch.protocol.fold.Sha256;
import org.fuchsiawinch.protocol.record.JobOutcome;

/** Puts a gang's answer together. */
final class Answers {

    private Answers() {}

    /**
     * Joins the parts' answers.
     *
     * @param parts answers in order of part
     * @return the whole answer with its digest
     */
    static JobOutcome.Completed join(List<byte[]> parts) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        parts.forEach(whole::writeBytes);
        byte[] answer = whole.toByteArray();
        return new JobOutcome.Completed(answer, Sha256.hex(answer));
    }
}
