package org.galenahinge.bench;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.WireTraffic;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.SlotState;
import org.galenahinge.wire.generated.TicketContent;
import org.galenahinge.wire.generated.TicketDelivery;

/**
 * Distributes one model to many real slot processes and measures when each has all chunks. One operating system process
 * hosts up to 60 of them.
 */
final class SpreadRun implements AutoCloseable {
    static final int CHUNKS = 64;
    static final int CHUNK_BYTES = 32 << 10;
    static final double MODEL_BYTES = (double) CHUNKS * CHUNK_BYTES;

    private static final int VMS_PER_HOST = 60;
    private static final int FIRST_PORT = 20_000;
    private static final int STAND_IN_PORTS = 2;

    private final Plan plan;
    private final Path home;
    private final Path logs;
    private final NetworkThreads threads = NetworkThreads.start(1);
    private final Map<String, SlotState> states = new ConcurrentHashMap<>();
    private final Map<String, Long> completeNanos = new ConcurrentHashMap<>();
    private final List<ManagedProcess> hosts = new ArrayList<>();
    private final List<WireConnection> links = new ArrayList<>();
    private ManagedProcess origin;

    /**
     * The number of VMs, the rates of the links and the disturbances of one run.
     *
     * @param vms the number of VMs
     * @param originCopies how many copies of each chunk may be downloaded from the origin
     * @param originRate the origin's link, in bytes a second
     * @param vmRate a VM's link, each way, in bytes a second
     * @param regionRate a region's link to the others, each way, in bytes a second
     * @param killed how many VMs are killed after half the lower bound of the time, all in one process
     * @param originOnly whether each VM downloads every chunk from the origin, as a baseline
     */
    record Plan(
            int vms,
            int originCopies,
            double originRate,
            double vmRate,
            double regionRate,
            int killed,
            boolean originOnly) {
        /** Returns the lower bound that the links set on the time until all VMs have the model, in seconds. */
        double boundSeconds() {
            double fromOrigin = MODEL_BYTES / originRate;
            double intoVm = MODEL_BYTES / vmRate;
            double intoRegion = MODEL_BYTES / regionRate;
            double uploads = vms * MODEL_BYTES / (originRate + vms * vmRate);
            return Math.max(Math.max(fromOrigin, intoVm), Math.max(intoRegion, uploads));
        }
    }

    /**
     * The measurements of a run.
     *
     * @param seconds the times after which the surviving VMs had all chunks, ascending, in seconds
     * @param originCopies bytes downloaded from the origin, in copies of the model
     * @param regionCopies bytes that entered the region that received most from other regions, in copies of the model
     * @param hostCores average processor use of all hosts, in cores
     * @param megabytesPerVm resident memory of the hosts, in megabytes for each VM
     */
    record Measurement(
            List<Double> seconds, double originCopies, double regionCopies, double hostCores, double megabytesPerVm) {
        /** Returns the time after which a share of the VMs was complete, in seconds; NaN if none was. */
        double at(double share) {
            return seconds.isEmpty()
                    ? Double.NaN
                    : seconds.get((int) Math.min(seconds.size() - 1, Math.ceil(share * seconds.size()) - 1));
        }
    }

    SpreadRun(Experiment.Settings settings, Plan plan) {
        this.plan = plan;
        this.home = settings.home();
        this.logs = settings.logs();
    }

    /** Runs once; empty if the surviving VMs are not all complete within {@code timeoutSeconds}. */
    Optional<Measurement> run(double timeoutSeconds) {
        startOrigin();
        startHosts();
        connectAll();
        long startNanos = System.nanoTime();
        long processorNanosBefore =
                hosts.stream().mapToLong(ManagedProcess::processorNanos).sum();
        links.forEach(link -> link.send(delivery(link)));
        int survivors = plan.vms() - plan.killed();
        boolean killed = plan.killed() == 0;
        while (completeSurvivors() < survivors && secondsSince(startNanos) < timeoutSeconds) {
            HttpTool.pause(10);
            if (!killed && secondsSince(startNanos) > plan.boundSeconds() / 2) {
                hosts.get(hosts.size() - 1).kill();
                killed = true;
            }
        }
        double wallSeconds = secondsSince(startNanos);
        HttpTool.pause(500);
        return completeSurvivors() < survivors
                ? Optional.empty()
                : Optional.of(measure(startNanos, wallSeconds, processorNanosBefore));
    }

    private long completeSurvivors() {
        return completeNanos.keySet().stream()
                .filter(vm -> Integer.parseInt(vm.substring(vm.indexOf('-') + 1)) < plan.vms() - plan.killed())
                .count();
    }

    private Measurement measure(long startNanos, double wallSeconds, long processorNanosBefore) {
        List<Double> seconds = completeNanos.entrySet().stream()
                .filter(entry -> Integer.parseInt(entry.getKey().substring(3)) < plan.vms() - plan.killed())
                .map(entry -> (entry.getValue() - startNanos) / 1e9)
                .sorted()
                .toList();
        long served = HttpTool.get(originUrl() + "/statistics")
                .map(statistics -> statistics.path("bytesServed").asLong())
                .orElse(0L);
        long processorNanos =
                hosts.stream().mapToLong(ManagedProcess::processorNanos).sum() - processorNanosBefore;
        double residentMegabytes =
                hosts.stream().mapToLong(ManagedProcess::residentBytes).sum() / 1e6;
        return new Measurement(
                seconds,
                served / MODEL_BYTES,
                maximumCrossRegionBytes() / MODEL_BYTES,
                processorNanos / 1e9 / wallSeconds,
                residentMegabytes / plan.vms());
    }

    private double maximumCrossRegionBytes() {
        double[] crossRegionBytes = new double[SlotHostMain.REGIONS];
        refreshStates();
        for (int index = 0; index < plan.vms(); index++) {
            SlotState state = states.get(SlotHostMain.nameOf(index));
            if (state != null) {
                crossRegionBytes[index % SlotHostMain.REGIONS] += state.getCrossRegionBytes();
            }
        }
        double maximum = 0;
        for (double bytes : crossRegionBytes) {
            maximum = Math.max(maximum, bytes);
        }
        return maximum;
    }

    /** Connects to every slot process again, because each sends its state over a new connection. */
    private void refreshStates() {
        connectAll();
        HttpTool.pause(1_000);
    }

    @Override
    public void close() {
        hosts.forEach(ManagedProcess::kill);
        if (origin != null) {
            origin.kill();
        }
        threads.close();
    }

    private void startOrigin() {
        List<String> command = List.of(
                "java",
                "-Xmx200m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                home.resolve("stand-ins/target/stand-ins.jar") + ":" + home.resolve("stand-ins/target/lib") + "/*",
                "org.galenahinge.standins.StandInMain",
                "weights",
                "--port",
                Integer.toString(FIRST_PORT),
                "--artifacts",
                "models/inlay/1",
                "--chunks",
                Integer.toString(CHUNKS),
                "--chunk-bytes",
                Integer.toString(CHUNK_BYTES),
                "--rate",
                Long.toString((long) plan.originRate()));
        origin = ManagedProcess.start("origin", logs, Map.of(), command);
        HttpTool.await(originUrl() + "/statistics", document -> true, Duration.ofSeconds(30));
    }

    private static String originUrl() {
        return "http://" + LocalFleet.ADDRESS + ":" + FIRST_PORT;
    }

    private void startHosts() {
        int survivors = plan.vms() - plan.killed();
        for (int first = 0; first < survivors; first += VMS_PER_HOST) {
            startHost(first, Math.min(VMS_PER_HOST, survivors - first));
        }
        if (plan.killed() > 0) {
            startHost(survivors, plan.killed());
        }
        for (ManagedProcess host : hosts) {
            while (host.logLinesContaining("STARTED").isEmpty()) {
                if (!host.isAlive()) {
                    throw new IllegalStateException(host.name() + " did not start; see its log in " + logs);
                }
                HttpTool.pause(50);
            }
        }
    }

    private void startHost(int first, int count) {
        List<String> command = List.of(
                "java",
                "-Xmx" + (200 + 8 * count) + "m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                home.resolve("bench/target/bench.jar") + ":" + home.resolve("bench/target/lib") + "/*",
                "org.galenahinge.bench.SlotHostMain",
                "--first",
                Integer.toString(first),
                "--count",
                Integer.toString(count),
                "--base-port",
                Integer.toString(FIRST_PORT + STAND_IN_PORTS),
                "--origin",
                originUrl(),
                "--store",
                originUrl(),
                "--vm-rate",
                Long.toString((long) plan.vmRate()),
                "--origin-rate",
                Long.toString((long) plan.originRate()),
                "--region-rate",
                Long.toString((long) plan.regionRate()),
                "--origin-copies",
                Integer.toString(plan.originCopies()));
        hosts.add(ManagedProcess.start("host-" + plan.vms() + "-" + first, logs, Map.of(), command));
    }

    private void connectAll() {
        WireNetwork network = WireNetwork.create(threads, new WireTraffic(new MetricRegistry()));
        links.clear();
        for (int index = 0; index < plan.vms(); index++) {
            String vm = SlotHostMain.nameOf(index);
            WireAddress address =
                    new WireAddress(LocalFleet.ADDRESS, SlotHostMain.wirePortOf(FIRST_PORT + STAND_IN_PORTS, index));
            network.connect(address, new StateListener())
                    .handle((link, error) -> {
                        if (error == null) {
                            link.attach(vm);
                            links.add(link);
                        }
                        return link;
                    })
                    .toCompletableFuture()
                    .join();
        }
    }

    private Frame delivery(WireConnection link) {
        StringBuilder vms = new StringBuilder();
        TicketDelivery.Builder delivery = TicketDelivery.newBuilder();
        for (int index = 0; index < plan.vms(); index++) {
            vms.append(index == 0 ? "" : ",")
                    .append('"')
                    .append(SlotHostMain.nameOf(index))
                    .append('"');
            if (!plan.originOnly() || link.attachment().equals(SlotHostMain.nameOf(index))) {
                delivery.addPeers(peer(index));
            }
        }
        String ticket = "{\"number\":1,\"groups\":[{\"group\":\"drafts\",\"vms\":[" + vms
                + "],\"model\":\"inlay\",\"version\":\"1\"}]}";
        delivery.addTickets(TicketContent.newBuilder().setNumber(1).setJson(ByteString.copyFromUtf8(ticket)));
        return Frame.newBuilder().setTicketDelivery(delivery).build();
    }

    private static Peer peer(int index) {
        return Peer.newBuilder()
                .setVm(SlotHostMain.nameOf(index))
                .setAddress(LocalFleet.ADDRESS)
                .setWirePort(SlotHostMain.wirePortOf(FIRST_PORT + STAND_IN_PORTS, index))
                .setRegion(SlotHostMain.regionOf(index))
                .setFailureDomain(SlotHostMain.regionOf(index) + "-1")
                .build();
    }

    private static double secondsSince(long sinceNanos) {
        return (System.nanoTime() - sinceNanos) / 1e9;
    }

    private final class StateListener implements WireHandler {
        @Override
        public void opened(WireConnection link) {
            Hello hello =
                    Hello.newBuilder().setVm("experiment").setKind(Peers.ENTRY).build();
            link.send(Frame.newBuilder().setHello(hello).build());
        }

        @Override
        public void received(WireConnection link, Frame frame) {
            if (!frame.hasSlotState()) {
                return;
            }
            SlotState state = frame.getSlotState();
            states.put(state.getVm(), state);
            if (state.getChunksTotal() > 0 && state.getChunksHeld() == state.getChunksTotal()) {
                completeNanos.putIfAbsent(state.getVm(), System.nanoTime());
            }
        }

        @Override
        public void closed(WireConnection link) {
            // The connections to a host close when it is killed.
        }
    }
}
