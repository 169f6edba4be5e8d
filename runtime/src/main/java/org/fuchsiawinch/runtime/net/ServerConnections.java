package org.fuchsiawinch.runtime.net;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import reactor.netty.http.server.HttpServer;

/** Open connections of an HTTP server. Thread-safe. */
public final class ServerConnections {

    private final ChannelGroup channels = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);

    /**
     * Configures a server to add the connections that it accepts.
     *
     * @param server the server
     * @return the configured server
     */
    public HttpServer track(HttpServer server) {
        return server.doOnChannelInit((observer, channel, remoteAddress) -> channels.add(channel));
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int count() {
        return channels.size();
    }
}
