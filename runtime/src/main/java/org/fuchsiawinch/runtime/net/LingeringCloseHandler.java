package org.fuchsiawinch.runtime.net;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection in two steps: sends the end of the stream after all that has been written, then discards what
 * arrives until the peer closes the connection too or the linger time is over. A socket that is closed with unread
 * bytes is reset instead, which can destroy an answer that the peer has not read yet.
 */
final class LingeringCloseHandler extends ChannelDuplexHandler {

    static final long LINGER_MS = 300;

    private boolean closing;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (closing) {
            context.channel().closeFuture().addListener(closed -> promise.trySuccess());
            return;
        }
        if (!(context.channel() instanceof SocketChannel channel) || !channel.isActive()) {
            context.close(promise);
            return;
        }
        closing = true;
        context.executor().schedule(() -> context.close(promise), LINGER_MS, TimeUnit.MILLISECONDS);
        // The end of the stream overtakes writes that are still pending, so it waits for the last of them.
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> channel.shutdownOutput());
        channel.config().setAutoRead(true);
        context.read();
    }
}
