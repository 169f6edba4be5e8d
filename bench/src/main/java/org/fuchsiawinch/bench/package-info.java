/**
 * JMH benchmarks of the scheduler and the document, and probes of memory and record sizes.
 */
package org.fuchsiawinch.bench;
