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
 * Decides which calls run on the upstream, which wait and which are refused. Immutable; time is a parameter.
 *
 * <p>Organisations share the upstream fairly: the next call is the oldest one of the organisation that has been given
 * the least work so far, interactive calls before batch ones. When the queue is full the newest call of the
 * organisation with the most waiting work is refused, so one that floods refuses itself.
 *
 * <p>Cost of an event: at most O(calls waiting squared), which the settings bound.
 */
public final class Admission {
    private static final double SMOOTHING = 0.1;

    private final int maximumRunning;
    private final int maximumWaiting;
    private final boolean open;
    private final Set<Long> running;
    private final List<Waiting> waiting;
    private final Map<String, Double> givenWork;
    private final double meanServiceNanos;

    private Admission(
            int maximumRunning,
            int maximumWaiting,
            boolean open,
            Set<Long> running,
            List<Waiting> waiting,
            Map<String, Double> givenWork,
            double meanServiceNanos) {
        this.maximumRunning = maximumRunning;
        this.maximumWaiting = maximumWaiting;
        this.open = open;
        this.running = running;
        this.waiting = waiting;
        this.givenWork = givenWork;
        this.meanServiceNanos = meanServiceNanos;
    }

    /**
     * Creates a closed admission: calls wait until {@link #opened}.
     *
     * @param maximumRunning the most calls that run at once
     * @param maximumWaiting the most calls that wait
     * @return the admission
     */
    public static Admission create(int maximumRunning, int maximumWaiting) {
        if (maximumRunning < 1 || maximumWaiting < 0) {
            throw new IllegalArgumentException("bounds must be positive: " + maximumRunning + ", " + maximumWaiting);
        }
        return new Admission(maximumRunning, maximumWaiting, false, Set.of(), List.of(), Map.of(), 0);
    }

    /**
     * Handles a call that asks to be admitted.
     *
     * @param call the call
     * @return the state afterwards and what follows
     */
    public Step arrive(Waiting call) {
        List<Effect> effects = new ArrayList<>();
        if (estimatedWaitNanos(call) > longestWaitNanos(call)) {
            effects.add(new Refuse(call.id(), Reason.QUEUE_FULL, retryAfterMillis()));
            return new Step(this, effects);
        }
        List<Waiting> queue = new ArrayList<>(waiting);
        queue.add(call);
        Admission next = with(running, queue, givenWork);
        return next.start(call.arrivedNanos(), effects).refuseExcess();
    }

    /**
     * Handles the end of a running call.
     *
     * @param id the call's number
     * @param startedNanos when it was started, in nanoseconds
     * @param nowNanos the time, in nanoseconds
     * @return the state afterwards and what follows
     */
    public Step finish(long id, long startedNanos, long nowNanos) {
        if (!running.contains(id)) {
            throw new IllegalStateException("call " + id + " is not running");
        }
        Set<Long> left = new HashSet<>(running);
        left.remove(id);
        double service = nowNanos - startedNanos;
        double mean = meanServiceNanos == 0 ? service : meanServiceNanos + SMOOTHING * (service - meanServiceNanos);
        Admission next = new Admission(maximumRunning, maximumWaiting, open, left, waiting, givenWork, mean);
        return next.start(nowNanos, new ArrayList<>());
    }

    /**
     * Handles a caller that no longer wants a waiting call.
     *
     * @param id the call's number
     * @return the state afterwards; unchanged when the call is not waiting
     */
    public Admission abandon(long id) {
        return with(running, waiting.stream().filter(call -> call.id() != id).toList(), givenWork);
    }

    /**
     * Refuses every call that has waited too long.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the state afterwards and what follows
     */
    public Step tick(long nowNanos) {
        List<Effect> effects = new ArrayList<>();
        List<Waiting> left = new ArrayList<>();
        for (Waiting call : waiting) {
            if (nowNanos - call.arrivedNanos() >= longestWaitNanos(call)) {
                effects.add(new Refuse(call.id(), Reason.DEADLINE, retryAfterMillis()));
            } else {
                left.add(call);
            }
        }
        return new Step(effects.isEmpty() ? this : with(running, left, givenWork), effects);
    }

    /**
     * Lets calls run.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the state afterwards and what follows
     */
    public Step opened(long nowNanos) {
        Admission next =
                new Admission(maximumRunning, maximumWaiting, true, running, waiting, givenWork, meanServiceNanos);
        return next.start(nowNanos, new ArrayList<>());
    }

    /**
     * Lets no further call run; running ones go on.
     *
     * @return the state afterwards
     */
    public Admission closed() {
        return new Admission(maximumRunning, maximumWaiting, false, running, waiting, givenWork, meanServiceNanos);
    }

    /**
     * Returns how many calls run.
     *
     * @return the count
     */
    public int running() {
        return running.size();
    }

    /**
     * Returns how many calls wait.
     *
     * @return the count
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Returns how many calls may run at once.
     *
     * @return the count
     */
    public int capacity() {
        return maximumRunning;
    }

    private Step start(long nowNanos, List<Effect> effects) {
        Set<Long> nowRunning = new HashSet<>(running);
        List<Waiting> queue = new ArrayList<>(waiting);
        Map<String, Double> work = new HashMap<>(givenWork);
        while (open && nowRunning.size() < maximumRunning && !queue.isEmpty()) {
            Waiting next = choose(queue, work);
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

    private static Waiting choose(List<Waiting> queue, Map<String, Double> work) {
        double idleLevel = idleLevel(queue, work);
        return queue.stream()
                .min(Comparator.comparing(Waiting::priority)
                        .thenComparingDouble(call -> work.getOrDefault(call.organisation(), idleLevel))
                        .thenComparingLong(Waiting::arrivedNanos))
                .orElseThrow();
    }

    private static double workOf(String organisation, List<Waiting> queue, Map<String, Double> work) {
        return work.getOrDefault(organisation, idleLevel(queue, work));
    }

    /** An organisation that was idle starts level with the least served one that waits, not with credit saved up. */
    private static double idleLevel(List<Waiting> queue, Map<String, Double> work) {
        double level = Double.POSITIVE_INFINITY;
        for (Waiting call : queue) {
            level = Math.min(level, work.getOrDefault(call.organisation(), Double.POSITIVE_INFINITY));
        }
        return Double.isInfinite(level) ? 0 : level;
    }

    private Step refuseExcess(Step step) {
        List<Waiting> queue = new ArrayList<>(waiting);
        List<Effect> effects = new ArrayList<>(step.effects());
        while (queue.size() > maximumWaiting) {
            Waiting newest = newestOfLargest(queue);
            queue.remove(newest);
            effects.add(new Refuse(newest.id(), Reason.QUEUE_FULL, retryAfterMillis()));
        }
        return new Step(with(running, queue, givenWork), effects);
    }

    private static Waiting newestOfLargest(List<Waiting> queue) {
        Map<String, Double> waitingWork = new HashMap<>();
        for (Waiting call : queue) {
            waitingWork.merge(call.organisation(), call.cost(), Double::sum);
        }
        return queue.stream()
                .max(Comparator.comparingDouble((Waiting call) -> waitingWork.get(call.organisation()))
                        .thenComparing(Waiting::priority)
                        .thenComparingLong(Waiting::arrivedNanos)
                        .thenComparingLong(Waiting::id))
                .orElseThrow();
    }

    /** The wait until the call is started, if no further call came: its place in the order of {@link #choose}. */
    private double estimatedWaitNanos(Waiting call) {
        if (running.size() < maximumRunning) {
            return 0;
        }
        List<Waiting> queue = new ArrayList<>(waiting);
        queue.add(call);
        Map<String, Double> work = new HashMap<>(givenWork);
        int place = 1;
        for (Waiting next = choose(queue, work); next.id() != call.id(); next = choose(queue, work)) {
            queue.remove(next);
            work.put(next.organisation(), workOf(next.organisation(), queue, work) + next.cost());
            place++;
        }
        return meanServiceNanos / maximumRunning * place;
    }

    private static long longestWaitNanos(Waiting call) {
        return Math.min(call.priority().longestWait().toNanos(), call.deadlineNanos() - call.arrivedNanos());
    }

    private long retryAfterMillis() {
        return Math.max(50, Math.min(5_000, (long) (meanServiceNanos / 1e6)));
    }

    private Admission with(Set<Long> nowRunning, List<Waiting> queue, Map<String, Double> work) {
        if (nowRunning.size() > maximumRunning) {
            throw new IllegalStateException("more calls run than are allowed: " + nowRunning.size());
        }
        return new Admission(maximumRunning, maximumWaiting, open, nowRunning, queue, work, meanServiceNanos);
    }

    /** What follows from an event. */
    public sealed interface Effect {}

    /**
     * Hand the call to the upstream.
     *
     * @param id the call's number
     * @param waitedNanos how long it waited, in nanoseconds
     */
    public record Start(long id, long waitedNanos) implements Effect {}

    /**
     * Refuse the call: it did not run.
     *
     * @param id the call's number
     * @param reason why
     * @param retryAfterMillis when another try makes sense, in milliseconds
     */
    public record Refuse(long id, Reason reason, long retryAfterMillis) implements Effect {}

    /**
     * The result of an event.
     *
     * @param state the state afterwards
     * @param effects what follows, in order
     */
    public record Step(Admission state, List<Effect> effects) {
        private Step refuseExcess() {
            return state.refuseExcess(this);
        }
    }
}
