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
 * Writes a line for each decision, within a rate, and keeps the latest decisions for operators.
 *
 * <p>A decision past the rate is kept and counted, but its line is not written. Memory: O(decisions kept).
 */
public final class DecisionLog {
    private static final Logger LOG = Logger.getLogger("decision");
    private static final int DECISIONS_KEPT = 20_000;
    private static final int CANDIDATES_KEPT = 8;

    private final EvictingQueue<Decision> latest = EvictingQueue.create(DECISIONS_KEPT);
    private final Counter suppressed;
    private TokenBucket lines;

    private DecisionLog(int linesPerSecond, MetricRegistry metrics) {
        this.lines = TokenBucket.full(linesPerSecond, linesPerSecond, System.nanoTime());
        this.suppressed = metrics.counter("log.decisions.suppressed");
    }

    /**
     * Creates a log.
     *
     * @param linesPerSecond the most lines written in a second
     * @param metrics where suppressed lines are counted
     * @return the log
     */
    public static DecisionLog create(int linesPerSecond, MetricRegistry metrics) {
        return new DecisionLog(linesPerSecond, Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Records a decision.
     *
     * @param requestId the request, ticket or weights concerned
     * @param kind what was decided
     * @param candidates what could have been chosen
     * @param choice what was chosen, empty for a refusal
     * @param reason why
     */
    public void record(String requestId, String kind, List<String> candidates, String choice, String reason) {
        List<String> kept = candidates.subList(0, Math.min(CANDIDATES_KEPT, candidates.size()));
        Decision decision = new Decision(requestId, kind, kept, choice, reason, System.currentTimeMillis());
        if (remember(decision)) {
            write(decision);
        } else {
            suppressed.inc();
        }
    }

    /**
     * Finds the decisions taken for a request.
     *
     * @param requestId the request
     * @return the decisions still kept, oldest first
     */
    public synchronized List<Decision> find(String requestId) {
        return latest.stream()
                .filter(decision -> decision.requestId().equals(requestId))
                .toList();
    }

    private synchronized boolean remember(Decision decision) {
        latest.add(decision);
        var taken = lines.take(1, System.nanoTime());
        taken.ifPresent(rest -> lines = rest);
        return taken.isPresent();
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
