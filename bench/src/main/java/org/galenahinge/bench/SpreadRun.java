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
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.WireLink;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.WireTraffic;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.SlotState;
import org.galenahinge.wire.generated.TicketContent;
import org.galenahinge.wire.generated.TicketDelivery;

/** Spreads one model to many real slot processes, hosted a few dozen to a process, and times when each is complete. */
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
    private final List<WireLink> links = new ArrayList<>();
    private ManagedProcess origin;

    /**
     * What is spread and over which links.
     *
     * @param vms the number of VMs
     * @param originCopies copies of each chunk that may be drawn from the origin
     * @param originRate the origin's link, in bytes a second
     * @param vmRate a VM's link, each way, in bytes a second
     * @param regionRate a region's link to the others, each way, in bytes a second
     * @param killed how many VMs are killed half way, all in one process
     * @param alone whether each VM draws all from the origin, as a baseline
     */
    record Plan(
            int vms, int originCopies, double originRate, double vmRate, double regionRate, int killed, boolean alone) {
        /** The least time that the links allow, in seconds. */
        double boundSeconds() {
            double fromOrigin = MODEL_BYTES / originRate;
            double intoVm = MODEL_BYTES / vmRate;
            double intoRegion = MODEL_BYTES / regionRate;
            double uploads = vms * MODEL_BYTES / (originRate + vms * vmRate);
            return Math.max(Math.max(fromOrigin, intoVm), Math.max(intoRegion, uploads));
        }
    }

    /**
     * What a run measured.
     *
     * @param seconds the times at which VMs were complete, sorted, in seconds
     * @param originCopies copies drawn from the origin
     * @param regionCopies copies that entered the region that drew most from other regions
     * @param hostCores processor time of all hosts over the wall time, in cores
     * @param megabytesPerVm resident memory of the hosts, in megabytes for each VM
     */
    record Measured(
            List<Double> seconds, double originCopies, double regionCopies, double hostCores, double megabytesPerVm) {
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

    Optional<Measured> run(double limitSeconds) {
        startOrigin();
        startHosts();
        connectAll();
        long begin = System.nanoTime();
        long processorBefore =
                hosts.stream().mapToLong(ManagedProcess::processorNanos).sum();
        links.forEach(link -> link.send(delivery(link)));
        int wanted = plan.vms() - plan.killed();
        boolean killed = plan.killed() == 0;
        while (survivorsComplete() < wanted && seconds(begin) < limitSeconds) {
            HttpTool.pause(10);
            if (!killed && seconds(begin) > plan.boundSeconds() / 2) {
                hosts.get(hosts.size() - 1).kill();
                killed = true;
            }
        }
        double wall = seconds(begin);
        HttpTool.pause(500);
        return survivorsComplete() < wanted ? Optional.empty() : Optional.of(measure(begin, wall, processorBefore));
    }

    private long survivorsComplete() {
        return completeNanos.keySet().stream()
                .filter(vm -> Integer.parseInt(vm.substring(vm.indexOf('-') + 1)) < plan.vms() - plan.killed())
                .count();
    }

    private Measured measure(long begin, double wall, long processorBefore) {
        List<Double> seconds = completeNanos.entrySet().stream()
                .filter(entry -> Integer.parseInt(entry.getKey().substring(3)) < plan.vms() - plan.killed())
                .map(entry -> (entry.getValue() - begin) / 1e9)
                .sorted()
                .toList();
        long served = HttpTool.get(originUrl() + "/statistics")
                .map(statistics -> statistics.path("bytesServed").asLong())
                .orElse(0L);
        long processor =
                hosts.stream().mapToLong(ManagedProcess::processorNanos).sum() - processorBefore;
        double resident =
                hosts.stream().mapToLong(ManagedProcess::residentBytes).sum() / 1e6;
        return new Measured(
                seconds,
                served / MODEL_BYTES,
                mostCrossed() / MODEL_BYTES,
                processor / 1e9 / wall,
                resident / plan.vms());
    }

    private double mostCrossed() {
        double[] crossed = new double[SlotHostMain.REGIONS];
        refreshStates();
        for (int index = 0; index < plan.vms(); index++) {
            SlotState state = states.get(SlotHostMain.nameOf(index));
            if (state != null) {
                crossed[index % SlotHostMain.REGIONS] += state.getCrossRegionBytes();
            }
        }
        double most = 0;
        for (double bytes : crossed) {
            most = Math.max(most, bytes);
        }
        return most;
    }

    /** A slot process tells its state to a new link. */
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
            network.connect(address, new Listener())
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

    private Frame delivery(WireLink link) {
        StringBuilder vms = new StringBuilder();
        TicketDelivery.Builder delivery = TicketDelivery.newBuilder();
        for (int index = 0; index < plan.vms(); index++) {
            vms.append(index == 0 ? "" : ",")
                    .append('"')
                    .append(SlotHostMain.nameOf(index))
                    .append('"');
            if (!plan.alone() || link.attachment().equals(SlotHostMain.nameOf(index))) {
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

    private static double seconds(long sinceNanos) {
        return (System.nanoTime() - sinceNanos) / 1e9;
    }

    private final class Listener implements WireHandler {
        @Override
        public void opened(WireLink link) {
            Hello hello =
                    Hello.newBuilder().setVm("experiment").setKind(Peers.ENTRY).build();
            link.send(Frame.newBuilder().setHello(hello).build());
        }

        @Override
        public void received(WireLink link, Frame frame) {
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
        public void closed(WireLink link) {
            // A host that was killed closes its links.
        }
    }
}
