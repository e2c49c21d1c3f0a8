package org.galenahinge.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * What entries meet outside: a store with a config, and upstreams that record what reaches them. It also creates the
 * settings of the entries, each of which has a loopback address of its own, with the same ports on all of them.
 */
public final class EntryFleetStandIn implements AutoCloseable {
    /** The environment variable that tells an entry where its settings file is. */
    public static final String SETTINGS_PATH_VARIABLE = "GALENAHINGE_CONFIG";

    /** The time that an entry has to stop, in seconds. */
    public static final int GRACE_SECONDS = 8;

    /** The timeout of all routes, in milliseconds. */
    public static final int ROUTE_TIMEOUT_MILLIS = 6_000;

    /** The time in which an entry applies a config or changed settings, in milliseconds. */
    public static final int CONFIG_APPLY_MILLIS = 2_000;

    /** The time that a disruption needs to have passed before it counts as over, in milliseconds. */
    public static final int STABLE_WINDOW_MILLIS = 3_000;

    /** The time within which a connection may cross a request, in milliseconds. */
    public static final int LOSS_SLACK_MILLIS = 200;

    /** The time after the naming of a version from which on no request begins on an older one, in milliseconds. */
    public static final int VERSION_MILLIS = 4_000;

    /** The name of the model that the engines serve. */
    public static final String MODEL = "m";

    static final String HOST = "desk.example";
    static final String KEY = "key-of-a-tenant";
    private static final String SERVICE = "work";
    private static final String ENGINE_SERVICE = "engines";
    private static final InetAddress ALL_ADDRESSES = new InetSocketAddress(0).getAddress();
    private static final int FIRST_ADDRESS = 11;
    private static final int RETRY_SLACK = 102;

    private final StoreStandIn store = new StoreStandIn();
    private final List<RecordingUpstream> upstreams = new ArrayList<>();
    private final List<RecordingEngine> engines = new ArrayList<>();
    private final int firstPort = PortBlock.findFree(ALL_ADDRESSES);
    private long version;

    /**
     * Starts a store and upstreams.
     *
     * @param upstreamCount the number of upstreams without an engine
     * @param engineCount the number of upstreams with an engine, which have version 1 of the weights
     * @param runs receives the id of each request that reaches an upstream, and what the upstream saw of it
     * @throws IOException if one cannot bind a port
     */
    public EntryFleetStandIn(int upstreamCount, int engineCount, BiConsumer<String, UpstreamRun> runs)
            throws IOException {
        for (int number = 1; number <= upstreamCount; number++) {
            RecordingUpstream upstream = new RecordingUpstream("upstream-" + number, runs);
            upstreams.add(upstream);
            store.put("servers/" + upstream.id(), upstream.storeRecord(SERVICE));
        }
        for (int number = 1; number <= engineCount; number++) {
            RecordingEngine engine = new RecordingEngine("engine-" + number, runs, this::writeEngineRecord);
            engines.add(engine);
            writeEngineRecord(engine);
        }
        if (engineCount > 0) {
            nameVersion(1);
        }
        publishNextConfig();
    }

    private void writeEngineRecord(RecordingEngine engine) {
        store.put("servers/" + engine.id(), engine.storeRecord(ENGINE_SERVICE, MODEL));
    }

    /**
     * Names a version of the weights, unless the store is away.
     *
     * @param number the version
     * @return whether the store has acknowledged it
     */
    public boolean nameVersion(long number) {
        return store.putIfAvailable("op/version/" + MODEL, "{\"model\":\"" + MODEL + "\",\"version\":" + number + "}");
    }

    /**
     * Returns the upstreams with an engine.
     *
     * @return the engines
     */
    public List<RecordingEngine> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns where an entry takes load reports.
     *
     * @param entry the number of the entry, from 0
     * @return the address
     */
    public InetSocketAddress loadAddress(int entry) {
        return new InetSocketAddress(ip(entry), firstPort + 5);
    }

    /** Publishes a config that differs from the one before in its version and in a route that no caller uses. */
    public void publishNextConfig() {
        version++;
        String routes = Arrays.stream(WorkOrder.Kind.values())
                .filter(kind -> !kind.usesEngine() || !engines.isEmpty())
                .map(EntryFleetStandIn::route)
                .collect(Collectors.joining(","));
        String spareRoute = route("/unused-" + version + "/", "idempotent", SERVICE, false);
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "," + spareRoute + "],\"services\":[{\"name\":\""
                        + SERVICE + "\",\"health_path\":\"/health\",\"max_conns\":264}" + engineService()
                        + "],\"limits\":{"
                        + "\"max_header_bytes\":16384,\"max_body_bytes\":100000,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"firm\",\"api_keys\":[\"" + KEY
                        + "\"],\"priority\":1}]}");
    }

    /**
     * Makes the store unavailable, or available again.
     *
     * @param away whether it is unavailable
     */
    public void setStoreAway(boolean away) {
        store.setUnavailable(away);
    }

    /**
     * Returns where an entry takes requests.
     *
     * @param entry the number of the entry, from 0
     * @return the address
     */
    public InetSocketAddress callerAddress(int entry) {
        return new InetSocketAddress(ip(entry), firstPort);
    }

    /**
     * Returns where an entry tells whether it is ready.
     *
     * @param entry the number of the entry, from 0
     * @return the URL
     */
    public String readyUrl(int entry) {
        return "http://" + ip(entry) + ":" + (firstPort + 1) + "/galenahinge/ready";
    }

    /**
     * Returns how many requests the upstreams work on now.
     *
     * @return the number of requests
     */
    public int working() {
        return upstreams.stream().mapToInt(RecordingUpstream::working).sum()
                + engines.stream().mapToInt(RecordingEngine::working).sum();
    }

    /**
     * Creates the settings of an entry.
     *
     * @param entry the number of the entry, from 0
     * @param change a number that the settings differ by, from 0
     * @return the contents of the file
     */
    public String settings(int entry, int change) {
        String ip = ip(entry);
        return "{\"node\":\"edge-" + entry + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"ip\":\"" + ip
                + "\",\"serves\":[\"edge\",\"registry\",\"control_plane\"],\"zone\":\"zone-a\","
                + "\"region\":\"region-a\",\"zones\":{\"zone-a\":\"region-a\"},\"listen\":{\"front\":\"" + ip + ":"
                + firstPort + "\",\"ready\":\"" + ip + ":" + (firstPort + 1) + "\",\"control\":\"" + ip + ":"
                + (firstPort + 2) + "\",\"directory\":\"" + ip + ":" + (firstPort + 3) + "\"},\"internal_ports\":["
                + (firstPort + 4) + "," + (firstPort + 7) + "],\"seeds\":[\"" + ip(0) + ":" + (firstPort + 2) + "\",\""
                + ip(1) + ":" + (firstPort + 2) + "\"],\"bootstrap\":true,\"loss_counts\":false,"
                + "\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,\"max_fds\":4200,"
                + "\"link_mbps\":1000.0,\"disk_mb\":0},\"discovery\":\"platform\",\"heartbeat_ms\":1200,"
                + bounds(change) + ",\"provider\":{\"address\":\"" + store.address()
                + "\",\"form\":\"read\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
                + "\"value_bytes\":1048576,\"min_ttl_ms\":1000}}";
    }

    @Override
    public void close() {
        upstreams.forEach(RecordingUpstream::close);
        engines.forEach(RecordingEngine::close);
        store.close();
    }

    private static String bounds(int change) {
        return "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":" + STABLE_WINDOW_MILLIS
                + ",\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":" + GRACE_SECONDS
                + ",\"loss_slack_ms\":" + LOSS_SLACK_MILLIS + ",\"config_apply_ms\":" + CONFIG_APPLY_MILLIS
                + ",\"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,"
                + "\"retry_slack\":" + (RETRY_SLACK + change) + ",\"recovery_s\":12,\"pass_ms\":120,"
                + "\"retry_after_s\":0,\"version_ms\":" + VERSION_MILLIS + ",\"version_all_ms\":0,\"ttl_max_s\":5}";
    }

    private String engineService() {
        return engines.isEmpty()
                ? ""
                : ",{\"name\":\"" + ENGINE_SERVICE + "\",\"health_path\":\"/health\",\"max_conns\":264,\"engine\":"
                        + DeploymentStandIn.engineConfig() + "}";
    }

    private static String route(WorkOrder.Kind kind) {
        boolean resumable = kind.isStream() && kind.isRepeatable();
        return route(kind.prefix(), kind.routeKind(), kind.usesEngine() ? ENGINE_SERVICE : SERVICE, resumable);
    }

    private static String route(String prefix, String kind, String service, boolean resumable) {
        return "{\"name\":\"route" + prefix.replace('/', '-') + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + ROUTE_TIMEOUT_MILLIS
                + ",\"target_latency_ms\":500,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":" + resumable
                + ",\"target_gap_ms\":400}";
    }

    private static String ip(int entry) {
        return "127.0.0." + (FIRST_ADDRESS + entry);
    }
}
