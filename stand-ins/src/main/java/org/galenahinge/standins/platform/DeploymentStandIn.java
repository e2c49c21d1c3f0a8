package org.galenahinge.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** A small deployment on loopback: a store, an origin, servers, and the settings files of processes. */
public final class DeploymentStandIn implements AutoCloseable {
    /** The host of all routes. */
    public static final String HOST = "127.0.0.1";

    /** A key that the config knows. */
    public static final String KEY = "known-key";

    /** The service of the engines. */
    public static final String ENGINES = "engines";

    /** The plain service. */
    public static final String PLAIN = "plain";

    private final StoreStandIn store = new StoreStandIn();
    private final OriginStandIn origin = new OriginStandIn();
    private final List<ModelServerStandIn> servers = new ArrayList<>();

    /**
     * Starts a store with a config, and an origin.
     *
     * @throws IOException when no port is free
     */
    public DeploymentStandIn() throws IOException {
        publishConfig(1, "");
    }

    /** Where one process listens. */
    public static final class Ports {
        private static final int FIRST_BLOCK = 20_000;
        private static final int BLOCKS = 1_000;
        private static final int BLOCK_PORTS = 8;
        private static final AtomicInteger NEXT_BLOCK = new AtomicInteger(new Random().nextInt(BLOCKS));

        private final int callers = freeBlock();
        private final int ready = callers + 1;
        private final int control = callers + 2;
        private final int directory = callers + 3;
        private final int internal = callers + 4;

        /** Finds ports below those that the system hands out by itself, so that nobody takes one in between. */
        private static int freeBlock() {
            for (int tries = 0; tries < BLOCKS; tries++) {
                int first = FIRST_BLOCK + Math.floorMod(NEXT_BLOCK.getAndIncrement(), BLOCKS) * BLOCK_PORTS;
                if (IntStream.range(first, first + BLOCK_PORTS).allMatch(Ports::isFree)) {
                    return first;
                }
            }
            throw new IllegalStateException("no block of ports is free");
        }

        private static boolean isFree(int port) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.isBound();
            } catch (IOException e) {
                return false;
            }
        }

        /**
         * Returns where callers connect.
         *
         * @return the port
         */
        public int callers() {
            return callers;
        }

        /**
         * Returns where the platform asks whether it is ready.
         *
         * @return the port
         */
        public int ready() {
            return ready;
        }

        /**
         * Returns where callers ask for addresses.
         *
         * @return the port
         */
        public int directory() {
            return directory;
        }
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns the origin.
     *
     * @return the origin
     */
    public OriginStandIn origin() {
        return origin;
    }

    /**
     * Starts a server and writes its entry.
     *
     * @param id its id
     * @param service its service
     * @param version the version of the weights that it holds, 0 for none
     * @return the server
     * @throws IOException when no port is free
     */
    public ModelServerStandIn server(String id, String service, long version) throws IOException {
        ModelServerStandIn server = new ModelServerStandIn(id, version);
        servers.add(server);
        store.put("servers/" + id, server.entry(service, "zone-a", "ready"));
        return server;
    }

    /**
     * Writes a config with routes of each kind.
     *
     * @param version its version
     * @param moreRoutes further routes as JSON, each followed by a comma; may be empty
     */
    public void publishConfig(long version, String moreRoutes) {
        String config = "{\"version\":" + version + ",\"routes\":[" + moreRoutes
                + route("/lookup/", "idempotent", PLAIN, 2) + "," + route("/order/", "non_idempotent", PLAIN, 2) + ","
                + route("/draft/", "streaming", ENGINES, 2) + "],\"services\":["
                + "{\"name\":\"" + ENGINES + "\",\"health_path\":\"/health\",\"max_conns\":100,\"engine\":" + engine()
                + "},{\"name\":\"" + PLAIN + "\",\"health_path\":\"/health\",\"max_conns\":100},"
                + "{\"name\":\"origin\",\"origin\":\"" + origin.address() + "\",\"link_mbps\":10,\"max_conns\":48}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100000,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"firm\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}";
        store.put("op/config", config);
    }

    /**
     * Returns a route as JSON.
     *
     * @param prefix its prefix
     * @param kind its kind
     * @param service its service
     * @param attempts the most servers for one request
     * @return the text
     */
    public static String route(String prefix, String kind, String service, int attempts) {
        return "{\"name\":\"r" + prefix.replace('/', '-') + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":false,\"resumable\":" + kind.equals("streaming")
                + ",\"target_gap_ms\":400}";
    }

    /**
     * Names the version of the model that engines are to hold.
     *
     * @param version the version
     */
    public void nameVersion(long version) {
        store.put("op/version/m", "{\"model\":\"m\",\"version\":" + version + "}");
    }

    /**
     * Returns a caller's request as it goes over the wire.
     *
     * @param path its path
     * @param id its id
     * @return the bytes
     */
    public static byte[] request(String path, String id) {
        String text = "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\nApi-Key: " + KEY
                + "\r\nModel: m\r\nToken-Counts: 100,20\r\nDeadline-Ms: 1500\r\nConnection: close\r\n"
                + "Content-Length: 2\r\n\r\nhi";
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Writes the settings file of an entry.
     *
     * @param name its machine's name
     * @param ports where it listens
     * @return the file's bytes
     */
    public byte[] entrySettings(String name, Ports ports) {
        String listen = "{\"front\":\"127.0.0.1:" + ports.callers + "\",\"ready\":\"127.0.0.1:" + ports.ready
                + "\",\"control\":\"127.0.0.1:" + ports.control + "\",\"directory\":\"127.0.0.1:" + ports.directory
                + "\"}";
        return settings(name, "edge", listen, ports, "");
    }

    /**
     * Writes the settings file of a slot process.
     *
     * @param name its machine's name
     * @param entry where the entry that it asks listens
     * @param own where it listens itself
     * @param engine the engine on its machine
     * @return the file's bytes
     */
    public byte[] slotSettings(String name, Ports entry, Ports own, ModelServerStandIn engine) {
        String more = ",\"app\":\"" + engine.address() + "\",\"service\":\"" + ENGINES + "\"";
        byte[] file = settings(name, "side", "{}", entry, more);
        String text = new String(file, StandardCharsets.UTF_8);
        return text.replace("[" + entry.internal + ",", "[" + own.internal + ",")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        servers.forEach(ModelServerStandIn::close);
        store.close();
        origin.close();
    }

    private byte[] settings(String name, String machineClass, String listen, Ports ports, String more) {
        String text = "{\"node\":\"" + name + "\",\"role\":\"r\",\"machine_class\":\"" + machineClass
                + "\",\"ip\":\"127.0.0.1\",\"zone\":\"zone-a\",\"region\":\"region-a\","
                + "\"zones\":{\"zone-a\":\"region-a\"},\"listen\":" + listen + ",\"internal_ports\":[" + ports.internal
                + "," + (ports.internal + 3) + "],\"seeds\":[\"127.0.0.1:" + ports.control + "\"],"
                + "\"bounds\":{\"grace_s\":2,\"version_ms\":8000,\"ttl_max_s\":5,\"retry_ratio\":0.2,"
                + "\"retry_window_s\":10,\"retry_slack\":100},\"provider\":{\"address\":\"" + store.address() + "\"}"
                + more + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String engine() {
        return "{\"slots\":16,\"kv_capacity\":317000,\"kv_token_bytes\":262144,\"stride\":5,"
                + "\"models\":[{\"name\":\"m\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],\"size_mb\":149000.0,"
                + "\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,\"read_per_s\":20700.0,"
                + "\"pairs_per_m\":1.18,\"chunk\":2048,\"layers\":16,\"chunks\":8,\"chunk_bytes\":64}";
    }
}
