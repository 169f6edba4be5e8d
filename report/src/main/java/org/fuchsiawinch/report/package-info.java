/**
 * Service-level burn report: reads records and the document, computes the burn and renders it.
 */
package org.fuchsiawinch.report;
