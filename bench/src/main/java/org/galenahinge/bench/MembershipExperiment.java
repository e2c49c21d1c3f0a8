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

/** Runs the real membership cores of many entries over loopback datagrams, with loss, and kills one. */
final class MembershipExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "membership",
            "50 to 570 entries with 5% loss: <= 2 KB/s and <= 1.2% of a core for each, a dead one out of use everywhere "
                    + "<= 5 s after the first ping it misses, none living declared dead",
            130,
            40,
            MembershipExperiment::run);

    private static final double LOSS = 0.05;
    private static final int FIRST_PORT = 25_000;
    private static final long TICK_MILLIS = 100;
    private static final double LONGEST_DETECTION_SECONDS = 20;

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
        try (Members members = new Members(size, settings.seed())) {
            HttpTool.pause(3_000);
            long bytes = members.controlBytes();
            long processor = processorNanos();
            long begin = System.nanoTime();
            HttpTool.pause(settings.quick() ? 5_000 : 12_000);
            double seconds = (System.nanoTime() - begin) / 1e9;
            double bytesEach = (members.controlBytes() - bytes) / seconds / size;
            double coreEach = (processorNanos() - processor) / 1e9 / seconds / size;
            long wronglyDead = members.count(Status.DEAD);
            double detected = members.killOneAndWait();
            result.point("control", size, bytesEach)
                    .figure(Figure.atMost("bytes_per_s_at_" + size, bytesEach, 2_048))
                    .figure(Figure.atMost("core_share_at_" + size, coreEach, 0.012))
                    .figure(Figure.atMost("living_called_dead_at_" + size, wronglyDead, 0))
                    .figure(Figure.of("dead_out_of_use_everywhere_s_at_" + size, detected));
        }
    }

    private static long processorNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static final class Members implements AutoCloseable {
        private final NetworkThreads threads = NetworkThreads.start(2);
        private final ScheduledExecutorService ticker = Executors.newScheduledThreadPool(2);
        private final MetricRegistry metrics = new MetricRegistry();
        private final List<Member> members = new ArrayList<>();
        private final Random loss;

        Members(int size, long seed) {
            this.loss = new Random(seed);
            List<String> names = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                names.add("entry-" + index);
            }
            for (int index = 0; index < size; index++) {
                members.add(new Member(index, names, seed));
            }
            for (Member member : members) {
                long offset = loss.nextInt((int) TICK_MILLIS);
                ticker.scheduleAtFixedRate(member::tick, offset, TICK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        long controlBytes() {
            return metrics.counter("wire.control.bytes").getCount();
        }

        long count(Status status) {
            return members.stream()
                    .flatMap(member -> member.states().stream())
                    .filter(held -> held == status)
                    .count();
        }

        double killOneAndWait() {
            Member victim = members.get(0);
            victim.dead = true;
            long begin = System.nanoTime();
            while ((System.nanoTime() - begin) / 1e9 < LONGEST_DETECTION_SECONDS) {
                boolean everywhere =
                        members.stream().skip(1).noneMatch(member -> member.statusOf(victim.name) == Status.ALIVE);
                if (everywhere) {
                    return (System.nanoTime() - begin) / 1e9;
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
            private final MembershipProtocol core;
            private final DatagramNetwork network;
            private final ConcurrentLinkedQueue<MembershipCodec.Received> inbox = new ConcurrentLinkedQueue<>();
            private volatile boolean dead;

            Member(int index, List<String> names, long seed) {
                this.name = names.get(index);
                this.core = MembershipProtocol.create(
                        name, MembershipProtocol.Timing.STANDARD, seed * 31 + index, System.nanoTime());
                core.setListedMembers(names, System.nanoTime());
                try {
                    this.network = DatagramNetwork.listen(
                            threads, address(index), metrics, MembershipCodec::read, this::received);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            private void received(MembershipCodec.Received message) {
                if (!dead) {
                    inbox.add(message);
                    ticker.execute(this::drain);
                }
            }

            private synchronized void drain() {
                for (MembershipCodec.Received next = inbox.poll(); next != null && !dead; next = inbox.poll()) {
                    send(core.receive(next.sender(), next.message(), System.nanoTime()));
                }
            }

            private synchronized void tick() {
                if (!dead) {
                    send(core.tick(System.nanoTime()));
                }
            }

            private void send(List<Outgoing> messages) {
                for (Outgoing outgoing : messages) {
                    if (loss.nextDouble() >= LOSS) {
                        int to = Integer.parseInt(outgoing.to().substring("entry-".length()));
                        network.send(address(to), MembershipCodec.write(name, outgoing.message()));
                    }
                }
            }

            private synchronized List<Status> states() {
                return core.members().stream().map(held -> held.status()).toList();
            }

            private synchronized Status statusOf(String vm) {
                return core.find(vm).orElseThrow().status();
            }
        }

        private static WireAddress address(int index) {
            return new WireAddress(LocalFleet.ADDRESS, FIRST_PORT + index);
        }
    }
}
