package org.galenahinge.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
