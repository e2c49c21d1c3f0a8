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
 * Tells the entries what an engine does: those of the own failure domain with each report, others less often, and all
 * at once when the engine is about to stop for loading. Belongs to one thread.
 */
final class LoadAnnouncer {
    private static final Duration FAR_EVERY = Duration.ofMillis(400);
    private static final int MOST_NEAR = 64;
    private static final int MOST_FAR = 16;

    /** Beyond this many entries some hear of a load only with their next report. */
    private static final int MOST_AT_ONCE = 256;

    private final String zone;
    private final WireAddress upstream;
    private final EntryRoster roster;
    private final EngineWeightsController keeper;
    private final BiConsumer<NodeCard, byte[]> sender;
    private final Timers timers;
    private long nextFarNanos;
    private int farTurn;

    private LoadAnnouncer(
            String zone,
            WireAddress upstream,
            EntryRoster roster,
            EngineWeightsController keeper,
            BiConsumer<NodeCard, byte[]> sender,
            Timers timers) {
        this.zone = zone;
        this.upstream = upstream;
        this.roster = roster;
        this.keeper = keeper;
        this.sender = sender;
        this.timers = timers;
        this.nextFarNanos = timers.nanoTime();
    }

    /**
     * Creates an announcer that has nothing to tell yet.
     *
     * @param zone the failure domain of the own VM
     * @param upstream where the engine listens
     * @param roster the entries to tell
     * @param keeper knows whether the engine loads
     * @param sender sends a datagram to an entry, without waiting
     * @param timers the clock
     * @return the announcer
     */
    static LoadAnnouncer create(
            String zone,
            WireAddress upstream,
            EntryRoster roster,
            EngineWeightsController keeper,
            BiConsumer<NodeCard, byte[]> sender,
            Timers timers) {
        return new LoadAnnouncer(
                Objects.requireNonNull(zone, "zone"),
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(roster, "roster"),
                Objects.requireNonNull(keeper, "keeper"),
                Objects.requireNonNull(sender, "sender"),
                Objects.requireNonNull(timers, "timers"));
    }

    /** Tells what the engine says to those whose turn it is. */
    void reported(EngineReport report) {
        boolean far = timers.nanoTime() - nextFarNanos >= 0;
        List<NodeCard> others = far ? nextFar() : List.of();
        tell(report, Stream.concat(roster.inZone(zone).stream().limit(MOST_NEAR), others.stream()));
        if (far) {
            nextFarNanos = timers.nanoTime() + FAR_EVERY.toNanos();
        }
    }

    /** Tells everybody: an engine that stops for loading must get no more requests, which would wait for its end. */
    void tellAll(EngineReport report) {
        tell(report, roster.up().stream().limit(MOST_AT_ONCE));
    }

    /** Those of the other failure domains whose turn it is. */
    private List<NodeCard> nextFar() {
        List<NodeCard> far =
                roster.up().stream().filter(entry -> !entry.zone().equals(zone)).toList();
        List<NodeCard> chosen = new ArrayList<>();
        for (int number = 0; number < Math.min(far.size(), MOST_FAR); number++) {
            chosen.add(far.get((farTurn + number) % far.size()));
        }
        farTurn = far.isEmpty() ? 0 : (farTurn + chosen.size()) % far.size();
        return chosen;
    }

    private void tell(EngineReport report, Stream<NodeCard> entries) {
        byte[] datagram = LoadCodec.write(new LoadCodec.Load(upstream, report.incarnation(), loadOf(report)));
        entries.forEach(entry -> sender.accept(entry, datagram));
    }

    private LoadReport loadOf(EngineReport report) {
        double layers = Math.max(1, report.layers());
        return new LoadReport(
                report.running(),
                report.waiting(),
                report.contextUsed() / layers,
                report.pace(),
                keeper.isLoading(),
                keeper.untilLoad(),
                report.weights());
    }
}
