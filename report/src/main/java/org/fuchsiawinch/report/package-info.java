/**
 * Service-level burn report.
 */
package org.fuchsiawinch.report;
