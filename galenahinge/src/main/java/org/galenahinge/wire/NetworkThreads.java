package org.galenahinge.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The threads that serve all connections of a process: links, and HTTP to the platform and the upstream. */
public final class NetworkThreads implements AutoCloseable {
    private final EventLoopGroup group;

    private NetworkThreads(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Starts the threads.
     *
     * @param threads how many
     * @return the threads
     */
    public static NetworkThreads start(int threads) {
        if (threads < 1) {
            throw new IllegalArgumentException("threads must be at least 1: " + threads);
        }
        return new NetworkThreads(new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory()));
    }

    /**
     * Returns the group for Netty.
     *
     * @return the group
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Runs an action later on one of the threads; it must not block.
     *
     * @param delayMillis when, in milliseconds from now
     * @param action what to run
     * @return the timer, to be cancelled when the action is no longer wanted
     */
    public Future<?> schedule(long delayMillis, Runnable action) {
        return group.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits for a port to be bound.
     *
     * @param binding the binding under way
     * @param address where it listens
     * @return the channel that listens
     * @throws IOException when the port is in use
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
