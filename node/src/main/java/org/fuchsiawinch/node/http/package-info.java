/**
 * The HTTP server of the callers' and operators' API.
 */
package org.fuchsiawinch.node.http;
