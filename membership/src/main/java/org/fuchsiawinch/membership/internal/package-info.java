/** Implementation of the membership protocols; not for use outside this module. */
package org.fuchsiawinch.membership.internal;
