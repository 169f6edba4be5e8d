package org.fuchsiawinch.document.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests of text. Stateless. */
public final class Digests {

    private Digests() {}

    /**
     * Computes the SHA-256 digest of the UTF-8 bytes of a text.
     *
     * @param text the text
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256Hex(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new MissingAlgorithmException("SHA-256", e);
        }
    }
}
