package org.galenahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Records the outcomes that callers saw, and compares them with what the upstreams executed. */
public final class OutcomeRecorder {
    private static final long MAXIMUM_RECORDED_MICROS = 600_000_000L;
    private static final int MAXIMUM_WRONG_RESPONSES = 50;

    private final Map<Outcome, AtomicLong> drafts = counters();
    private final Map<Outcome, AtomicLong> orders = counters();
    private final Map<String, OrderResult> orderResults = new ConcurrentHashMap<>();
    private final Queue<String> wrongResponses = new ConcurrentLinkedQueue<>();
    private final Map<String, Map<Boolean, AtomicLong>> draftsByOrganisation = new ConcurrentHashMap<>();
    private final AtomicLong lastFailedDueNanos = new AtomicLong(System.nanoTime());
    private final AtomicLong callerRetries = new AtomicLong();
    private final Histogram firstTokenMicros = new ConcurrentHistogram(MAXIMUM_RECORDED_MICROS, 3);
    private final Histogram betweenTokensMicros = new ConcurrentHistogram(MAXIMUM_RECORDED_MICROS, 3);
    private final Histogram orderMicros = new ConcurrentHistogram(MAXIMUM_RECORDED_MICROS, 3);

    void recordDraft(String organisation, long dueNanos, Outcome outcome) {
        drafts.get(outcome).incrementAndGet();
        recordFailure(dueNanos, outcome);
        Map<Boolean, AtomicLong> counts = draftsByOrganisation.computeIfAbsent(
                organisation, name -> Map.of(true, new AtomicLong(), false, new AtomicLong()));
        counts.get(outcome == Outcome.ANSWERED).incrementAndGet();
    }

    /** Returns the share of drafts that were answered, over all organisations but the large {@code organisation-0}. */
    double smallOrganisationsAnsweredShare() {
        long answered = 0;
        long failed = 0;
        for (Map.Entry<String, Map<Boolean, AtomicLong>> entry : draftsByOrganisation.entrySet()) {
            if (!entry.getKey().equals("organisation-0")) {
                answered += entry.getValue().get(true).get();
                failed += entry.getValue().get(false).get();
            }
        }
        return answered / (double) Math.max(1, answered + failed);
    }

    /**
     * Returns the seconds from {@code nanos} to the due time of the last request without a complete response; 0 if it
     * was due earlier.
     */
    double secondsToLastFailure(long nanos) {
        return Math.max(0, lastFailedDueNanos.get() - nanos) / 1e9;
    }

    private void recordFailure(long dueNanos, Outcome outcome) {
        if (outcome != Outcome.ANSWERED) {
            lastFailedDueNanos.accumulateAndGet(dueNanos, (first, second) -> first - second > 0 ? first : second);
        }
    }

    void recordOrder(String order, String keyOwner, long dueNanos, Outcome outcome) {
        orders.get(outcome).incrementAndGet();
        recordFailure(dueNanos, outcome);
        orderResults.put(order, new OrderResult(outcome, keyOwner, dueNanos, System.nanoTime()));
    }

    void recordWrongResponse(String description) {
        if (wrongResponses.size() < MAXIMUM_WRONG_RESPONSES) {
            wrongResponses.add(description);
        }
    }

    void countCallerRetry() {
        callerRetries.incrementAndGet();
    }

    void recordFirstToken(long nanos) {
        recordMicros(firstTokenMicros, nanos);
    }

    void recordBetweenTokens(long nanos) {
        recordMicros(betweenTokensMicros, nanos);
    }

    void recordOrderTime(long nanos) {
        recordMicros(orderMicros, nanos);
    }

    /**
     * Returns the number of drafts that ended in an outcome.
     *
     * @param outcome the outcome
     * @return the count
     */
    public long drafts(Outcome outcome) {
        return drafts.get(outcome).get();
    }

    /**
     * Returns the number of orders that ended in an outcome.
     *
     * @param outcome the outcome
     * @return the count
     */
    public long orders(Outcome outcome) {
        return orders.get(outcome).get();
    }

    /**
     * Returns the number of retries that callers made.
     *
     * @return the count
     */
    public long callerRetries() {
        return callerRetries.get();
    }

    /**
     * Returns descriptions of the wrong responses that callers received.
     *
     * @return the descriptions, about the first 50 only
     */
    public Iterable<String> wrongResponses() {
        return wrongResponses;
    }

    /**
     * Returns a percentile of the time to the first token, counted from the time at which the request was due.
     *
     * @param percentile the percentile, 0 to 100
     * @return milliseconds
     */
    public double firstTokenMillis(double percentile) {
        return firstTokenMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns a percentile of the time between two tokens.
     *
     * @param percentile the percentile, 0 to 100
     * @return milliseconds
     */
    public double betweenTokensMillis(double percentile) {
        return betweenTokensMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns a percentile of the time of an answered order, from its due time and including the request for its key.
     *
     * @param percentile the percentile, 0 to 100
     * @return milliseconds
     */
    public double orderMillis(double percentile) {
        return orderMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Compares the recorded orders with what the upstreams executed, without regard to kills of processes.
     *
     * @param executions for each order the number of its executions at all upstreams
     * @return the disagreements
     */
    public Audit audit(Map<String, Long> executions) {
        return audit(executions, List.of());
    }

    /**
     * Compares the recorded orders with what the upstreams executed.
     *
     * @param executions for each order the number of its executions at all upstreams
     * @param kills the kills of processes during the run
     * @return the disagreements
     */
    public Audit audit(Map<String, Long> executions, List<Kill> kills) {
        long doubled = executions.values().stream().filter(count -> count > 1).count();
        long falseNotRun = 0;
        long falseAnswered = 0;
        long falseMayHaveRun = 0;
        long falseMayHaveRunInFlight = 0;
        for (Map.Entry<String, OrderResult> entry : orderResults.entrySet()) {
            boolean ran = executions.containsKey(entry.getKey());
            OrderResult result = entry.getValue();
            switch (result.outcome()) {
                case NOT_RUN -> falseNotRun += ran ? 1 : 0;
                case ANSWERED -> falseAnswered += ran ? 0 : 1;
                case MAY_HAVE_RUN, NO_VERDICT -> {
                    boolean inFlight = kills.stream().anyMatch(result::wasInFlightAt);
                    falseMayHaveRun += ran || inFlight ? 0 : 1;
                    falseMayHaveRunInFlight += !ran && inFlight ? 1 : 0;
                }
                default -> falseAnswered++;
            }
        }
        return new Audit(doubled, falseNotRun, falseAnswered, falseMayHaveRun, falseMayHaveRunInFlight);
    }

    /**
     * Adds the executions that one upstream reports to a total.
     *
     * @param total the number of executions of each order so far; changed
     * @param reported the upstream's report: an object of order and number of executions
     */
    public static void addExecutions(Map<String, Long> total, JsonNode reported) {
        reported.fields()
                .forEachRemaining(
                        field -> total.merge(field.getKey(), field.getValue().asLong(), Long::sum));
    }

    /**
     * Counts of orders whose outcome at the caller disagrees with what the upstreams executed.
     *
     * @param doubled orders executed more than once
     * @param falseNotRun orders with the verdict "not run" that ran
     * @param falseAnswered orders that were answered but did not run, and all orders with a wrong response
     * @param falseMayHaveRun orders with an unknown outcome that never ran
     * @param falseMayHaveRunInFlight the same for orders that were in flight through a process when it was killed;
     *     not included in {@code falseMayHaveRun}
     */
    public record Audit(
            long doubled, long falseNotRun, long falseAnswered, long falseMayHaveRun, long falseMayHaveRunInFlight) {}

    /**
     * The kill of a process.
     *
     * @param vm the name of its VM
     * @param nanos the time of {@link System#nanoTime}
     */
    public record Kill(String vm, long nanos) {}

    private record OrderResult(Outcome outcome, String keyOwner, long dueNanos, long endNanos) {
        boolean wasInFlightAt(Kill kill) {
            return kill.vm().equals(keyOwner) && kill.nanos() - dueNanos >= 0 && endNanos - kill.nanos() >= 0;
        }
    }

    private static void recordMicros(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(MAXIMUM_RECORDED_MICROS, Math.max(0, nanos / 1_000)));
    }

    private static Map<Outcome, AtomicLong> counters() {
        Map<Outcome, AtomicLong> counters = new EnumMap<>(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            counters.put(outcome, new AtomicLong());
        }
        return counters;
    }
}
