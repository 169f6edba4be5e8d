/**
 * Adapters to the platform.
 */
package org.fuchsiawinch.node.adapter;
