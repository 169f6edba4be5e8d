/** Records of a cell's stream and their encoding. */
package org.fuchsiawinch.workflow.record;
