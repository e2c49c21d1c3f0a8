package org.galenahinge.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A small deployment of the platform on the loopback address: a store, an origin and upstreams. It also creates the
 * settings files of entries and slot processes.
 */
public final class DeploymentStandIn implements AutoCloseable {
    /** The host name that all routes match. */
    public static final String HOST = "127.0.0.1";

    /** An API key that the config accepts. */
    public static final String KEY = "known-key";

    /** The name of the service that engines serve. */
    public static final String ENGINES = "engines";

    /** The name of the service without an engine. */
    public static final String PLAIN = "plain";

    private StoreStandIn store = new StoreStandIn();
    private final OriginStandIn origin = new OriginStandIn();
    private final List<UpstreamStandIn> upstreams = new ArrayList<>();

    /**
     * Starts a store that holds a config, and an origin.
     *
     * @throws IOException if a server cannot bind a port
     */
    public DeploymentStandIn() throws IOException {
        publishConfig(1, "");
    }

    /** The ports on which one process listens, all from one block. */
    public static final class Ports {
        private final int callers = PortBlock.findFree(InetAddress.getLoopbackAddress());
        private final int ready = callers + 1;
        private final int control = callers + 2;
        private final int directory = callers + 3;
        private final int internal = callers + 4;

        /**
         * Returns the port for the requests of callers.
         *
         * @return the port
         */
        public int callers() {
            return callers;
        }

        /**
         * Returns the port for the readiness check of the platform.
         *
         * @return the port
         */
        public int ready() {
            return ready;
        }

        /**
         * Returns the port where callers look up addresses of entries.
         *
         * @return the port
         */
        public int directory() {
            return directory;
        }

        /**
         * Returns the port where other nodes connect.
         *
         * @return the TCP port
         */
        public int nodes() {
            return control;
        }

        /**
         * Returns the port for membership datagrams.
         *
         * @return the UDP port
         */
        public int membership() {
            return internal;
        }

        /**
         * Returns the port on which an entry receives what other entries tell it of upstreams.
         *
         * @return the UDP port
         */
        public int gossip() {
            return internal + 3;
        }
    }

    /**
     * Moves the store to another address, as settings that are created from now on say. The one before runs on, but gets no
     * writes; whoever called this closes it.
     *
     * @return the store before
     * @throws IOException if the server cannot bind a port
     */
    public StoreStandIn moveStore() throws IOException {
        StoreStandIn former = store;
        store = former.copy();
        return former;
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
     * Starts an upstream and writes its record to the store.
     *
     * @param id the upstream's id
     * @param service the name of its service
     * @param version the version of the weights that it has loaded, 0 for none
     * @return the upstream
     * @throws IOException if a server cannot bind a port
     */
    public UpstreamStandIn startUpstream(String id, String service, long version) throws IOException {
        UpstreamStandIn upstream = new UpstreamStandIn(id, version);
        upstreams.add(upstream);
        store.put("servers/" + id, upstream.upstreamRecord(service, "zone-a", "ready"));
        return upstream;
    }

    /**
     * Writes the record of an upstream that a test runs itself. It has 16 slots and version 1 of the weights.
     *
     * @param id the upstream's id
     * @param service the name of its service
     * @param port the port on which it listens on the loopback address
     */
    public void putUpstream(String id, String service, int port) {
        putUpstream(id, service, port, 16);
    }

    /**
     * Writes the record of an upstream that a test runs itself. It has version 1 of the weights.
     *
     * @param id the upstream's id
     * @param service the name of its service
     * @param port the port on which it listens on the loopback address
     * @param slots the number of its slots
     */
    public void putUpstream(String id, String service, int port, int slots) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                        + "\"layers\":{\"from\":0,\"to\":16,\"version\":1},\"seq\":0,\"born\":1}");
    }

    /**
     * Publishes a config with one route of each kind.
     *
     * @param version the version of the config
     * @param extraRoutes further routes as JSON, each followed by a comma; may be empty
     */
    public void publishConfig(long version, String extraRoutes) {
        publishConfig(version, extraRoutes, UnaryOperator.identity());
    }

    /**
     * Publishes a configuration that differs from the usual one.
     *
     * @param version the version
     * @param extraRoutes further routes as JSON, each followed by a comma
     * @param change changes the JSON text of the configuration
     */
    public void publishConfig(long version, String extraRoutes, UnaryOperator<String> change) {
        String config = "{\"version\":" + version + ",\"routes\":[" + extraRoutes
                + route("/lookup/", "idempotent", PLAIN, 2) + "," + route("/order/", "non_idempotent", PLAIN, 2) + ","
                + route("/draft/", "streaming", ENGINES, 2) + "],\"services\":["
                + "{\"name\":\"" + ENGINES + "\",\"health_path\":\"/health\",\"max_conns\":100,\"engine\":"
                + engineConfig()
                + "},{\"name\":\"" + PLAIN + "\",\"health_path\":\"/health\",\"max_conns\":100},"
                + "{\"name\":\"origin\",\"origin\":\"" + origin.address() + "\",\"link_mbps\":10,\"max_conns\":48}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100000,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"firm\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}";
        store.put("op/config", change.apply(config));
    }

    /**
     * Returns a route as JSON.
     *
     * @param prefix the path prefix that it matches
     * @param kind the kind of its requests: {@code idempotent}, {@code non_idempotent} or {@code streaming}
     * @param service the name of its service
     * @param maximumAttempts the maximum number of attempts for one request
     * @return the JSON text
     */
    public static String route(String prefix, String kind, String service, int maximumAttempts) {
        return "{\"name\":\"r" + prefix.replace('/', '-') + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max_attempts\":" + maximumAttempts
                + ",\"public\":false,\"sticky\":false,\"resumable\":" + kind.equals("streaming")
                + ",\"target_gap_ms\":400}";
    }

    /**
     * Publishes which version of the model engines must load.
     *
     * @param version the version of the weights
     */
    public void publishNamedVersion(long version) {
        store.put("op/version/m", "{\"model\":\"m\",\"version\":" + version + "}");
    }

    /**
     * Encodes a caller's HTTP/1.1 request with a body of 2 bytes.
     *
     * @param path the request path
     * @param id the request id
     * @return the encoded request
     */
    public static byte[] encodeRequest(String path, String id) {
        String text = "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\nApi-Key: " + KEY
                + "\r\nModel: m\r\nToken-Counts: 100,20\r\nDeadline-Ms: 1500\r\nConnection: close\r\n"
                + "Content-Length: 2\r\n\r\nhi";
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Creates the settings file of an entry.
     *
     * @param name the name of its VM
     * @param ports the ports on which it listens
     * @return the contents of the file
     */
    public byte[] entrySettings(String name, Ports ports) {
        String listen = "{\"front\":\"127.0.0.1:" + ports.callers + "\",\"ready\":\"127.0.0.1:" + ports.ready
                + "\",\"control\":\"127.0.0.1:" + ports.control + "\",\"directory\":\"127.0.0.1:" + ports.directory
                + "\"}";
        return settings(name, "edge", listen, ports, "");
    }

    /**
     * Creates the settings file of an entry that finds the others through another entry.
     *
     * @param name the name of its VM
     * @param ports the ports on which it listens
     * @param seed the ports of the other entry
     * @return the contents of the file
     */
    public byte[] entrySettings(String name, Ports ports, Ports seed) {
        String text = new String(entrySettings(name, ports), StandardCharsets.UTF_8);
        return text.replace("\"seeds\":[\"127.0.0.1:" + ports.control, "\"seeds\":[\"127.0.0.1:" + seed.control)
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates the settings file of a slot process.
     *
     * @param name the name of its VM
     * @param entryPorts the ports of the entry that it connects to
     * @param slotPorts the ports on which it listens itself
     * @param engine the engine on its VM
     * @return the contents of the file
     */
    public byte[] slotSettings(String name, Ports entryPorts, Ports slotPorts, UpstreamStandIn engine) {
        String extraFields = ",\"app\":\"" + engine.address() + "\",\"service\":\"" + ENGINES + "\"";
        byte[] file = settings(name, "side", "{}", entryPorts, extraFields);
        String text = new String(file, StandardCharsets.UTF_8);
        return text.replace("[" + entryPorts.internal + ",", "[" + slotPorts.internal + ",")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        upstreams.forEach(UpstreamStandIn::close);
        store.close();
        origin.close();
    }

    private byte[] settings(String name, String machineClass, String listen, Ports ports, String extraFields) {
        String text = "{\"node\":\"" + name + "\",\"role\":\"r\",\"machine_class\":\"" + machineClass
                + "\",\"ip\":\"127.0.0.1\",\"zone\":\"zone-a\",\"region\":\"region-a\","
                + "\"zones\":{\"zone-a\":\"region-a\"},\"listen\":" + listen + ",\"internal_ports\":[" + ports.internal
                + "," + (ports.internal + 3) + "],\"seeds\":[\"127.0.0.1:" + ports.control + "\"],"
                + "\"bounds\":{\"grace_s\":2,\"version_ms\":8000,\"ttl_max_s\":5,\"retry_ratio\":0.2,"
                + "\"retry_window_s\":10,\"retry_slack\":100},\"provider\":{\"address\":\"" + store.address() + "\"}"
                + extraFields + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String engineConfig() {
        return "{\"slots\":16,\"kv_capacity\":317000,\"kv_token_bytes\":262144,\"stride\":5,"
                + "\"models\":[{\"name\":\"m\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],\"size_mb\":149000.0,"
                + "\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,\"read_per_s\":20700.0,"
                + "\"pairs_per_m\":1.18,\"chunk\":2048,\"layers\":16,\"chunks\":8,\"chunk_bytes\":64}";
    }
}
