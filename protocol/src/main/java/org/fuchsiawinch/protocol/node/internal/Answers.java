package org.fuchsiawinch.protocol.node.internal;

import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

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
        return new JobOutcome.Completed(answer, sha256(answer));
    }

    private static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
