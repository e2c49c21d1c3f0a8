package org.galenahinge.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.EngineProfile;

/**
 * What this node knows of the load of one upstream: the requests this node has in flight there, and the last load report
 * of the upstream's slot process. Not thread-safe: all calls come from one thread.
 */
public final class UpstreamLoad {
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(1_200);
    /** Longer than two report intervals to a distant node. */
    private static final Duration REPORT_OVERDUE_AFTER = Duration.ofSeconds(1);

    /** Longer than the report interval of the slot process, which gives the same slots to other nodes afterwards. */
    private static final Duration SHARE_VALIDITY = Duration.ofMillis(150);

    private static final Duration FIRST_REPORT_TIMEOUT = Duration.ofMillis(1_500);
    private static final double INITIAL_RESIDENCE_MILLIS = 1_500;
    private static final double RESIDENCE_SMOOTHING = 0.1;
    private static final int FAILURES_BEFORE_BACKOFF = 2;
    private static final Duration MINIMUM_FAILURE_BACKOFF = Duration.ofMillis(400);
    private static final Duration MAXIMUM_FAILURE_BACKOFF = Duration.ofSeconds(4);
    private static final Duration REJECTION_BACKOFF = Duration.ofMillis(120);
    private static final Duration REJECTION_BACKOFF_WITHOUT_REPORT = Duration.ofMillis(600);

    private final long firstSeenNanos;
    private final RetryAfterPause pause;
    private final Map<Object, InFlight> inFlight = new LinkedHashMap<>();
    private Optional<LoadReport> report = Optional.empty();
    private long reportNanos;
    private Optional<Long> otherIncarnationNanos = Optional.empty();
    private int inFlightAtReport;
    private int sentSinceReport;
    private int endedSinceReport;
    private double residenceMillis = INITIAL_RESIDENCE_MILLIS;
    private int consecutiveFailures;
    private long backoffUntilNanos = Long.MIN_VALUE / 2;

    /**
     * Creates the load of an upstream that has not reported yet.
     *
     * @param firstSeenNanos when this node first saw the upstream, in nanoseconds
     */
    public UpstreamLoad(long firstSeenNanos) {
        this(firstSeenNanos, new RetryAfterPause());
    }

    /**
     * Creates the load of an upstream that has not reported yet, but may have named a time after which it wants requests.
     *
     * @param firstSeenNanos when this node first saw the upstream, in nanoseconds
     * @param pause the time that it named
     */
    public UpstreamLoad(long firstSeenNanos, RetryAfterPause pause) {
        this.firstSeenNanos = firstSeenNanos;
        this.pause = Objects.requireNonNull(pause, "pause");
    }

    private record InFlight(int promptTokens, long sentNanos, boolean awaitsFirstEvent) {}

    /**
     * Records a load report.
     *
     * @param newReport the report
     * @param nowNanos the time, in nanoseconds
     */
    public void recordReport(LoadReport newReport, long nowNanos) {
        report = Optional.of(newReport);
        otherIncarnationNanos = Optional.empty();
        reportNanos = nowNanos;
        inFlightAtReport = inFlight.size();
        sentSinceReport = 0;
        endedSinceReport = 0;
    }

    /**
     * Records that another incarnation of the upstream has reported from the same address.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void recordOtherIncarnation(long nowNanos) {
        otherIncarnationNanos = Optional.of(nowNanos);
    }

    /**
     * Returns whether another incarnation runs at the upstream's address, so that this one is gone. The store may still
     * hold the record of this incarnation and not yet that of the new one.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether any request sent to this incarnation would be rejected
     */
    public boolean isReplaced(long nowNanos) {
        return otherIncarnationNanos
                .filter(reportedNanos -> nowNanos - reportedNanos < REPORT_VALIDITY.toNanos())
                .isPresent();
    }

    /**
     * Returns the last report, if it is recent enough to rely on.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the report, or empty if there is none or it is too old
     */
    public Optional<LoadReport> report(long nowNanos) {
        return report.filter(known -> nowNanos - reportNanos < REPORT_VALIDITY.toNanos());
    }

    /**
     * Returns whether the upstream has weights and serves requests, as far as it has said.
     *
     * @param nowNanos the time, in nanoseconds
     * @return false while a valid report says that it has no weights or loads some, or while it wants no requests
     */
    boolean isServing(long nowNanos) {
        return !pause.isActive(nowNanos)
                && report(nowNanos)
                        .map(known -> !known.loading() && known.weights().isPresent())
                        .orElse(true);
    }

    /**
     * Returns whether the upstream is new to this node and its first report may still come. Until then its record in the
     * store may describe the weights that it had before it lost power.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether to wait for the first report
     */
    public boolean isAwaitingFirstReport(long nowNanos) {
        return report.isEmpty() && nowNanos - firstSeenNanos < FIRST_REPORT_TIMEOUT.toNanos();
    }

    /**
     * Returns whether the next report is overdue: the upstream's VM may be unresponsive or unreachable, or its slot
     * process may have stopped.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether there were reports and the next one is overdue
     */
    public boolean isReportOverdue(long nowNanos) {
        return report.isPresent() && nowNanos - reportNanos >= REPORT_OVERDUE_AFTER.toNanos();
    }

    /**
     * Returns the age of the last report.
     *
     * @param nowNanos the time, in nanoseconds
     * @return milliseconds, -1 before the first report
     */
    public long reportAgeMillis(long nowNanos) {
        return report.isEmpty() ? -1 : Duration.ofNanos(nowNanos - reportNanos).toMillis();
    }

    /**
     * Records that a request was sent.
     *
     * @param attempt identifies the attempt in later calls
     * @param promptTokens number of prompt tokens, 0 for a plain request
     * @param nowNanos the time, in nanoseconds
     */
    public void recordSent(Object attempt, int promptTokens, long nowNanos) {
        inFlight.put(attempt, new InFlight(promptTokens, nowNanos, true));
        sentSinceReport++;
        pause.recordSent(attempt, nowNanos);
    }

    /**
     * Records the first event of a response, which shows that the engine has read the prompt.
     *
     * @param attempt the attempt
     */
    public void recordFirstEvent(Object attempt) {
        inFlight.computeIfPresent(
                attempt, (key, known) -> new InFlight(known.promptTokens(), known.sentNanos(), false));
        pause.recordAccepted(attempt);
    }

    /**
     * Records that an attempt ended. Has no effect if the attempt is not in flight.
     *
     * @param attempt the attempt
     * @param success whether the upstream responded correctly
     * @param nowNanos the time, in nanoseconds
     */
    public void recordEnd(Object attempt, boolean success, long nowNanos) {
        InFlight ended = inFlight.remove(attempt);
        if (ended == null) {
            return;
        }
        if (success) {
            pause.recordAccepted(attempt);
            endedSinceReport++;
            consecutiveFailures = 0;
            double residence = Duration.ofNanos(nowNanos - ended.sentNanos()).toMillis();
            residenceMillis += RESIDENCE_SMOOTHING * (residence - residenceMillis);
            return;
        }
        pause.recordEnded(attempt);
        recordFailure(nowNanos);
    }

    /**
     * Records that the upstream rejected a request without running it. The upstream gets no requests for a short time.
     *
     * @param attempt the attempt
     * @param nowNanos the time, in nanoseconds
     */
    public void recordRejection(Object attempt, long nowNanos) {
        inFlight.remove(attempt);
        Duration backoff = report(nowNanos).isPresent() ? REJECTION_BACKOFF : REJECTION_BACKOFF_WITHOUT_REPORT;
        backoffUntilNanos = Math.max(backoffUntilNanos, nowNanos + backoff.toNanos());
        pause.recordRejected(attempt);
    }

    /**
     * Records that the upstream wants no requests from this node for a time.
     *
     * @param time the time from now; zero has no effect
     * @param spread how far to delay the return to the upstream within the possible delays, from 0 to 1
     * @param nowNanos the time, in nanoseconds
     */
    public void recordRetryAfter(Duration time, double spread, long nowNanos) {
        pause.begin(time, spread, nowNanos);
    }

    /**
     * Returns the time after which the upstream wants requests, which outlives this load if the upstream's record is
     * missing for a while.
     *
     * @return the time
     */
    public RetryAfterPause pause() {
        return pause;
    }

    /**
     * Removes an attempt whose end shows nothing about the upstream, for example because the caller disconnected.
     *
     * @param attempt the attempt
     */
    public void discard(Object attempt) {
        pause.recordEnded(attempt);
        if (inFlight.remove(attempt) != null) {
            endedSinceReport++;
        }
    }

    /**
     * Records a failure. After several in a row the upstream gets no requests for a backoff that doubles with each further
     * failure, and then a single trial request.
     *
     * @param nowNanos the time, in nanoseconds
     */
    public void recordFailure(long nowNanos) {
        consecutiveFailures++;
        if (consecutiveFailures < FAILURES_BEFORE_BACKOFF) {
            return;
        }
        int doublings = Math.min(consecutiveFailures - FAILURES_BEFORE_BACKOFF, 4);
        long backoffNanos = Math.min(MINIMUM_FAILURE_BACKOFF.toNanos() << doublings, MAXIMUM_FAILURE_BACKOFF.toNanos());
        backoffUntilNanos = nowNanos + backoffNanos;
    }

    /**
     * Returns whether the upstream is in backoff after failures or a rejection, its trial request after failures is still
     * in flight, or it wants no requests or no more of them.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether to send it no request now
     */
    public boolean isBackingOff(long nowNanos) {
        if (nowNanos - backoffUntilNanos < 0 || pause.isBlocking(nowNanos)) {
            return true;
        }
        return consecutiveFailures >= FAILURES_BEFORE_BACKOFF && !inFlight.isEmpty();
    }

    /**
     * Returns the number of requests that this node has in flight at the upstream.
     *
     * @return the number of requests
     */
    public int ownInFlight() {
        return inFlight.size();
    }

    /**
     * Estimates the number of requests that all nodes have in flight at the upstream.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the number of requests
     */
    public int totalInFlight(long nowNanos) {
        return inFlight.size()
                + report(nowNanos)
                        .map(known -> Math.max(0, known.running() + known.waiting() - inFlightAtReport))
                        .orElse(0);
    }

    /**
     * Returns whether this node may use another slot of the upstream. All nodes see the same free slots in a report, so
     * each node uses only its share of them until the next report, besides the slots that its own requests have left
     * since then. It leaves these to others if requests wait in the upstream. Without a valid report it uses its share of
     * all slots.
     *
     * @param slots how many requests the upstream processes at once
     * @param nodes number of nodes that send to the upstream
     * @param mayClaimSlots whether it may send a request although it has no share, if none waits in the upstream
     * @param nowNanos the time, in nanoseconds
     * @return whether this node's share is not yet used up
     */
    public boolean hasShareLeft(int slots, int nodes, boolean mayClaimSlots, long nowNanos) {
        Optional<LoadReport> known = report(nowNanos);
        if (known.isEmpty()) {
            return inFlight.size() < Math.max(1, slots / Math.max(1, nodes));
        }
        int free = Math.max(0, slots - known.get().running() - known.get().waiting());
        int share = shareOf(free, known.get().share(), nodes, nowNanos);
        if (known.get().waiting() > 0) {
            return sentSinceReport < share;
        }
        return sentSinceReport < Math.max(mayClaimSlots ? 1 : 0, share + endedSinceReport);
    }

    private int shareOf(int free, SlotShare share, int nodes, long nowNanos) {
        int equalShare = free / Math.max(1, nodes);
        if (!share.isKnown()) {
            return Math.max(1, equalShare);
        }
        boolean valid = nowNanos - reportNanos < SHARE_VALIDITY.toNanos();
        return valid ? Math.max(share.of(free), equalShare) : equalShare;
    }

    /**
     * Returns the smoothed time from sending a request to the end of its response.
     *
     * @return milliseconds
     */
    public double residenceMillis() {
        return residenceMillis;
    }

    /**
     * Estimates the work that the engine has accepted, as input for a prediction.
     *
     * @param figures the engine's published figures
     * @param nowNanos the time, in nanoseconds
     * @return the state
     */
    public EngineModel.State engineState(EngineProfile figures, long nowNanos) {
        EngineModel model = EngineModel.of(figures);
        int total = totalInFlight(nowNanos);
        double pendingPromptTokens = 0;
        double pendingPrefillMillis = 0;
        int prefilling = 0;
        for (InFlight request : inFlight.values()) {
            if (request.awaitsFirstEvent()) {
                pendingPromptTokens += request.promptTokens();
                pendingPrefillMillis += model.prefillMillis(request.promptTokens());
                prefilling++;
            }
        }
        Optional<LoadReport> known = report(nowNanos);
        int running = Math.max(0, Math.min(figures.slots(), total) - prefilling);
        double contextTokens = known.map(LoadReport::contextTokens).orElse(0.0);
        double pace = known.map(LoadReport::pace).orElse(1.0);
        return new EngineModel.State(
                running,
                Math.max(0, total - figures.slots()),
                contextTokens,
                pendingPromptTokens,
                pendingPrefillMillis,
                residenceMillis,
                pace);
    }
}
