/**
 * The operators' document: sections, validation, signatures and versions.
 */
package org.fuchsiawinch.document;
