package org.fuchsiawinch.protocol.fold;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests as lower-case hex. */
public final class Sha256 {

    private Sha256() {}

    /**
     * Returns the SHA-256 digest of bytes.
     *
     * @param bytes the bytes
     * @return the digest as 64 lower-case hex digits
     */
    public static String hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
