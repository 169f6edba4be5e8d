/**
 * Clients of the platform's log and of the workers.
 */
package org.fuchsiawinch.node.adapter;
