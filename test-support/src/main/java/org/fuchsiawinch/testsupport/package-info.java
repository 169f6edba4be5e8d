/** Support for the tests of the other modules. */
package org.fuchsiawinch.testsupport;
