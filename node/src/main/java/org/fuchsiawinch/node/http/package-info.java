/**
 * The HTTP front of callers and operators.
 */
package org.fuchsiawinch.node.http;
