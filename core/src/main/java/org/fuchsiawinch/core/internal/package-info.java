/**
 * Parts of the guarantee scheduler; no API.
 */
package org.fuchsiawinch.core.internal;
