package org.galenahinge.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.placement.LoadReport;
import org.galenahinge.placement.SlotShare;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.wire.WireAddress;

/**
 * Sends an engine's load reports to the entries: with each report to some of this failure domain in turn, less often to
 * some of the others, and to all at once when the engine is about to stop serving in order to load. So its cost does not
 * grow with the number of entries. Each report shares the engine's free slots among its receivers, those of this failure
 * domain first. Not thread-safe.
 */
final class LoadAnnouncer {
    private static final Duration REMOTE_INTERVAL = Duration.ofMillis(400);
    private static final int MAXIMUM_LOCAL_ENTRIES = 6;
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
    private int lastInUse;
    private int nextLocalIndex;
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
     * Sends a report to the next entries of this failure domain and, where the interval has passed, to some of the others.
     */
    void announce(EngineReport report) {
        boolean remoteDue = timers.nanoTime() - nextRemoteNanos >= 0;
        List<NodeAddress> remote = remoteDue ? nextRemote() : List.of();
        List<NodeAddress> local = nextLocal();
        List<NodeAddress> receivers = new ArrayList<>(local);
        receivers.addAll(remote);
        send(report, receivers);
        if (remoteDue) {
            nextRemoteNanos = timers.nanoTime() + REMOTE_INTERVAL.toNanos();
        }
    }

    /**
     * Sends a report to all entries at once. An engine that stops serving in order to load must get no more requests:
     * they would wait until it has loaded.
     */
    void announceToAll(EngineReport report) {
        send(report, roster.up().stream().limit(MAXIMUM_ENTRIES_AT_ONCE).toList());
    }

    /**
     * Selects the next entries of this failure domain. Where all get each report, the next one starts with another entry,
     * since the first ones get the first of the free slots.
     */
    private List<NodeAddress> nextLocal() {
        List<NodeAddress> local = roster.inZone(zone);
        List<NodeAddress> chosen = rotate(local, nextLocalIndex, MAXIMUM_LOCAL_ENTRIES);
        nextLocalIndex += local.size() > MAXIMUM_LOCAL_ENTRIES ? chosen.size() : 1;
        return chosen;
    }

    /** Selects the next entries of other failure domains, in rotation. */
    private List<NodeAddress> nextRemote() {
        List<NodeAddress> candidates =
                roster.up().stream().filter(entry -> !entry.zone().equals(zone)).toList();
        List<NodeAddress> chosen = rotate(candidates, nextRemoteIndex, MAXIMUM_REMOTE_ENTRIES);
        nextRemoteIndex += chosen.size();
        return chosen;
    }

    /** Returns entries from the one with the given number on, which may exceed their number, at most so many. */
    private static List<NodeAddress> rotate(List<NodeAddress> entries, int first, int maximum) {
        List<NodeAddress> rotated = new ArrayList<>();
        for (int number = 0; number < Math.min(entries.size(), maximum); number++) {
            rotated.add(entries.get(Math.floorMod(first + number, entries.size())));
        }
        return rotated;
    }

    /** Sends a report to entries; those at the front get the first of the free slots. */
    private void send(EngineReport report, List<NodeAddress> entries) {
        int inUse = report.running() + report.waiting();
        int withheld = Math.max(0, lastInUse - inUse);
        lastInUse = inUse;
        List<SlotShare> shares = IntStream.range(0, entries.size())
                .mapToObj(position -> new SlotShare(position, entries.size(), withheld))
                .toList();
        List<byte[]> datagrams = LoadCodec.encodeShared(
                new LoadCodec.UpstreamReport(
                        upstream, report.incarnation(), loadOf(report), weightsController.versionsInRollout()),
                shares);
        for (int index = 0; index < entries.size(); index++) {
            sender.accept(entries.get(index), datagrams.get(index));
        }
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
