package review3;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** A machine of the small deployment: a loopback address of its own, with the ports that all machines have. */
record Machine(String name, String host, String zone, int firstPort) {
    private static final int PORTS = 16;

    int consumerPort() {
        return firstPort;
    }

    int readyPort() {
        return firstPort + 1;
    }

    int controlPort() {
        return firstPort + 2;
    }

    int directoryPort() {
        return firstPort + 3;
    }

    int internalPort() {
        return firstPort + 4;
    }

    int lastInternalPort() {
        return firstPort + PORTS - 1;
    }

    /** Finds ports that are free on a few loopback addresses, which the machines then share. */
    static int freePorts(String... hosts) throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            if (areFree(first, hosts)) {
                return first;
            }
        }
        throw new IOException("no block of " + PORTS + " free ports was found");
    }

    private static boolean areFree(int first, String... hosts) {
        for (String host : hosts) {
            for (int port = first; port < first + PORTS; port++) {
                if (!isFree(host, port)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean isFree(String host, int port) {
        try {
            InetAddress address = InetAddress.getByName(host);
            new ServerSocket(port, 1, address).close();
            new DatagramSocket(new InetSocketAddress(address, port)).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
