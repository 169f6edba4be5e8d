/**
 * Versions of the document: proposals, signatures and the fold that decides which text is in force.
 */
package org.fuchsiawinch.document.ledger;
