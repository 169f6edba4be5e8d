/** Records that a node or a replay writes, one JSON object a line, and their strict reader. */
package org.fuchsiawinch.report.records;
