/**
 * Sample load over several nodes, with a check of its results.
 */
package org.fuchsiawinch.quickstart;
