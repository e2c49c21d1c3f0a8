package org.galenahinge.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Finds blocks of free ports, one block for the ports of a process. They lie below the ephemeral ports, so that no other
 * socket is given one of them before the process binds it.
 */
final class PortBlock {
    /** The number of ports in a block. */
    static final int PORTS = 8;

    private static final int FIRST_PORT = 20_000;
    private static final int BLOCKS = 1_000;

    /** Processes that run tests side by side use blocks that are far apart; the property is their number, from 1. */
    private static final int BLOCKS_OF_A_PROCESS = 400;

    private static final int FIRST_OF_THIS_PROCESS =
            Integer.getInteger("galenahinge.test.fork", 1) * BLOCKS_OF_A_PROCESS;
    private static final AtomicInteger NEXT =
            new AtomicInteger(FIRST_OF_THIS_PROCESS + new Random().nextInt(BLOCKS_OF_A_PROCESS / 2));

    private PortBlock() {}

    /**
     * Finds a block that this process has not used before.
     *
     * @param address the address at which all its ports are free
     * @return its first port
     * @throws IllegalStateException if no block is free
     */
    static int findFree(InetAddress address) {
        for (int attempts = 0; attempts < BLOCKS; attempts++) {
            int first = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), BLOCKS) * PORTS;
            if (IntStream.range(first, first + PORTS).allMatch(port -> isFree(address, port))) {
                return first;
            }
        }
        throw new IllegalStateException("no block of ports is free");
    }

    private static boolean isFree(InetAddress address, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, address)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
