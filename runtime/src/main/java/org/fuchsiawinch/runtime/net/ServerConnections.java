package org.fuchsiawinch.runtime.net;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import reactor.netty.http.server.HttpServer;

/** Open connections of an HTTP server, all of which are closed in an orderly way. Thread-safe. */
public final class ServerConnections {

    /** Once closed, it closes the connections that are added later, too. */
    private final ChannelGroup channels = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE, true);

    /**
     * Configures a server to add the connections that it accepts.
     *
     * @param server the server
     * @return the configured server
     */
    public HttpServer track(HttpServer server) {
        return server.doOnChannelInit((observer, channel, remoteAddress) -> {
            channel.pipeline().addFirst(new LingeringCloseHandler());
            channels.add(channel);
        });
    }

    /**
     * Returns the number of connections that are open or lingering.
     *
     * @return the number
     */
    public int count() {
        return channels.size();
    }

    /** Closes all connections once what has been written to them is sent; requests that arrive later are not read. */
    public void close() {
        channels.close();
    }
}
