package org.galenahinge.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.EvictingQueue;
import java.util.List;
import java.util.Objects;
import org.galenahinge.limit.TokenBucket;
import org.jboss.logging.Logger;
import org.slf4j.MDC;

/**
 * Logs routing and placement decisions up to a line rate, and keeps the latest ones in memory for operators.
 *
 * <p>A decision above the rate is kept and counted in {@code log.decisions.suppressed}, but not logged. Memory:
 * O(decisions kept).
 */
public final class DecisionLog {
    private static final Logger LOG = Logger.getLogger("decision");
    private static final int MAXIMUM_DECISIONS = 20_000;
    private static final int MAXIMUM_CANDIDATES_PER_DECISION = 8;

    private final EvictingQueue<Decision> latest = EvictingQueue.create(MAXIMUM_DECISIONS);
    private final Counter suppressed;
    private TokenBucket lineRate;

    private DecisionLog(int linesPerSecond, MetricRegistry metrics) {
        this.lineRate = TokenBucket.full(linesPerSecond, linesPerSecond, System.nanoTime());
        this.suppressed = metrics.counter("log.decisions.suppressed");
    }

    /**
     * Creates a log.
     *
     * @param linesPerSecond maximum number of lines written per second
     * @param metrics the registry in which suppressed lines are counted
     * @return the log
     */
    public static DecisionLog create(int linesPerSecond, MetricRegistry metrics) {
        return new DecisionLog(linesPerSecond, Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Keeps a decision, and logs it if the line rate allows.
     *
     * @param requestId the ID of the request, or the name of the ticket or weights concerned
     * @param kind what was decided
     * @param candidates the options considered; only the first 8 are kept
     * @param choice the option chosen; empty if none was
     * @param reason why it was chosen, or why none was
     */
    public void record(String requestId, String kind, List<String> candidates, String choice, String reason) {
        List<String> kept = candidates.subList(0, Math.min(MAXIMUM_CANDIDATES_PER_DECISION, candidates.size()));
        Decision decision = new Decision(requestId, kind, kept, choice, reason, System.currentTimeMillis());
        if (addAndCheckRate(decision)) {
            write(decision);
        } else {
            suppressed.inc();
        }
    }

    /**
     * Finds the decisions that concern a request.
     *
     * @param requestId the request's ID
     * @return the decisions still kept, oldest first
     */
    public synchronized List<Decision> find(String requestId) {
        return latest.stream()
                .filter(decision -> decision.requestId().equals(requestId))
                .toList();
    }

    /** Keeps a decision and returns whether the line rate allows logging it. */
    private synchronized boolean addAndCheckRate(Decision decision) {
        latest.add(decision);
        var remaining = lineRate.take(1, System.nanoTime());
        remaining.ifPresent(bucket -> lineRate = bucket);
        return remaining.isPresent();
    }

    private static void write(Decision decision) {
        MDC.put("request", decision.requestId());
        MDC.put("decision", decision.kind());
        MDC.put("choice", decision.choice());
        MDC.put("candidates", String.join(",", decision.candidates()));
        MDC.put("reason", decision.reason());
        try {
            LOG.infof(
                    "%s %s -> %s (%s) of %s",
                    decision.kind(), decision.requestId(), decision.choice(), decision.reason(), decision.candidates());
        } finally {
            MDC.clear();
        }
    }
}
