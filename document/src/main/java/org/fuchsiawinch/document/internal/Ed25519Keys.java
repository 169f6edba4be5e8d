package org.fuchsiawinch.document.internal;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

/** Reads Ed25519 keys. Stateless. */
public final class Ed25519Keys {

    /** Name of the signature algorithm in the Java runtime. */
    public static final String ALGORITHM = "Ed25519";

    private Ed25519Keys() {}

    /**
     * Reads a public key.
     *
     * @param base64 X.509 encoding in base64
     * @return the key
     * @throws GeneralSecurityException if the bytes are not an Ed25519 public key
     * @throws IllegalArgumentException if the text is not base64
     */
    public static PublicKey publicKey(String base64) throws GeneralSecurityException {
        byte[] encoded = Base64.getDecoder().decode(base64);
        return KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(encoded));
    }

    /**
     * Reads a private key.
     *
     * @param base64 PKCS #8 encoding in base64
     * @return the key
     * @throws GeneralSecurityException if the bytes are not an Ed25519 private key
     * @throws IllegalArgumentException if the text is not base64
     */
    public static PrivateKey privateKey(String base64) throws GeneralSecurityException {
        byte[] encoded = Base64.getDecoder().decode(base64);
        return KeyFactory.getInstance(ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(encoded));
    }
}
