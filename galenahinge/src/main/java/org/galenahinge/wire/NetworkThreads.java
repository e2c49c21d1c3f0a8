package org.galenahinge.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The threads that serve all connections of a process: to its peers, and over HTTP to the platform and the upstream. */
public final class NetworkThreads implements AutoCloseable {
    private final EventLoopGroup group;

    private NetworkThreads(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Starts the threads.
     *
     * @param threads number of threads, at least 1
     * @return the threads
     */
    public static NetworkThreads start(int threads) {
        if (threads < 1) {
            throw new IllegalArgumentException("threads must be at least 1: " + threads);
        }
        return new NetworkThreads(new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()));
    }

    /**
     * Returns the Netty event loops that run on the threads.
     *
     * @return the event loop group
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Runs an action on one of the threads after a delay.
     *
     * @param delayMillis the delay, in milliseconds
     * @param action what to run; must not block
     * @return the timer, which can be cancelled
     */
    public Future<?> schedule(long delayMillis, Runnable action) {
        return group.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Blocks until a port is bound.
     *
     * @param binding the pending bind operation
     * @param address the address that is bound, for the error message
     * @return the listening channel
     * @throws IOException when the port cannot be bound, for example because it is in use
     */
    public static Channel awaitBound(ChannelFuture binding, WireAddress address) throws IOException {
        binding.awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + binding.cause().getMessage(), binding.cause());
        }
        return binding.channel();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
