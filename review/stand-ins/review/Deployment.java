package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.galenahinge.standins.platform.StoreStandIn;

/** A small deployment on loopback addresses: the store, and entries as processes with the command of the deploy file. */
public final class Deployment implements AutoCloseable {
    public static final String HOST = "desk.example";
    public static final String KEY = "key-of-a-tenant";
    public static final int GRACE_SECONDS = 8;
    private static final int PORTS_PER_PROCESS = 8;
    private static final int FIRST_MACHINE = 11;
    private static final String FIRST_ADDRESS = "127.0.0." + FIRST_MACHINE;

    private final StoreStandIn store = new StoreStandIn();
    private final Path folder = Files.createTempDirectory("review-case");
    private final List<Entry> entries = new ArrayList<>();
    private final Map<ModelServerStandIn, Slot> slots = new LinkedHashMap<>();
    private final int firstPort = freePorts();
    private int machines;
    private final CaseRecord record;

    public Deployment(CaseRecord record) throws IOException {
        this.record = record;
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** A running entry. */
    public final class Entry {
        private final String name;
        private final String ip;
        private volatile Process process;

        private Entry(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            start();
        }

        private void start() throws IOException {
            process = startProcess("entry", name, entrySettings(name, ip));
        }

        /** The address for consumers. */
        public InetSocketAddress front() {
            return new InetSocketAddress(ip, firstPort);
        }

        public Process process() {
            return process;
        }

        public Path log() {
            return folder.resolve(name + ".log");
        }

        /** Waits until the platform's readiness check succeeds. */
        public void awaitReady() {
            for (int attempt = 0; attempt < 300; attempt++) {
                if (isReady()) {
                    return;
                }
                Pause.millis(100);
            }
            throw new IllegalStateException("entry " + name + " did not become ready");
        }

        public boolean isReady() {
            try {
                URI uri = URI.create("http://" + ip + ":" + (firstPort + 1) + "/galenahinge/ready");
                HttpURLConnection check = (HttpURLConnection) uri.toURL().openConnection();
                check.setConnectTimeout(500);
                check.setReadTimeout(1_000);
                return check.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Sends SIGTERM, as the platform does to stop a process. */
        public void terminate() {
            record.line("SIGTERM to " + name);
            process.destroy();
        }
    }

    /** A slot process and its settings. */
    private final class Slot {
        private final String name;
        private final String settings;
        private volatile Process process;

        Slot(String name, String settings) throws IOException {
            this.name = name;
            this.settings = settings;
            start();
        }

        void start() throws IOException {
            process = startProcess("slot", name, settings);
        }
    }

    public StoreStandIn store() {
        return store;
    }

    /** Starts an entry on a machine of its own; the first one is the seed of the others. */
    public Entry startEntry(String name) throws IOException {
        Entry entry = new Entry(name, nextAddress());
        entries.add(entry);
        record.line("started " + name + " at " + entry.ip);
        return entry;
    }

    /** Starts a server and registers it. */
    public ServerStandIn startServer(String id, String service, ServerStandIn.Work work) throws IOException {
        ServerStandIn server = new ServerStandIn(id, service, record, work);
        store.put(server.key(), server.storeRecord());
        return server;
    }

    /** Kills all processes of the system, entries and slot processes alike, and starts them again after a time. */
    public void killAll(long downMillis) throws IOException {
        record.line("all processes are killed");
        endProcesses();
        awaitEnds();
        Pause.millis(downMillis);
        for (Entry entry : entries) {
            entry.start();
        }
        for (Slot slot : slots.values()) {
            slot.start();
        }
        record.line("all processes start again");
    }

    /** Returns the slot process beside a model server. */
    public Process slotOf(ModelServerStandIn server) {
        return slots.get(server).process;
    }

    /** Starts a model server with its slot process, on a machine of their own. */
    public ModelServerStandIn startModelServer(String id, long version, ServerStandIn.Work work) throws IOException {
        String ip = nextAddress();
        ModelServerStandIn server = new ModelServerStandIn(id, ip, version, store, record, work);
        String name = "side-" + id;
        slots.put(server, new Slot(name, slotSettings(name, ip, server.address())));
        record.line("started " + name + " at " + ip);
        return server;
    }

    /** Publishes a config. Routes come from {@link #route}. */
    public void publishConfig(long version, long maximumBodyBytes, String... routes) {
        publishConfig(version, maximumBodyBytes, "", "", routes);
    }

    /** Publishes a config whose drafts are served by model servers, with an origin of weights. */
    public void publishEngineConfig(long version, OriginStandIn origin, String... routes) {
        String engine = ",\"engine\":{\"slots\":16,\"kv_capacity\":317000,\"kv_token_bytes\":262144,\"stride\":5,"
                + "\"models\":[{\"name\":\"" + OriginStandIn.MODEL + "\",\"pace\":1.0,\"load_s\":0.3,\"warm_s\":0.3}],"
                + "\"size_mb\":149000.0,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,"
                + "\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,\"layers\":16,\"chunks\":"
                + OriginStandIn.PIECES + ",\"chunk_bytes\":" + OriginStandIn.PIECE_BYTES + "}";
        String service = ",{\"name\":\"weights\",\"origin\":\"" + origin.address()
                + "\",\"link_mbps\":9.9,\"max_conns\":48}";
        publishConfig(version, 100_000, engine, service, routes);
    }

    private void publishConfig(
            long version, long maximumBodyBytes, String draftFields, String services, String... routes) {
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                        + "{\"name\":\"drafts\",\"health_path\":\"/health\",\"max_conns\":264" + draftFields + "},"
                        + "{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":100}" + services + "],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maximumBodyBytes
                        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"firm\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}");
    }

    public static String route(String prefix, String kind, String service, int timeoutMillis, int targetMillis) {
        return "{\"name\":\"route-" + service + "-" + prefix.replace("/", "") + "\",\"host\":\"" + HOST + "\",\"prefix\":\""
                + prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":"
                + targetMillis + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":"
                + (kind.equals("non_idempotent") ? 1 : 2)
                + ",\"public\":false,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":400}";
    }

    /** Copies the end of an entry's log into the record. */
    public void recordLog(Entry entry, int lines) throws IOException {
        List<String> log = Files.readAllLines(entry.log(), StandardCharsets.UTF_8);
        log.subList(Math.max(0, log.size() - lines), log.size()).forEach(line -> record.line("log: " + line));
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        awaitEnds();
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    private void endProcesses() {
        slots.values().forEach(slot -> slot.process.destroyForcibly());
        entries.forEach(entry -> entry.process.destroyForcibly());
    }

    private void awaitEnds() {
        slots.values().forEach(slot -> awaitEnd(slot.process));
        entries.forEach(entry -> awaitEnd(entry.process));
    }

    private static void awaitEnd(Process process) {
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> command(String role) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(file);
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no command for the role " + role);
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private Process startProcess(String role, String name, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().put("GALENAHINGE_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        return builder.start();
    }

    private String entrySettings(String name, String ip) {
        String listen = "{\"front\":\"" + ip + ":" + firstPort + "\",\"ready\":\"" + ip + ":" + (firstPort + 1)
                + "\",\"control\":\"" + ip + ":" + (firstPort + 2) + "\",\"directory\":\"" + ip + ":" + (firstPort + 3)
                + "\"}";
        return settings(name, "edge", "[\"edge\",\"registry\",\"control_plane\"]", ip, listen, "");
    }

    private String slotSettings(String name, String ip, String serverAddress) {
        String app = ",\"app\":\"" + serverAddress + "\",\"service\":\"drafts\"";
        return settings(name, "side", "[\"side\"]", ip, "{}", app);
    }

    private String settings(
            String name, String machineClass, String serves, String ip, String listen, String moreFields) {
        return "{\"node\":\"" + name + "\",\"role\":\"" + (machineClass.equals("edge") ? "entry" : "slot")
                + "\",\"machine_class\":\"" + machineClass + "\",\"serves\":" + serves + ",\"ip\":\"" + ip
                + "\",\"zone\":\"bagmati-a\",\"region\":\"bagmati\",\"zones\":{\"bagmati-a\":\"bagmati\"},"
                + "\"listen\":" + listen + ",\"internal_ports\":[" + (firstPort + 4) + "," + (firstPort + 7)
                + "],\"seeds\":[\"" + FIRST_ADDRESS + ":" + (firstPort + 2) + "\"],\"bootstrap\":true,"
                + "\"loss_counts\":false,\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,"
                + "\"max_fds\":4200,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,"
                + "\"discovery\":\"platform\",\"entry\":\"registry\",\"heartbeat_ms\":1200,"
                + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":3000,\"ack_ms\":4000,"
                + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":" + GRACE_SECONDS + ",\"loss_slack_ms\":200,"
                + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"retry_ratio\":0.2,"
                + "\"retry_window_s\":10,\"retry_slack\":102,\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,"
                + "\"version_ms\":8000,\"version_all_ms\":0,\"ttl_max_s\":5},\"provider\":{\"address\":\""
                + store.address() + "\",\"form\":\"read\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
                + "\"value_bytes\":1048576,\"min_ttl_ms\":1000}" + moreFields + "}";
    }

    /** Returns the loopback address of another machine; ports are the same on all machines. */
    private String nextAddress() {
        return "127.0.0." + (FIRST_MACHINE + machines++);
    }

    private static int freePorts() {
        Random random = new Random();
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int first = 20_000 + random.nextInt(1_000) * PORTS_PER_PROCESS;
            if (IntStream.range(first, first + PORTS_PER_PROCESS).allMatch(Deployment::isFree)) {
                return first;
            }
        }
        throw new IllegalStateException("no block of ports is free");
    }

    /** Tells whether a port is free on all addresses. */
    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
