package org.fuchsiawinch.document.ledger;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Base64;
import java.util.stream.Collectors;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.internal.Ed25519Keys;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;

/** Signs changes of sections with a team's private key. Immutable and thread-safe. */
public final class SectionSigner {

    private final PrivateKey key;

    private SectionSigner(PrivateKey key) {
        this.key = key;
    }

    /**
     * Creates a signer from a private key.
     *
     * @param fileName name of the file, for error messages
     * @param pem the key in PEM form (PKCS #8), as {@code openssl genpkey -algorithm ed25519} writes it
     * @return a signer with the key
     * @throws UnreadableKeyException if the text does not contain such a key
     */
    public static SectionSigner ofPem(String fileName, String pem) {
        String base64 = pem.lines()
                .filter(line -> !line.startsWith("-----"))
                .map(String::strip)
                .collect(Collectors.joining());
        try {
            return new SectionSigner(Ed25519Keys.privateKey(base64));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new UnreadableKeyException(fileName, e);
        }
    }

    /**
     * Signs a change.
     *
     * @param team name of the team that the key belongs to
     * @param base the accepted document that the change is based on
     * @param section the section to change
     * @param sectionText its new text
     * @return the proposal to append to the log
     * @throws SigningException if the Java runtime fails to sign
     */
    public Proposal sign(String team, Document base, Section section, String sectionText) {
        try {
            Signature signature = Signature.getInstance(Ed25519Keys.ALGORITHM);
            signature.initSign(key);
            signature.update(SignedContent.bytes(base, section, sectionText));
            String encoded = Base64.getEncoder().encodeToString(signature.sign());
            return new Proposal(team, section, base.version(), sectionText, encoded);
        } catch (GeneralSecurityException e) {
            throw new SigningException(team, section, e);
        }
    }

    /**
     * Returns whether a proposal's signature is valid.
     *
     * @param proposal the proposal
     * @param base the accepted document of the proposal's base version
     * @param key public key of the team
     * @return true if the signature covers this change of this base and was made with the team's key
     */
    static boolean verifies(Proposal proposal, Document base, PublicKey key) {
        try {
            Signature signature = Signature.getInstance(Ed25519Keys.ALGORITHM);
            signature.initVerify(key);
            signature.update(SignedContent.bytes(base, proposal.section(), proposal.sectionText()));
            return signature.verify(Base64.getDecoder().decode(proposal.signature()));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }
}
