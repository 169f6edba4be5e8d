/**
 * Versions of the document: proposals, signatures and the fold that determines the text in force.
 */
package org.fuchsiawinch.document.ledger;
