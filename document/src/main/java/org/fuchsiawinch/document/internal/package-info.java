/**
 * Internals of the document reader: YAML tree with line numbers, field definitions and the conversion of each section.
 */
package org.fuchsiawinch.document.internal;
