/**
 * Pure scheduling decisions.
 */
package org.fuchsiawinch.core;
