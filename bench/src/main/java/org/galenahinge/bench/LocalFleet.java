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

/** Runs a fleet as separate processes on this machine: stand-ins, slot processes with their upstreams, entries. */
public final class LocalFleet implements AutoCloseable {
    /** The address that every process listens on. */
    public static final String ADDRESS = "127.0.0.1";

    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() % 100) * 150;

    private final Path home;
    private final Path logs;
    private final Options options;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, Vm> vms = new LinkedHashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private final int configurationPort = freePort();
    private final int vmListPort = freePort();
    private final int storePort = freePort();
    private final int originPort = freePort();

    private LocalFleet(Path home, Path logs, Options options) {
        this.home = home;
        this.logs = logs;
        this.options = options;
    }

    /**
     * The size of a fleet, its weights, its network rates and its flags.
     *
     * @param profile the firm whose fleet it is
     * @param entries the number of entry VMs
     * @param models the number of VMs with a model engine
     * @param orders the number of VMs with a plain service whose requests are not idempotent
     * @param chunks the number of chunks of a model
     * @param chunkBytes the size of a chunk, in bytes
     * @param originRate the rate of the origin's link, in bytes a second
     * @param vmRate the rate of a VM's link, in bytes a second
     * @param engineFlags command-line flags of the model engines
     * @param entryFlags additional command-line flags of the entries
     */
    public record Options(
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
        public Options {
            engineFlags = List.copyOf(engineFlags);
            entryFlags = List.copyOf(entryFlags);
        }
    }

    /**
     * One VM of the fleet.
     *
     * @param name its name
     * @param kind {@code entry} or {@code upstream}
     * @param wirePort the port for connections between nodes
     * @param httpPort the port for HTTP
     * @param upstreamPort the port of its upstream, 0 for an entry
     * @param region its region
     * @param failureDomain its failure domain
     * @param service whether its upstream is a plain service
     */
    public record Vm(
            String name,
            String kind,
            int wirePort,
            int httpPort,
            int upstreamPort,
            String region,
            String failureDomain,
            boolean service) {
        /**
         * Returns the base URL of its HTTP server.
         *
         * @return the URL
         */
        public String url() {
            return "http://" + ADDRESS + ":" + httpPort;
        }
    }

    /**
     * Starts every process and waits until each answers HTTP requests.
     *
     * @param home the root folder of the checkout
     * @param logs the folder for log files; created if it is absent
     * @param options the size of the fleet and its settings
     * @return the running fleet, without any ticket
     * @throws IllegalStateException if a process does not start within 60 seconds; all others are killed
     */
    public static LocalFleet start(Path home, Path logs, Options options) {
        Objects.requireNonNull(options, "options");
        try {
            Files.createDirectories(logs);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        LocalFleet fleet = new LocalFleet(home, logs, options);
        try {
            fleet.startPlatform();
            fleet.planVms();
            fleet.publishVms();
            fleet.vms.values().forEach(fleet::startVm);
            fleet.awaitStarted();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /**
     * Returns the profile of the firm whose fleet this is.
     *
     * @return the profile
     */
    public Profile profile() {
        return options.profile();
    }

    /**
     * Returns the VMs of a kind.
     *
     * @param kind {@code entry} or {@code upstream}
     * @return the VMs, in order of their numbers
     */
    public List<Vm> vms(String kind) {
        return vms.values().stream().filter(vm -> vm.kind().equals(kind)).toList();
    }

    /**
     * Returns the VMs whose upstream is a model engine.
     *
     * @return the VMs
     */
    public List<Vm> models() {
        return vms("upstream").stream().filter(vm -> !vm.service()).toList();
    }

    /**
     * Returns the VMs whose upstream is a plain service.
     *
     * @return the VMs
     */
    public List<Vm> orders() {
        return vms("upstream").stream().filter(Vm::service).toList();
    }

    /**
     * Returns the entry or slot process on a VM.
     *
     * @param vm the VM
     * @return its process
     */
    public ManagedProcess process(Vm vm) {
        return processes.get(vm.name());
    }

    /**
     * Returns the upstream process on a VM.
     *
     * @param vm the VM
     * @return its upstream's process
     */
    public ManagedProcess upstream(Vm vm) {
        return processes.get(vm.name() + "-upstream");
    }

    /**
     * Publishes a ticket as operators do: by writing it to the configuration service, which the system only reads.
     *
     * @param number the ticket's number
     * @param ticket the ticket as JSON
     * @throws IllegalStateException if the configuration service does not respond with status 200
     */
    public void publish(long number, String ticket) {
        int status = HttpTool.send("PUT", configurationUrl() + "/v1/values/tickets/" + number, ticket);
        if (status != 200) {
            throw new IllegalStateException("publishing ticket " + number + " failed with status " + status);
        }
    }

    /**
     * Creates a ticket that assigns every upstream VM to a group: the engines to {@code drafts}, the plain services to
     * {@code orders}.
     *
     * @param number the ticket's number
     * @param version the version of the model
     * @return the ticket as JSON
     */
    public String ticket(long number, String version) {
        ObjectNode ticket = HttpTool.JSON.createObjectNode().put("number", number);
        ArrayNode groups = ticket.putArray("groups");
        if (!models().isEmpty()) {
            ObjectNode drafts = groups.addObject().put("group", "drafts");
            models().forEach(vm -> drafts.withArray("vms").add(vm.name()));
            drafts.put("model", options.profile().model()).put("version", version);
            drafts.put("minimumReady", models().size() / 2);
        }
        if (!orders().isEmpty()) {
            ObjectNode orders = groups.addObject().put("group", "orders");
            orders().forEach(vm -> orders.withArray("vms").add(vm.name()));
            orders.put("service", "orders").put("repeatable", false);
        }
        return ticket.toString();
    }

    /**
     * Marks a VM as leaving in the platform's VM list.
     *
     * @param vm the VM
     */
    public void markLeaving(Vm vm) {
        leaving.add(vm.name());
        publishVms();
    }

    /**
     * Starts the entry or slot process on a VM again, and removes its leaving mark.
     *
     * @param vm the VM
     */
    public void restart(Vm vm) {
        leaving.remove(vm.name());
        startDaemon(vm);
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
     * @param vm the VM
     * @return the URL
     */
    public String upstreamUrl(Vm vm) {
        return url(vm.upstreamPort());
    }

    /**
     * Returns the process that was last started under each name, also if it has ended.
     *
     * @return the processes
     */
    public List<ManagedProcess> processes() {
        return List.copyOf(processes.values());
    }

    /**
     * Stops the entry and slot processes gracefully, entries first.
     *
     * @param seconds how long to wait for each process, in seconds
     * @return the names of the processes that did not end in time or whose exit code was not 0
     */
    public List<String> stopGracefully(long seconds) {
        List<String> failed = new ArrayList<>();
        for (String kind : List.of("entry", "upstream")) {
            List<ManagedProcess> alive = vms(kind).stream()
                    .map(this::process)
                    .filter(ManagedProcess::isAlive)
                    .toList();
            alive.forEach(ManagedProcess::requestStop);
            for (ManagedProcess process : alive) {
                if (!process.waitForExit(seconds) || process.exitCode() != 0) {
                    failed.add(process.name());
                }
            }
        }
        return failed;
    }

    @Override
    public void close() {
        List<ManagedProcess> started = processes();
        started.forEach(ManagedProcess::kill);
    }

    private void startPlatform() {
        String model = options.profile().model();
        String artifacts =
                "models/" + model + "/1,models/" + model + "/2,models/" + model + "/3,adapters/" + model + "/quotes";
        List<String> weights = List.of(
                "--artifacts",
                artifacts,
                "--chunks",
                Integer.toString(options.chunks()),
                "--chunk-bytes",
                Integer.toString(options.chunkBytes()),
                "--rate",
                Long.toString(options.originRate()));
        startStandIn("configuration", "configuration", configurationPort, List.of());
        startStandIn("vm-list", "vm-list", vmListPort, List.of());
        startStandIn("store", "weights", storePort, weights);
        startStandIn("origin", "weights", originPort, weights);
        HttpTool.await(vmListUrl() + "/v1/vms", document -> true, START_TIMEOUT);
    }

    private void planVms() {
        for (int index = 0; index < options.entries(); index++) {
            planVm("entry-" + (index + 1), "entry", index, false);
        }
        for (int index = 0; index < options.models(); index++) {
            planVm("model-" + (index + 1), "upstream", index, false);
        }
        for (int index = 0; index < options.orders(); index++) {
            planVm("order-" + (index + 1), "upstream", index, true);
        }
    }

    private void planVm(String name, String kind, int index, boolean service) {
        List<String> regions = options.profile().regions();
        String region = regions.get(index % regions.size());
        String failureDomain = region + "-" + (index / regions.size() % 2 + 1);
        int upstream = kind.equals("entry") ? 0 : freePort();
        vms.put(name, new Vm(name, kind, freePort(), freePort(), upstream, region, failureDomain, service));
    }

    private void publishVms() {
        ObjectNode document = HttpTool.JSON.createObjectNode();
        ArrayNode list = document.putArray("vms");
        for (Vm vm : vms.values()) {
            list.addObject()
                    .put("name", vm.name())
                    .put("kind", vm.kind())
                    .put("address", ADDRESS)
                    .put("wirePort", vm.wirePort())
                    .put("httpPort", vm.httpPort())
                    .put("region", vm.region())
                    .put("failureDomain", vm.failureDomain())
                    .put("leaving", leaving.contains(vm.name()));
        }
        HttpTool.send("PUT", vmListUrl() + "/v1/vms", document.toString());
    }

    private void startVm(Vm vm) {
        if (vm.kind().equals("upstream")) {
            startUpstream(vm);
        }
        startDaemon(vm);
    }

    /**
     * Starts the upstream process of a VM, also after it was killed.
     *
     * @param vm the VM
     */
    public void startUpstream(Vm vm) {
        String kind = vm.service() ? "service" : "engine";
        List<String> flags = vm.service() ? List.of() : options.engineFlags();
        startStandIn(vm.name() + "-upstream", kind, vm.upstreamPort(), flags);
    }

    private void startDaemon(Vm vm) {
        List<String> command = new ArrayList<>();
        command.add(home.resolve("bin/galenahinged").toString());
        command.add(vm.kind().equals("entry") ? "entry" : "slot");
        Map<String, String> flags = new LinkedHashMap<>();
        flags.put("name", vm.name());
        flags.put("address", ADDRESS);
        flags.put("wire-port", Integer.toString(vm.wirePort()));
        flags.put("http-port", Integer.toString(vm.httpPort()));
        flags.put("region", vm.region());
        flags.put("failure-domain", vm.failureDomain());
        if (vm.kind().equals("entry")) {
            flags.put("configuration-service", configurationUrl());
            flags.put("vm-list", vmListUrl());
        } else {
            flags.putAll(slotFlags(vm));
        }
        flags.forEach((flag, value) -> command.addAll(List.of("--" + flag, value)));
        if (vm.kind().equals("entry")) {
            command.addAll(options.entryFlags());
        }
        processes.put(vm.name(), ManagedProcess.start(vm.name(), logs, Map.of(), command));
    }

    private Map<String, String> slotFlags(Vm vm) {
        Map<String, String> flags = new HashMap<>();
        flags.put("upstream", upstreamUrl(vm));
        flags.put("upstream-kind", vm.service() ? "service" : "model");
        flags.put("upstream-checks-fencing", Boolean.toString(!vm.service()));
        flags.put("calls-repeatable", Boolean.toString(!vm.service()));
        flags.put("store", url(storePort));
        flags.put("origin", originUrl());
        flags.put("vm-link-rate", Long.toString(options.vmRate()));
        flags.put("origin-link-rate", Long.toString(options.originRate()));
        flags.put("origin-copies", Integer.toString(options.profile().originCopies()));
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

    private void awaitStarted() {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        for (Vm vm : vms.values()) {
            while (HttpTool.get(vm.url() + "/metrics").isEmpty()) {
                if (!process(vm).isAlive() || System.nanoTime() - deadline > 0) {
                    throw new IllegalStateException(vm.name() + " did not start; see its log in " + logs);
                }
                HttpTool.pause(50);
            }
        }
    }

    private static String url(int port) {
        return "http://" + ADDRESS + ":" + port;
    }

    /**
     * Returns a free port below the range that the operating system uses for outgoing connections, so that no such
     * connection takes the port before the process that it is meant for.
     */
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
