/**
 * Stand-in for the product's own platform, used by the quick start and tests.
 */
package org.fuchsiawinch.standin;
