package org.fuchsiawinch.document.ledger;

/**
 * Result of applying one record.
 *
 * @param ledger state after the record
 * @param outcome decision about the record
 */
public record LedgerStep(DocumentLedger ledger, LedgerOutcome outcome) {}
