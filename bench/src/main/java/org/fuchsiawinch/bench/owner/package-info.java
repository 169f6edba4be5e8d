/** Cost of the owner of a cell under loads that need no network. */
package org.fuchsiawinch.bench.owner;
