/** Carries out what the owner of a cell decides. */
package org.fuchsiawinch.server.owner;
