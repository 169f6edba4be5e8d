/** Records of a node or a replay, one JSON object on each line, and a strict reader for them. */
package org.fuchsiawinch.report.records;
