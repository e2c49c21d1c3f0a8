package org.galenahinge.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.placement.UpstreamLoad.LoadReport;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.wire.WireAddress;

/**
 * Sends an engine's load reports to the entries: to those of this failure domain with each report, to the others less
 * often, and to all at once when the engine is about to stop serving in order to load. Not thread-safe.
 */
final class LoadAnnouncer {
    private static final Duration REMOTE_INTERVAL = Duration.ofMillis(400);
    private static final int MAXIMUM_LOCAL_ENTRIES = 64;
    private static final int MAXIMUM_REMOTE_ENTRIES = 16;

    /** Entries beyond this number learn that an engine loads only with their next report. */
    private static final int MAXIMUM_ENTRIES_AT_ONCE = 256;

    private final String zone;
    private final WireAddress upstream;
    private final EntryRoster roster;
    private final EngineWeightsController weightsController;
    private final BiConsumer<NodeAddress, byte[]> sender;
    private final Timers timers;
    private long nextRemoteNanos;
    private int nextRemoteIndex;

    private LoadAnnouncer(
            String zone,
            WireAddress upstream,
            EntryRoster roster,
            EngineWeightsController weightsController,
            BiConsumer<NodeAddress, byte[]> sender,
            Timers timers) {
        this.zone = zone;
        this.upstream = upstream;
        this.roster = roster;
        this.weightsController = weightsController;
        this.sender = sender;
        this.timers = timers;
        this.nextRemoteNanos = timers.nanoTime();
    }

    /**
     * Creates an announcer.
     *
     * @param zone the failure domain of this VM
     * @param upstream the address of the engine
     * @param roster the entries that receive the reports
     * @param weightsController tells whether the engine is loading, and when it will
     * @param sender sends a datagram to an entry, without blocking
     * @param timers the clock
     * @return the announcer
     */
    static LoadAnnouncer create(
            String zone,
            WireAddress upstream,
            EntryRoster roster,
            EngineWeightsController weightsController,
            BiConsumer<NodeAddress, byte[]> sender,
            Timers timers) {
        return new LoadAnnouncer(
                Objects.requireNonNull(zone, "zone"),
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(roster, "roster"),
                Objects.requireNonNull(weightsController, "weightsController"),
                Objects.requireNonNull(sender, "sender"),
                Objects.requireNonNull(timers, "timers"));
    }

    /**
     * Sends a report to the entries of this failure domain and, where the interval has passed, to some of the others.
     */
    void announce(EngineReport report) {
        boolean remoteDue = timers.nanoTime() - nextRemoteNanos >= 0;
        List<NodeAddress> remote = remoteDue ? nextRemote() : List.of();
        send(report, Stream.concat(roster.inZone(zone).stream().limit(MAXIMUM_LOCAL_ENTRIES), remote.stream()));
        if (remoteDue) {
            nextRemoteNanos = timers.nanoTime() + REMOTE_INTERVAL.toNanos();
        }
    }

    /**
     * Sends a report to all entries at once. An engine that stops serving in order to load must get no more requests:
     * they would wait until it has loaded.
     */
    void announceToAll(EngineReport report) {
        send(report, roster.up().stream().limit(MAXIMUM_ENTRIES_AT_ONCE));
    }

    /** Selects the next entries of other failure domains, in rotation. */
    private List<NodeAddress> nextRemote() {
        List<NodeAddress> candidates =
                roster.up().stream().filter(entry -> !entry.zone().equals(zone)).toList();
        List<NodeAddress> chosen = new ArrayList<>();
        for (int number = 0; number < Math.min(candidates.size(), MAXIMUM_REMOTE_ENTRIES); number++) {
            chosen.add(candidates.get((nextRemoteIndex + number) % candidates.size()));
        }
        nextRemoteIndex = candidates.isEmpty() ? 0 : (nextRemoteIndex + chosen.size()) % candidates.size();
        return chosen;
    }

    private void send(EngineReport report, Stream<NodeAddress> entries) {
        byte[] datagram =
                LoadCodec.encode(new LoadCodec.UpstreamReport(upstream, report.incarnation(), loadOf(report)));
        entries.forEach(entry -> sender.accept(entry, datagram));
    }

    private LoadReport loadOf(EngineReport report) {
        double layers = Math.max(1, report.layers());
        return new LoadReport(
                report.running(),
                report.waiting(),
                report.contextUsed() / layers,
                report.pace(),
                weightsController.isLoading(),
                weightsController.untilLoad(),
                report.weights());
    }
}
