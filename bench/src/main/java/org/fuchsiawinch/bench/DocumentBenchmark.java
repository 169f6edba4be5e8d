package org.fuchsiawinch.bench;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.concurrent.TimeUnit;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.DocumentLedger;
import org.fuchsiawinch.document.ledger.LedgerRecord;
import org.fuchsiawinch.document.ledger.LedgerStep;
import org.fuchsiawinch.document.ledger.SectionSigner;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to read a document and to verify and apply a proposal, by number of workspaces. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DocumentBenchmark {

    /** Number of workspaces. */
    @Param({"4", "60", "240"})
    public int workspaces;

    private final DocumentReader reader = new DocumentReader();
    private String text;
    private DocumentLedger ledger;
    private LedgerRecord.Proposal proposal;

    /**
     * Generates the document, puts it in force and signs a change of its largest section.
     *
     * @throws NoSuchAlgorithmException if the Java runtime lacks Ed25519
     */
    @Setup
    public void prepare() throws NoSuchAlgorithmException {
        KeyPair keys = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        text = LargeDocument.text(workspaces, keys);
        ledger = DocumentLedger.atLogStart()
                .apply(0, new LedgerRecord.Genesis(text))
                .ledger();
        Document base = ledger.current().orElseThrow();
        String changed = base.sectionTexts().get(Section.CAPACITY).replace("checkpoint: 20s", "checkpoint: 30s");
        String pem = Base64.getEncoder().encodeToString(keys.getPrivate().getEncoded());
        proposal = SectionSigner.ofPem("generated", pem).sign(LargeDocument.TEAM, base, Section.CAPACITY, changed);
        System.out.printf(
                "workspaces=%d document_chars=%d capacity_section_chars=%d%n",
                workspaces, text.length(), changed.length());
    }

    /**
     * Reads the whole document.
     *
     * @return the result
     */
    @Benchmark
    public DocumentResult read() {
        return reader.read("document", text);
    }

    /**
     * Verifies and applies a proposal.
     *
     * @return the next state of the ledger
     */
    @Benchmark
    public LedgerStep propose() {
        return ledger.apply(1, proposal);
    }
}
