/**
 * Internals of the document reader: located YAML tree, field definitions and the binding of each section.
 */
package org.fuchsiawinch.document.internal;
