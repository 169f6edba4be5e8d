/**
 * The operators document: sections, checks, signatures, versions.
 */
package org.fuchsiawinch.document;
