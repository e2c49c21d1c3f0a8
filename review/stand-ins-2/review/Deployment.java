package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A small deployment on loopback addresses: a store, entries and the texts that the platform gives them. */
final class Deployment implements AutoCloseable {
    static final String HOST = "desk.example";
    static final String KEY = "key-of-a-tenant";
    static final int CONFIG_APPLY_MILLIS = 2_000;
    static final int STABLE_WINDOW_MILLIS = 3_000;
    private static final int FIRST_IP = 31;
    private static final int PORTS = 12;

    private final StoreServer store = new StoreServer();
    private final List<EntryProcess> entries = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review-case");
    private final int entryCount;
    private final int firstPort;

    Deployment(int entryCount) throws IOException {
        this.entryCount = entryCount;
        this.firstPort = freePorts(entryCount);
    }

    StoreServer store() {
        return store;
    }

    List<EntryProcess> entries() {
        return entries;
    }

    /** Starts all entries and waits until they are ready; the store must hold a config. */
    void startEntries() throws Exception {
        for (int number = 0; number < entryCount; number++) {
            entries.add(new EntryProcess(number, firstPort, settings(number), folder));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(EntryProcess::close)));
        for (EntryProcess entry : entries) {
            entry.start();
        }
        awaitReady();
    }

    void awaitReady() throws Exception {
        for (EntryProcess entry : entries) {
            entry.awaitReady();
        }
    }

    /** Writes a config whose routes are given as JSON. */
    void putConfig(long version, int headerBytes, List<String> routes, List<String> services) {
        String serviceList = services.stream()
                .map(name -> "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":264}")
                .collect(Collectors.joining(","));
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                        + serviceList + "],\"limits\":{\"max_header_bytes\":" + headerBytes
                        + ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"firm\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}");
    }

    static String route(String prefix, String kind, String service, int attempts) {
        return "{\"name\":\"route" + prefix.replace('/', '-') + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":6000,\"target_latency_ms\":500,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":false,\"resumable\":false}";
    }

    static String ip(int entry) {
        return "127.0.0." + (FIRST_IP + entry);
    }

    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        store.close();
    }

    private String settings(int number) {
        String ip = ip(number);
        String seeds = IntStream.range(0, Math.min(3, entryCount))
                .mapToObj(entry -> "\"" + ip(entry) + ":" + (firstPort + 2) + "\"")
                .collect(Collectors.joining(","));
        return "{\"node\":\"edge-" + number + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"ip\":\"" + ip
                + "\",\"serves\":[\"edge\",\"registry\",\"control_plane\"],\"zone\":\"zone-a\","
                + "\"region\":\"region-a\",\"zones\":{\"zone-a\":\"region-a\"},\"listen\":{\"front\":\"" + ip + ":"
                + firstPort + "\",\"ready\":\"" + ip + ":" + (firstPort + 1) + "\",\"control\":\"" + ip + ":"
                + (firstPort + 2) + "\",\"directory\":\"" + ip + ":" + (firstPort + 3) + "\"},\"internal_ports\":["
                + (firstPort + 4) + "," + (firstPort + PORTS - 1) + "],\"seeds\":[" + seeds
                + "],\"bootstrap\":true,\"loss_counts\":false,\"limits\":{\"cpu_share\":0.75,\"cores\":1,"
                + "\"memory_mb\":430,\"max_fds\":4200,\"link_mbps\":1000.0,\"disk_mb\":0},"
                + "\"discovery\":\"platform\",\"heartbeat_ms\":1200,\"bounds\":{\"seed_lag_s\":3,"
                + "\"reuse_after_s\":2,\"stable_window_ms\":" + STABLE_WINDOW_MILLIS + ",\"ack_ms\":4000,"
                + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":"
                + CONFIG_APPLY_MILLIS + ",\"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"retry_ratio\":0.2,"
                + "\"retry_window_s\":10,\"retry_slack\":102,\"recovery_s\":12,\"pass_ms\":120,"
                + "\"retry_after_s\":0,\"version_ms\":8000,\"version_all_ms\":0,\"ttl_max_s\":5},"
                + "\"provider\":{\"address\":\"" + store.address() + "\",\"form\":\"read\",\"reads_per_s\":2000,"
                + "\"history_s\":20,\"value_bytes\":1048576}}";
    }

    /** Returns the first of some ports that are free on the addresses of all entries. */
    private static int freePorts(int entries) {
        Random random = new Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 20_000 + random.nextInt(10_000);
            if (IntStream.range(0, entries * PORTS).allMatch(index -> isFree(ip(index / PORTS), first + index % PORTS))) {
                return first;
            }
        }
        throw new IllegalStateException("found no free ports");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
