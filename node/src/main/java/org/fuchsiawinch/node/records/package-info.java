/**
 * Records of a node for the burn report: jobs and samples.
 */
package org.fuchsiawinch.node.records;
