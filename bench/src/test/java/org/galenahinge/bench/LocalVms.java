package org.galenahinge.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Describes VMs that all run in this process. */
final class LocalVms {
    static final String ADDRESS = "127.0.0.1";

    private LocalVms() {}

    /** Adds a VM to the platform's VM list and returns the flags that tell its daemon the same facts. */
    static List<String> add(ArrayNode vms, String name, String kind) throws IOException {
        int wirePort = freePort();
        int httpPort = freePort();
        vms.addObject()
                .put("name", name)
                .put("kind", kind)
                .put("address", ADDRESS)
                .put("wirePort", wirePort)
                .put("httpPort", httpPort)
                .put("region", "north")
                .put("failureDomain", "north-1")
                .put("leaving", false);
        return new ArrayList<>(List.of(
                "--name",
                name,
                "--address",
                ADDRESS,
                "--wire-port",
                Integer.toString(wirePort),
                "--http-port",
                Integer.toString(httpPort),
                "--region",
                "north",
                "--failure-domain",
                "north-1"));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
