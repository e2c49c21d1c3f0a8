package org.galenahinge.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenahinge.request.Reason;

/**
 * Decides which requests run on the upstream, which wait and which are rejected. Immutable; time is a parameter.
 *
 * <p>Organisations share the upstream fairly: interactive requests start before batch requests, and within a priority
 * the oldest request of the organisation with the least work started so far is next. When the queue is full, the
 * newest request of the organisation with the most waiting work is rejected, so that an organisation that floods the
 * upstream loses its own requests.
 *
 * <p>Each event costs at most O(n²) for n waiting requests; the settings limit n.
 */
public final class Admission {
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    private final int maximumRunning;
    private final int maximumWaiting;
    private final boolean open;
    private final Set<Long> running;
    private final List<PendingRequest> waiting;
    private final Map<String, Double> startedWork;
    private final double meanServiceNanos;

    private Admission(
            int maximumRunning,
            int maximumWaiting,
            boolean open,
            Set<Long> running,
            List<PendingRequest> waiting,
            Map<String, Double> startedWork,
            double meanServiceNanos) {
        this.maximumRunning = maximumRunning;
        this.maximumWaiting = maximumWaiting;
        this.open = open;
        this.running = running;
        this.waiting = waiting;
        this.startedWork = startedWork;
        this.meanServiceNanos = meanServiceNanos;
    }

    /**
     * Creates a closed admission, at which requests wait until {@link #open}.
     *
     * @param maximumRunning maximum number of requests that run at once, at least 1
     * @param maximumWaiting maximum number of requests that wait, at least 0
     * @return the admission
     */
    public static Admission create(int maximumRunning, int maximumWaiting) {
        if (maximumRunning < 1 || maximumWaiting < 0) {
            throw new IllegalArgumentException("maximumRunning must be at least 1 and maximumWaiting at least 0: "
                    + maximumRunning + ", " + maximumWaiting);
        }
        return new Admission(maximumRunning, maximumWaiting, false, Set.of(), List.of(), Map.of(), 0);
    }

    /**
     * Handles a new request, which is started, queued or rejected. If the queue is full, another waiting request may
     * be rejected in its place.
     *
     * @param request the request
     * @return the new state and its effects
     */
    public Step arrive(PendingRequest request) {
        List<Effect> effects = new ArrayList<>();
        if (estimatedWaitNanos(request) > maximumWaitNanos(request)) {
            effects.add(new Reject(request.id(), Reason.QUEUE_FULL, retryAfterMillis()));
            return new Step(this, effects);
        }
        List<PendingRequest> queue = new ArrayList<>(waiting);
        queue.add(request);
        Admission next = with(running, queue, startedWork);
        return next.start(request.arrivedNanos(), effects).rejectExcess();
    }

    /**
     * Handles the end of a running request.
     *
     * @param id id of the request
     * @param startedNanos when it was started, in nanoseconds
     * @param nowNanos the time, in nanoseconds
     * @return the new state and its effects
     * @throws IllegalStateException if the request is not running
     */
    public Step finish(long id, long startedNanos, long nowNanos) {
        if (!running.contains(id)) {
            throw new IllegalStateException("request " + id + " is not running");
        }
        Set<Long> left = new HashSet<>(running);
        left.remove(id);
        double service = nowNanos - startedNanos;
        double mean = meanServiceNanos == 0
                ? service
                : meanServiceNanos + SERVICE_TIME_SMOOTHING * (service - meanServiceNanos);
        Admission next = new Admission(maximumRunning, maximumWaiting, open, left, waiting, startedWork, mean);
        return next.start(nowNanos, new ArrayList<>());
    }

    /**
     * Removes a waiting request.
     *
     * @param id id of the request
     * @return the new state; unchanged if the request is not waiting
     */
    public Admission cancel(long id) {
        return with(
                running, waiting.stream().filter(request -> request.id() != id).toList(), startedWork);
    }

    /**
     * Rejects every request that has waited for its maximum time.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the new state and its effects
     */
    public Step rejectExpired(long nowNanos) {
        List<Effect> effects = new ArrayList<>();
        List<PendingRequest> left = new ArrayList<>();
        for (PendingRequest request : waiting) {
            if (nowNanos - request.arrivedNanos() >= maximumWaitNanos(request)) {
                effects.add(new Reject(request.id(), Reason.DEADLINE, retryAfterMillis()));
            } else {
                left.add(request);
            }
        }
        return new Step(effects.isEmpty() ? this : with(running, left, startedWork), effects);
    }

    /**
     * Opens the admission, so that waiting and new requests are started.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the new state and its effects
     */
    public Step open(long nowNanos) {
        Admission next =
                new Admission(maximumRunning, maximumWaiting, true, running, waiting, startedWork, meanServiceNanos);
        return next.start(nowNanos, new ArrayList<>());
    }

    /**
     * Closes the admission, so that no further request is started. Running requests continue.
     *
     * @return the new state
     */
    public Admission close() {
        return new Admission(maximumRunning, maximumWaiting, false, running, waiting, startedWork, meanServiceNanos);
    }

    /**
     * Returns the number of running requests.
     *
     * @return the number
     */
    public int running() {
        return running.size();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Returns the maximum number of requests that run at once.
     *
     * @return the number
     */
    public int capacity() {
        return maximumRunning;
    }

    private Step start(long nowNanos, List<Effect> effects) {
        Set<Long> nowRunning = new HashSet<>(running);
        List<PendingRequest> queue = new ArrayList<>(waiting);
        Map<String, Double> work = new HashMap<>(startedWork);
        while (open && nowRunning.size() < maximumRunning && !queue.isEmpty()) {
            PendingRequest next = choose(queue, work);
            queue.remove(next);
            nowRunning.add(next.id());
            work.put(next.organisation(), workOf(next.organisation(), queue, work) + next.cost());
            effects.add(new Start(next.id(), nowNanos - next.arrivedNanos()));
        }
        if (nowRunning.isEmpty() && queue.isEmpty()) {
            work.clear();
        }
        return new Step(with(nowRunning, queue, work), effects);
    }

    private static PendingRequest choose(List<PendingRequest> queue, Map<String, Double> work) {
        double initialWork = initialWork(queue, work);
        return queue.stream()
                .min(Comparator.comparing(PendingRequest::priority)
                        .thenComparingDouble(request -> work.getOrDefault(request.organisation(), initialWork))
                        .thenComparingLong(PendingRequest::arrivedNanos))
                .orElseThrow();
    }

    private static double workOf(String organisation, List<PendingRequest> queue, Map<String, Double> work) {
        return work.getOrDefault(organisation, initialWork(queue, work));
    }

    /**
     * Returns the work counted for an organisation that was idle: the minimum of the waiting organisations, so that
     * idle time earns no credit.
     */
    private static double initialWork(List<PendingRequest> queue, Map<String, Double> work) {
        double minimum = Double.POSITIVE_INFINITY;
        for (PendingRequest request : queue) {
            minimum = Math.min(minimum, work.getOrDefault(request.organisation(), Double.POSITIVE_INFINITY));
        }
        return Double.isInfinite(minimum) ? 0 : minimum;
    }

    private Step rejectExcess(Step step) {
        List<PendingRequest> queue = new ArrayList<>(waiting);
        List<Effect> effects = new ArrayList<>(step.effects());
        while (queue.size() > maximumWaiting) {
            PendingRequest newest = newestOfLargest(queue);
            queue.remove(newest);
            effects.add(new Reject(newest.id(), Reason.QUEUE_FULL, retryAfterMillis()));
        }
        return new Step(with(running, queue, startedWork), effects);
    }

    private static PendingRequest newestOfLargest(List<PendingRequest> queue) {
        Map<String, Double> waitingWork = new HashMap<>();
        for (PendingRequest request : queue) {
            waitingWork.merge(request.organisation(), request.cost(), Double::sum);
        }
        return queue.stream()
                .max(Comparator.comparingDouble((PendingRequest request) -> waitingWork.get(request.organisation()))
                        .thenComparing(PendingRequest::priority)
                        .thenComparingLong(PendingRequest::arrivedNanos)
                        .thenComparingLong(PendingRequest::id))
                .orElseThrow();
    }

    /**
     * Estimates the wait from the request's position in the order of {@link #choose}, as if no further request arrived.
     */
    private double estimatedWaitNanos(PendingRequest request) {
        if (running.size() < maximumRunning) {
            return 0;
        }
        List<PendingRequest> queue = new ArrayList<>(waiting);
        queue.add(request);
        Map<String, Double> work = new HashMap<>(startedWork);
        int position = 1;
        for (PendingRequest next = choose(queue, work); next.id() != request.id(); next = choose(queue, work)) {
            queue.remove(next);
            work.put(next.organisation(), workOf(next.organisation(), queue, work) + next.cost());
            position++;
        }
        return meanServiceNanos / maximumRunning * position;
    }

    private static long maximumWaitNanos(PendingRequest request) {
        return Math.min(request.priority().maximumWait().toNanos(), request.deadlineNanos() - request.arrivedNanos());
    }

    private long retryAfterMillis() {
        return Math.max(50, Math.min(5_000, (long) (meanServiceNanos / 1e6)));
    }

    private Admission with(Set<Long> nowRunning, List<PendingRequest> queue, Map<String, Double> work) {
        if (nowRunning.size() > maximumRunning) {
            throw new IllegalStateException("more requests run than maximumRunning: " + nowRunning.size());
        }
        return new Admission(maximumRunning, maximumWaiting, open, nowRunning, queue, work, meanServiceNanos);
    }

    /** What the caller of {@link Admission} must do after an event. */
    public sealed interface Effect {}

    /**
     * Send the request to the upstream.
     *
     * @param id id of the request
     * @param waitedNanos how long it waited, in nanoseconds
     */
    public record Start(long id, long waitedNanos) implements Effect {}

    /**
     * Reject the request, which did not run.
     *
     * @param id id of the request
     * @param reason the reason
     * @param retryAfterMillis when the caller should retry, in milliseconds from now
     */
    public record Reject(long id, Reason reason, long retryAfterMillis) implements Effect {}

    /**
     * The result of an event.
     *
     * @param state the new state
     * @param effects what the caller must do, in order
     */
    public record Step(Admission state, List<Effect> effects) {
        private Step rejectExcess() {
            return state.rejectExcess(this);
        }
    }
}
