package org.galenahinge.bench;

import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.galenahinge.membership.MemberState.Status;
import org.galenahinge.membership.MembershipMessages.Outgoing;
import org.galenahinge.membership.MembershipProtocol;
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.MembershipCodec;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Runs the membership protocol of many entries over loopback datagrams, with message loss, and stops one member. */
final class MembershipExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "membership",
            "50 to 570 entries with 5% loss: <= 2 KB/s and <= 1.2% of a core for each, a dead one detected by "
                    + "all <= 5 s after the first ping it misses, no live one declared dead",
            130,
            40,
            MembershipExperiment::run);

    private static final double LOSS_PROBABILITY = 0.05;
    private static final int FIRST_PORT = 25_000;
    private static final long TICK_MILLIS = 100;
    private static final double DETECTION_TIMEOUT_SECONDS = 20;

    private MembershipExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("entries", "bytes a second for each");
        List<Integer> sizes = settings.vms() > 0
                ? List.of(settings.vms())
                : settings.quick() ? List.of(50, 200) : List.of(50, 100, 200, 570);
        for (int size : sizes) {
            measure(settings, result, size);
        }
        return result;
    }

    private static void measure(Experiment.Settings settings, Result result, int size) {
        try (MemberGroup members = new MemberGroup(size, settings.seed())) {
            HttpTool.pause(3_000);
            long bytesBefore = members.controlBytes();
            long processorNanosBefore = processorNanos();
            long startNanos = System.nanoTime();
            HttpTool.pause(settings.quick() ? 5_000 : 12_000);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            double bytesEach = (members.controlBytes() - bytesBefore) / seconds / size;
            double coresEach = (processorNanos() - processorNanosBefore) / 1e9 / seconds / size;
            long aliveReportedDead = members.count(Status.DEAD);
            double detectionSeconds = members.stopOneAndAwaitDetection();
            result.point("control", size, bytesEach)
                    .figure(Figure.atMost("bytes_per_s_at_" + size, bytesEach, 2_048))
                    .figure(Figure.atMost("core_share_at_" + size, coresEach, 0.012))
                    .figure(Figure.atMost("living_called_dead_at_" + size, aliveReportedDead, 0))
                    .figure(Figure.of("dead_out_of_use_everywhere_s_at_" + size, detectionSeconds));
        }
    }

    private static long processorNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static final class MemberGroup implements AutoCloseable {
        private final NetworkThreads threads = NetworkThreads.start(2);
        private final ScheduledExecutorService ticker = Executors.newScheduledThreadPool(2);
        private final MetricRegistry metrics = new MetricRegistry();
        private final List<Member> members = new ArrayList<>();
        private final Random random;

        MemberGroup(int size, long seed) {
            this.random = new Random(seed);
            List<String> names = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                names.add("entry-" + index);
            }
            for (int index = 0; index < size; index++) {
                members.add(new Member(index, names, seed));
            }
            for (Member member : members) {
                long offset = random.nextInt((int) TICK_MILLIS);
                ticker.scheduleAtFixedRate(member::tick, offset, TICK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        long controlBytes() {
            return metrics.counter("wire.control.bytes").getCount();
        }

        long count(Status status) {
            return members.stream()
                    .flatMap(member -> member.statuses().stream())
                    .filter(memberStatus -> memberStatus == status)
                    .count();
        }

        /**
         * Stops one member and returns the seconds until no other regards it as alive; infinite after 20 seconds.
         */
        double stopOneAndAwaitDetection() {
            Member stopped = members.get(0);
            stopped.stopped = true;
            long startNanos = System.nanoTime();
            while ((System.nanoTime() - startNanos) / 1e9 < DETECTION_TIMEOUT_SECONDS) {
                boolean detectedByAll =
                        members.stream().skip(1).noneMatch(member -> member.statusOf(stopped.name) == Status.ALIVE);
                if (detectedByAll) {
                    return (System.nanoTime() - startNanos) / 1e9;
                }
                HttpTool.pause(50);
            }
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public void close() {
            ticker.shutdownNow();
            threads.close();
        }

        private final class Member {
            private final String name;
            private final MembershipProtocol protocol;
            private final DatagramNetwork network;
            private final ConcurrentLinkedQueue<MembershipCodec.Received> inbox = new ConcurrentLinkedQueue<>();
            private volatile boolean stopped;

            Member(int index, List<String> names, long seed) {
                this.name = names.get(index);
                this.protocol = MembershipProtocol.create(
                        name, MembershipProtocol.Timing.STANDARD, seed * 31 + index, System.nanoTime());
                protocol.setListedMembers(names, System.nanoTime());
                try {
                    this.network = DatagramNetwork.listen(
                            threads, address(index), metrics, MembershipCodec::read, this::received);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            private void received(MembershipCodec.Received message) {
                if (!stopped) {
                    inbox.add(message);
                    ticker.execute(this::processInbox);
                }
            }

            private synchronized void processInbox() {
                for (MembershipCodec.Received next = inbox.poll(); next != null && !stopped; next = inbox.poll()) {
                    send(protocol.receive(next.sender(), next.message(), System.nanoTime()));
                }
            }

            private synchronized void tick() {
                if (!stopped) {
                    send(protocol.tick(System.nanoTime()));
                }
            }

            private void send(List<Outgoing> messages) {
                for (Outgoing outgoing : messages) {
                    if (random.nextDouble() >= LOSS_PROBABILITY) {
                        int recipient = Integer.parseInt(outgoing.to().substring("entry-".length()));
                        network.send(address(recipient), MembershipCodec.write(name, outgoing.message()));
                    }
                }
            }

            private synchronized List<Status> statuses() {
                return protocol.members().stream()
                        .map(member -> member.status())
                        .toList();
            }

            private synchronized Status statusOf(String vm) {
                return protocol.find(vm).orElseThrow().status();
            }
        }

        private static WireAddress address(int index) {
            return new WireAddress(LocalFleet.ADDRESS, FIRST_PORT + index);
        }
    }
}
