/**
 * Stand-in platform for the quick start and tests.
 */
package org.fuchsiawinch.standin;
