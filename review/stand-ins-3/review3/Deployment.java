package review3;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** The texts of a small deployment: settings of its processes, its configs and the entries of its servers. */
final class Deployment {
    static final String HOST = "jepu9.example";
    static final String ORDERS = "wuno96b";
    static final String ENGINES = "huvo11a";
    static final String ORIGIN = "kafi81c";
    static final String MODEL = "daka510000";
    static final String ORDER_PATH = "/filo73/de11/";
    static final String LOOKUP_PATH = "/boye614/bo77/";
    static final String DRAFT_PATH = "/lepu270/";
    static final int CONFIG_APPLY_MILLIS = 2_000;

    private static final String BOUNDS = "{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":3000,"
            + "\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
            + "\"config_apply_ms\":" + CONFIG_APPLY_MILLIS + ",\"rollback_slack_ms\":250,\"max_skew_ms\":5000,"
            + "\"strict_revoke\":false,\"revoke_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,"
            + "\"retry_slack\":102,\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\"version_ms\":8000,"
            + "\"version_all_ms\":0,\"ttl_max_s\":5}";

    private final Store store;
    private final List<Machine> entries;

    Deployment(Store store, List<Machine> entries) {
        this.store = store;
        this.entries = entries;
    }

    String entrySettings(Machine machine) {
        String listen = String.format(
                Locale.ROOT,
                "{\"front\":\"%1$s:%2$d\",\"ready\":\"%1$s:%3$d\",\"control\":\"%1$s:%4$d\",\"directory\":\"%1$s:%5$d\"}",
                machine.host(),
                machine.consumerPort(),
                machine.readyPort(),
                machine.controlPort(),
                machine.directoryPort());
        return settings(machine, "edge", "[\"edge\",\"control_plane\",\"registry\"]", listen, "");
    }

    String slotSettings(Machine machine, String engineAddress) {
        String engine = "\"app\":\"" + engineAddress + "\",\"service\":\"" + ENGINES + "\",";
        return settings(machine, "side", "[\"side\"]", "{}", engine);
    }

    private String settings(Machine machine, String machineClass, String serves, String listen, String engine) {
        String zones = entries.stream()
                .map(entry -> "\"" + entry.zone() + "\":\"bagmati\"")
                .distinct()
                .collect(Collectors.joining(","));
        String seeds = entries.stream()
                .limit(3)
                .map(entry -> "\"" + entry.host() + ":" + entry.controlPort() + "\"")
                .collect(Collectors.joining(","));
        return "{\"node\":\"" + machine.name() + "\",\"role\":\"my-" + machineClass + "\",\"machine_class\":\""
                + machineClass + "\",\"serves\":" + serves + ",\"ip\":\"" + machine.host() + "\",\"zone\":\""
                + machine.zone() + "\",\"region\":\"bagmati\",\"zones\":{" + zones + "},\"listen\":" + listen
                + ",\"internal_ports\":[" + machine.internalPort() + "," + machine.lastInternalPort()
                + "],\"seeds\":[" + seeds + "],\"bootstrap\":true,\"loss_counts\":false,"
                + "\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,\"max_fds\":4200,"
                + "\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
                + "\"entry\":\"registry\",\"heartbeat_ms\":1200," + engine + "\"bounds\":" + BOUNDS
                + ",\"provider\":{\"address\":\"" + store.address()
                + "\",\"form\":\"read\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
                + "\"value_bytes\":1048576,\"min_ttl_ms\":1000}}";
    }

    /** Returns a config; the tenants are a JSON array. */
    static String config(long version, String tenants, String originAddress) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-1", ORDER_PATH, "non_idempotent", ORDERS, 800, 1, false) + ","
                + route("r-2", LOOKUP_PATH, "idempotent", ORDERS, 800, 2, false) + ","
                + route("r-3", DRAFT_PATH, "streaming", ENGINES, 6_000, 2, true)
                + "],\"services\":[" + engineService()
                + ",{\"name\":\"" + ORIGIN + "\",\"origin\":\"" + originAddress
                + "\",\"zone\":\"bagmati-a\",\"link_mbps\":9.9,\"max_conns\":48},{\"name\":\"" + ORDERS
                + "\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":" + tenants + "}";
    }

    /** Returns a tenant of a config; one whose key is empty has none. */
    static String tenant(String name, String key) {
        String keys = key.isEmpty() ? "" : "\"" + key + "\"";
        return "{\"name\":\"" + name + "\",\"api_keys\":[" + keys + "],\"priority\":1}";
    }

    private static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int timeoutMillis,
            int attempts,
            boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\""
                + service + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":" + resumable
                + ",\"resumable\":" + resumable + ",\"target_gap_ms\":400}";
    }

    private static String engineService() {
        return "{\"name\":\"" + ENGINES + "\",\"health_path\":\"/health\",\"max_conns\":264,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":16,\"kv_capacity\":317000,\"kv_token_bytes\":262144,"
                + "\"link_mbps\":400000.0,\"stride\":5,\"models\":[{\"name\":\"" + MODEL
                + "\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],\"size_mb\":149000.0,\"adapter_slots\":8,"
                + "\"loads_per_s\":0.0,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,"
                + "\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,\"report_lag_ms\":200.0,"
                + "\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":979,\"answer\":92},\"layers\":16,"
                + "\"layer_mb\":4090.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\"chunks\":64,\"chunk_bytes\":32768}}";
    }

    /** Returns the entry of a plain server. */
    static String server(String address, int slots, long bornMillis) {
        return "{\"service\":\"" + ORDERS + "\",\"address\":\"" + address
                + "\",\"zone\":\"bagmati-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":0,\"born\":" + bornMillis + "}";
    }
}
