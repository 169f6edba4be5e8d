/**
 * JMH benchmarks.
 */
package org.fuchsiawinch.bench;
