/**
 * Implementation of the guarantee scheduler; not part of the API.
 */
package org.fuchsiawinch.core.internal;
