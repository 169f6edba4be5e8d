package org.fuchsiawinch.node.loop;

import org.fuchsiawinch.protocol.node.NodeEffect;

/** Executes effects; called on the loop's thread and must not block. */
@FunctionalInterface
public interface EffectHandler {

    /**
     * Executes one effect.
     *
     * @param effect the effect
     */
    void handle(NodeEffect effect);
}
