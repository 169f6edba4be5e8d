/**
 * What a node tells the burn report: jobs and samples.
 */
package org.fuchsiawinch.node.records;
