package org.fuchsiawinch.node.loop;

import org.fuchsiawinch.protocol.node.NodeMachine;

/** Action to run on the thread that owns the node state machine. */
@FunctionalInterface
interface LoopAction {

    /**
     * Runs the action.
     *
     * @param machine the state machine
     * @param nowMs present time in ms since the epoch
     */
    void run(NodeMachine machine, long nowMs);
}
