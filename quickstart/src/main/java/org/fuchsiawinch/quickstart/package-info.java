/**
 * Sample load on several running nodes: check of its results, and measurements.
 */
package org.fuchsiawinch.quickstart;
