package org.galenahinge.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.upstream.HeldWeights;

/**
 * What this node knows of one upstream's load: its own requests there, and what the upstream's slot process last said.
 * Belongs to one thread.
 */
public final class UpstreamLoad {
    private static final Duration REPORT_VALID = Duration.ofMillis(1_200);
    /** More than two reports to a distant node. */
    private static final Duration SILENT_AFTER = Duration.ofSeconds(1);

    private static final Duration PROOF_WITHIN = Duration.ofMillis(1_500);
    private static final Duration UNREPORTED_REFUSAL_REST = Duration.ofMillis(600);
    private static final double DEFAULT_STAY_MILLIS = 1_500;
    private static final double STAY_SMOOTHING = 0.1;
    private static final Duration FIRST_REST = Duration.ofMillis(400);
    private static final Duration LONGEST_REST = Duration.ofSeconds(4);
    private static final Duration REFUSAL_REST = Duration.ofMillis(120);
    private static final int FAILURES_BEFORE_REST = 2;

    private final long sinceNanos;
    private final Map<Object, OwnCall> own = new LinkedHashMap<>();
    private Optional<LoadReport> report = Optional.empty();
    private long reportNanos;
    private Optional<Long> otherLifeNanos = Optional.empty();
    private int ownAtReport;
    private int sentSinceReport;
    private double stayMillis = DEFAULT_STAY_MILLIS;
    private int failuresInRow;
    private long restUntilNanos = Long.MIN_VALUE / 2;

    /**
     * Creates the load of an upstream of which nothing has been heard.
     *
     * @param sinceNanos when this node first knew it, in nanoseconds
     */
    public UpstreamLoad(long sinceNanos) {
        this.sinceNanos = sinceNanos;
    }

    /**
     * What a slot process says of its upstream.
     *
     * @param running requests in the batch
     * @param waiting requests that wait
     * @param contextTokens the context held, in tokens
     * @param pace how much slower than its figures it works
     * @param loading whether it is loading weights and takes no new requests
     * @param untilLoad how long until it is to stop for loading, where that is known
     * @param weights the weights that it works with
     */
    public record LoadReport(
            int running,
            int waiting,
            double contextTokens,
            double pace,
            boolean loading,
            Optional<Duration> untilLoad,
            Optional<HeldWeights> weights) {
        /** Checks the parts. */
        public LoadReport {
            Objects.requireNonNull(untilLoad, "untilLoad");
            Objects.requireNonNull(weights, "weights");
        }
    }

    private record OwnCall(int promptTokens, long sentNanos, boolean reading) {}

    /**
     * Takes in a report.
     *
     * @param newReport the report
     * @param nowNanos the time, in nanoseconds
     */
    public void reported(LoadReport newReport, long nowNanos) {
        report = Optional.of(newReport);
        otherLifeNanos = Optional.empty();
        reportNanos = nowNanos;
        ownAtReport = own.size();
        sentSinceReport = 0;
    }

    /**
     * Takes in that another life of the upstream runs at its address.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void otherLifeReported(long nowNanos) {
        otherLifeNanos = Optional.of(nowNanos);
    }

    /**
     * Tells whether another life runs at the upstream's address, so that this one is gone, though the store may still
     * hold its entry and not yet that of the new one.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether requests sent to it would only be refused
     */
    public boolean isReplaced(long nowNanos) {
        return otherLifeNanos
                .filter(heard -> nowNanos - heard < REPORT_VALID.toNanos())
                .isPresent();
    }

    /**
     * Returns the last report.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the report, unless it is too old to go by
     */
    public Optional<LoadReport> report(long nowNanos) {
        return report.filter(known -> nowNanos - reportNanos < REPORT_VALID.toNanos());
    }

    /**
     * Tells whether word of the upstream's slot process is still to be waited for. Until then its entry in the store may
     * describe what it held before it lost power.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether it is new to this node and has not been heard of
     */
    public boolean isUnproven(long nowNanos) {
        return report.isEmpty() && nowNanos - sinceNanos < PROOF_WITHIN.toNanos();
    }

    /**
     * Tells whether reports have stopped: the upstream's VM may stand still, be cut off, or have lost its slot process.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether there were reports, and the next ones are overdue
     */
    public boolean isSilent(long nowNanos) {
        return report.isPresent() && nowNanos - reportNanos >= SILENT_AFTER.toNanos();
    }

    /**
     * Returns how old the last report is.
     *
     * @param nowNanos the time, in nanoseconds
     * @return milliseconds, -1 before the first
     */
    public long reportAgeMillis(long nowNanos) {
        return report.isEmpty() ? -1 : Duration.ofNanos(nowNanos - reportNanos).toMillis();
    }

    /**
     * Notes that a request was sent.
     *
     * @param call identifies it
     * @param promptTokens tokens that must be read first, 0 for a plain request
     * @param nowNanos the time, in nanoseconds
     */
    public void sent(Object call, int promptTokens, long nowNanos) {
        own.put(call, new OwnCall(promptTokens, nowNanos, true));
        sentSinceReport++;
    }

    /**
     * Notes that the first event of a request came: its prompt has been read.
     *
     * @param call identifies it
     */
    public void began(Object call) {
        own.computeIfPresent(call, (key, known) -> new OwnCall(known.promptTokens(), known.sentNanos(), false));
    }

    /**
     * Notes that a request ended.
     *
     * @param call identifies it
     * @param well whether the upstream answered as it should
     * @param nowNanos the time, in nanoseconds
     */
    public void ended(Object call, boolean well, long nowNanos) {
        OwnCall ended = own.remove(call);
        if (ended == null) {
            return;
        }
        if (well) {
            failuresInRow = 0;
            double stay = Duration.ofNanos(nowNanos - ended.sentNanos()).toMillis();
            stayMillis += STAY_SMOOTHING * (stay - stayMillis);
            return;
        }
        failed(nowNanos);
    }

    /**
     * Notes that the upstream refused a request without running it: it gets nothing for a moment.
     *
     * @param call identifies it
     * @param nowNanos the time, in nanoseconds
     */
    public void refused(Object call, long nowNanos) {
        own.remove(call);
        Duration rest = report(nowNanos).isPresent() ? REFUSAL_REST : UNREPORTED_REFUSAL_REST;
        restUntilNanos = Math.max(restUntilNanos, nowNanos + rest.toNanos());
    }

    /**
     * Notes that a request ended without telling anything of the upstream, for example because its caller left.
     *
     * @param call identifies it
     */
    public void dropped(Object call) {
        own.remove(call);
    }

    /**
     * Notes a failure: after several in a row the upstream rests, each time for longer, then gets one request to show
     * that it is well.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void failed(long nowNanos) {
        failuresInRow++;
        if (failuresInRow < FAILURES_BEFORE_REST) {
            return;
        }
        int doublings = Math.min(failuresInRow - FAILURES_BEFORE_REST, 4);
        long rest = Math.min(FIRST_REST.toNanos() << doublings, LONGEST_REST.toNanos());
        restUntilNanos = nowNanos + rest;
    }

    /**
     * Tells whether the upstream rests after failures.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether to send it nothing now
     */
    public boolean isResting(long nowNanos) {
        if (nowNanos - restUntilNanos < 0) {
            return true;
        }
        return failuresInRow >= FAILURES_BEFORE_REST && !own.isEmpty();
    }

    /**
     * Returns how many requests of this node are there.
     *
     * @return the number
     */
    public int ownCalls() {
        return own.size();
    }

    /**
     * Estimates how many requests are there from all nodes.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the number
     */
    public int allCalls(long nowNanos) {
        return own.size()
                + report(nowNanos)
                        .map(known -> Math.max(0, known.running() + known.waiting() - ownAtReport))
                        .orElse(0);
    }

    /**
     * Tells whether this node may still take one of the places that the last report showed free. All nodes see the same
     * free places, so each takes only its part until the next report, and its part of all places while none is fresh.
     *
     * @param slots how many requests the upstream works on at once
     * @param nodes how many nodes send to it
     * @param nowNanos the time, in nanoseconds
     * @return whether the part is not yet used up
     */
    public boolean hasShareLeft(int slots, int nodes, long nowNanos) {
        return report(nowNanos)
                .map(known -> sentSinceReport < share(slots - known.running() - known.waiting(), nodes))
                .orElseGet(() -> own.size() < share(slots, nodes));
    }

    private static int share(int places, int nodes) {
        return Math.max(1, places / Math.max(1, nodes));
    }

    /**
     * Describes the engine's work for a prediction.
     *
     * @param figures the engine's published figures
     * @param nowNanos the time, in nanoseconds
     * @return the state
     */
    public EngineModel.State engineState(EngineProfile figures, long nowNanos) {
        EngineModel model = EngineModel.of(figures);
        int all = allCalls(nowNanos);
        double unreadTokens = 0;
        double unreadMillis = 0;
        int reading = 0;
        for (OwnCall call : own.values()) {
            if (call.reading()) {
                unreadTokens += call.promptTokens();
                unreadMillis += model.readMillis(call.promptTokens());
                reading++;
            }
        }
        Optional<LoadReport> known = report(nowNanos);
        int running = Math.max(0, Math.min(figures.slots(), all) - reading);
        double context = known.map(LoadReport::contextTokens).orElse(0.0);
        double pace = known.map(LoadReport::pace).orElse(1.0);
        return new EngineModel.State(
                running, Math.max(0, all - figures.slots()), context, unreadTokens, unreadMillis, stayMillis, pace);
    }
}
