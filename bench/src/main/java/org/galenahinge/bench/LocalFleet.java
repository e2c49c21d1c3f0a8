package org.galenahinge.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** A whole fleet as separate processes on this machine: stand-ins, slot processes with their upstreams, entries. */
public final class LocalFleet implements AutoCloseable {
    /** The address that everything listens on. */
    public static final String ADDRESS = "127.0.0.1";

    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() % 100) * 150;

    private final Path home;
    private final Path logs;
    private final Shape shape;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private final int configurationPort = freePort();
    private final int vmListPort = freePort();
    private final int storePort = freePort();
    private final int originPort = freePort();

    private LocalFleet(Path home, Path logs, Shape shape) {
        this.home = home;
        this.logs = logs;
        this.shape = shape;
    }

    /**
     * What a fleet is made of.
     *
     * @param profile the firm
     * @param entries entry VMs
     * @param models VMs with a model engine
     * @param orders VMs with a plain service whose calls may not be repeated
     * @param chunks chunks of a model
     * @param chunkBytes the size of a chunk, in bytes
     * @param originRate the rate of the origin's link, in bytes a second
     * @param vmRate the rate of a VM's link, in bytes a second
     * @param engineFlags flags of the model engines
     * @param entryFlags further flags of the entries
     */
    public record Shape(
            Profile profile,
            int entries,
            int models,
            int orders,
            int chunks,
            int chunkBytes,
            long originRate,
            long vmRate,
            List<String> engineFlags,
            List<String> entryFlags) {
        /** Copies the flags. */
        public Shape {
            engineFlags = List.copyOf(engineFlags);
            entryFlags = List.copyOf(entryFlags);
        }
    }

    /**
     * One VM of the fleet.
     *
     * @param name its name
     * @param kind {@code entry} or {@code upstream}
     * @param wirePort the port for links
     * @param httpPort the port for HTTP
     * @param upstreamPort the port of its upstream, 0 for an entry
     * @param region its region
     * @param failureDomain its failure domain
     * @param service whether its upstream is a plain service
     */
    public record Node(
            String name,
            String kind,
            int wirePort,
            int httpPort,
            int upstreamPort,
            String region,
            String failureDomain,
            boolean service) {
        /**
         * Returns where it answers HTTP.
         *
         * @return the URL
         */
        public String url() {
            return "http://" + ADDRESS + ":" + httpPort;
        }
    }

    /**
     * Starts every process and waits until all are up.
     *
     * @param home the folder of the checkout
     * @param logs the folder for log files
     * @param shape what the fleet is made of
     * @return the running fleet, without any ticket
     */
    public static LocalFleet start(Path home, Path logs, Shape shape) {
        Objects.requireNonNull(shape, "shape");
        try {
            Files.createDirectories(logs);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        LocalFleet fleet = new LocalFleet(home, logs, shape);
        try {
            fleet.startPlatform();
            fleet.planNodes();
            fleet.publishVms();
            fleet.nodes.values().forEach(fleet::startNode);
            fleet.awaitAll();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /**
     * Returns whose fleet this is.
     *
     * @return the profile
     */
    public Profile profile() {
        return shape.profile();
    }

    /**
     * Returns the VMs of a kind.
     *
     * @param kind {@code entry} or {@code upstream}
     * @return the VMs, in order of their numbers
     */
    public List<Node> nodes(String kind) {
        return nodes.values().stream().filter(node -> node.kind().equals(kind)).toList();
    }

    /**
     * Returns the VMs whose upstream is a model engine.
     *
     * @return the VMs
     */
    public List<Node> models() {
        return nodes("upstream").stream().filter(node -> !node.service()).toList();
    }

    /**
     * Returns the VMs whose upstream is a plain service.
     *
     * @return the VMs
     */
    public List<Node> orders() {
        return nodes("upstream").stream().filter(Node::service).toList();
    }

    /**
     * Returns the process of the system on a VM.
     *
     * @param node the VM
     * @return its process
     */
    public ManagedProcess process(Node node) {
        return processes.get(node.name());
    }

    /**
     * Returns the upstream process on a VM.
     *
     * @param node the VM
     * @return its upstream
     */
    public ManagedProcess upstream(Node node) {
        return processes.get(node.name() + "-upstream");
    }

    /**
     * Publishes a ticket as operators do: by writing to the configuration service, which the system only reads.
     *
     * @param number the ticket's number
     * @param ticket the ticket
     */
    public void publish(long number, String ticket) {
        int status = HttpTool.send("PUT", configurationUrl() + "/v1/values/tickets/" + number, ticket);
        if (status != 200) {
            throw new IllegalStateException("publishing ticket " + number + " was answered with " + status);
        }
    }

    /**
     * Makes a ticket that gives every VM its work.
     *
     * @param number the ticket's number
     * @param version the version of the model
     * @return the ticket
     */
    public String ticket(long number, String version) {
        ObjectNode ticket = HttpTool.JSON.createObjectNode().put("number", number);
        ArrayNode groups = ticket.putArray("groups");
        if (!models().isEmpty()) {
            ObjectNode drafts = groups.addObject().put("group", "drafts");
            models().forEach(node -> drafts.withArray("vms").add(node.name()));
            drafts.put("model", shape.profile().model()).put("version", version);
            drafts.put("minimumReady", models().size() / 2);
        }
        if (!orders().isEmpty()) {
            ObjectNode orders = groups.addObject().put("group", "orders");
            orders().forEach(node -> orders.withArray("vms").add(node.name()));
            orders.put("service", "orders").put("repeatable", false);
        }
        return ticket.toString();
    }

    /**
     * Marks a VM as leaving in the platform's list.
     *
     * @param node the VM
     */
    public void leave(Node node) {
        leaving.add(node.name());
        publishVms();
    }

    /**
     * Starts the process of the system on a VM again.
     *
     * @param node the VM
     */
    public void restart(Node node) {
        leaving.remove(node.name());
        startDaemon(node);
    }

    /**
     * Returns the address of the configuration service.
     *
     * @return the URL
     */
    public String configurationUrl() {
        return url(configurationPort);
    }

    /**
     * Returns the address of the VM list.
     *
     * @return the URL
     */
    public String vmListUrl() {
        return url(vmListPort);
    }

    /**
     * Returns the address of the origin.
     *
     * @return the URL
     */
    public String originUrl() {
        return url(originPort);
    }

    /**
     * Returns the address of a VM's upstream.
     *
     * @param node the VM
     * @return the URL
     */
    public String upstreamUrl(Node node) {
        return url(node.upstreamPort());
    }

    /**
     * Returns every process that was started and is still known.
     *
     * @return the processes
     */
    public List<ManagedProcess> processes() {
        return List.copyOf(processes.values());
    }

    /**
     * Stops the processes of the system gracefully, entries first.
     *
     * @param seconds how long each kind may take, in seconds
     * @return the names of those that did not end in time or not with exit code 0
     */
    public List<String> stopGracefully(long seconds) {
        List<String> failed = new ArrayList<>();
        for (String kind : List.of("entry", "upstream")) {
            List<ManagedProcess> alive = nodes(kind).stream()
                    .map(this::process)
                    .filter(ManagedProcess::isAlive)
                    .toList();
            alive.forEach(ManagedProcess::askToStop);
            for (ManagedProcess process : alive) {
                if (!process.waitForEnd(seconds) || process.exitCode() != 0) {
                    failed.add(process.name());
                }
            }
        }
        return failed;
    }

    @Override
    public void close() {
        List<ManagedProcess> all = processes();
        all.forEach(ManagedProcess::kill);
    }

    private void startPlatform() {
        String model = shape.profile().model();
        String artifacts =
                "models/" + model + "/1,models/" + model + "/2,models/" + model + "/3,adapters/" + model + "/quotes";
        List<String> weights = List.of(
                "--artifacts",
                artifacts,
                "--chunks",
                Integer.toString(shape.chunks()),
                "--chunk-bytes",
                Integer.toString(shape.chunkBytes()),
                "--rate",
                Long.toString(shape.originRate()));
        startStandIn("configuration", "configuration", configurationPort, List.of());
        startStandIn("vm-list", "vm-list", vmListPort, List.of());
        startStandIn("store", "weights", storePort, weights);
        startStandIn("origin", "weights", originPort, weights);
        HttpTool.await(vmListUrl() + "/v1/vms", document -> true, START_LIMIT);
    }

    private void planNodes() {
        for (int index = 0; index < shape.entries(); index++) {
            plan("entry-" + (index + 1), "entry", index, false);
        }
        for (int index = 0; index < shape.models(); index++) {
            plan("model-" + (index + 1), "upstream", index, false);
        }
        for (int index = 0; index < shape.orders(); index++) {
            plan("order-" + (index + 1), "upstream", index, true);
        }
    }

    private void plan(String name, String kind, int index, boolean service) {
        List<String> regions = shape.profile().regions();
        String region = regions.get(index % regions.size());
        String domain = region + "-" + (index / regions.size() % 2 + 1);
        int upstream = kind.equals("entry") ? 0 : freePort();
        nodes.put(name, new Node(name, kind, freePort(), freePort(), upstream, region, domain, service));
    }

    private void publishVms() {
        ObjectNode document = HttpTool.JSON.createObjectNode();
        ArrayNode vms = document.putArray("vms");
        for (Node node : nodes.values()) {
            vms.addObject()
                    .put("name", node.name())
                    .put("kind", node.kind())
                    .put("address", ADDRESS)
                    .put("wirePort", node.wirePort())
                    .put("httpPort", node.httpPort())
                    .put("region", node.region())
                    .put("failureDomain", node.failureDomain())
                    .put("leaving", leaving.contains(node.name()));
        }
        HttpTool.send("PUT", vmListUrl() + "/v1/vms", document.toString());
    }

    private void startNode(Node node) {
        if (node.kind().equals("upstream")) {
            startUpstream(node);
        }
        startDaemon(node);
    }

    /**
     * Starts the upstream of a VM again.
     *
     * @param node the VM
     */
    public void startUpstream(Node node) {
        String kind = node.service() ? "service" : "engine";
        List<String> flags = node.service() ? List.of() : shape.engineFlags();
        startStandIn(node.name() + "-upstream", kind, node.upstreamPort(), flags);
    }

    private void startDaemon(Node node) {
        List<String> command = new ArrayList<>();
        command.add(home.resolve("bin/galenahinged").toString());
        command.add(node.kind().equals("entry") ? "entry" : "slot");
        Map<String, String> flags = new LinkedHashMap<>();
        flags.put("name", node.name());
        flags.put("address", ADDRESS);
        flags.put("wire-port", Integer.toString(node.wirePort()));
        flags.put("http-port", Integer.toString(node.httpPort()));
        flags.put("region", node.region());
        flags.put("failure-domain", node.failureDomain());
        if (node.kind().equals("entry")) {
            flags.put("configuration-service", configurationUrl());
            flags.put("vm-list", vmListUrl());
        } else {
            flags.putAll(slotFlags(node));
        }
        flags.forEach((flag, value) -> command.addAll(List.of("--" + flag, value)));
        if (node.kind().equals("entry")) {
            command.addAll(shape.entryFlags());
        }
        processes.put(node.name(), ManagedProcess.start(node.name(), logs, Map.of(), command));
    }

    private Map<String, String> slotFlags(Node node) {
        Map<String, String> flags = new HashMap<>();
        flags.put("upstream", upstreamUrl(node));
        flags.put("upstream-kind", node.service() ? "service" : "model");
        flags.put("upstream-checks-fencing", Boolean.toString(!node.service()));
        flags.put("calls-repeatable", Boolean.toString(!node.service()));
        flags.put("store", url(storePort));
        flags.put("origin", originUrl());
        flags.put("vm-link-rate", Long.toString(shape.vmRate()));
        flags.put("origin-link-rate", Long.toString(shape.originRate()));
        flags.put("origin-copies", Integer.toString(shape.profile().originCopies()));
        flags.put("maximum-concurrent", "16");
        return flags;
    }

    private void startStandIn(String name, String kind, int port, List<String> flags) {
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx160m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                home.resolve("stand-ins/target/stand-ins.jar") + ":" + home.resolve("stand-ins/target/lib") + "/*",
                "org.galenahinge.standins.StandInMain",
                kind,
                "--port",
                Integer.toString(port)));
        command.addAll(flags);
        processes.put(name, ManagedProcess.start(name, logs, Map.of(), command));
    }

    private void awaitAll() {
        long until = System.nanoTime() + START_LIMIT.toNanos();
        for (Node node : nodes.values()) {
            while (HttpTool.get(node.url() + "/metrics").isEmpty()) {
                if (!process(node).isAlive() || System.nanoTime() - until > 0) {
                    throw new IllegalStateException(node.name() + " did not start; see its log in " + logs);
                }
                HttpTool.pause(50);
            }
        }
    }

    private static String url(int port) {
        return "http://" + ADDRESS + ":" + port;
    }

    /** Ports below the range that the system gives to outgoing connections, so none is taken in between. */
    private static synchronized int freePort() {
        for (int port = nextPort; port < LAST_PORT; port++) {
            if (isFree(port)) {
                nextPort = port + 1;
                return port;
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
