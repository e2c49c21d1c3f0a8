package org.galenahinge.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Bounds the requests held at once, in all and for each organisation, and refuses all while the process stops.
 *
 * <p>While less than half of the places are taken an organisation may take any number; past that none may hold more
 * than an equal share of the places.
 */
public final class CapacityFilter implements Filter {
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final int maximumRequests;
    private final Supplier<Optional<Verdict.NotRun>> closed;
    private final Map<String, Integer> held = new HashMap<>();
    private int total;
    private Runnable whenIdle = () -> {};

    /**
     * Creates the filter.
     *
     * @param maximumRequests the most requests held at once
     * @param closed says why no request is taken now, if none is
     */
    public CapacityFilter(int maximumRequests, Supplier<Optional<Verdict.NotRun>> closed) {
        this.maximumRequests = maximumRequests;
        this.closed = Objects.requireNonNull(closed, "closed");
    }

    @Override
    public CompletionStage<Answer> apply(Call call, Next next) {
        Optional<Verdict.NotRun> refusal = closed.get().or(() -> enter(call.organisation()));
        if (refusal.isPresent()) {
            return CompletableFuture.completedFuture(Answer.of(refusal.get(), ""));
        }
        return next.handle(call).handle((answer, error) -> {
            if (error != null) {
                leave(call.organisation());
                return Answer.of(Verdict.mayHaveRun(Reason.INTERNAL, "an error of this process"), "");
            }
            return answer.whenEnded(() -> leave(call.organisation()));
        });
    }

    /**
     * Returns how many requests are held.
     *
     * @return the count
     */
    public synchronized int held() {
        return total;
    }

    /**
     * Runs an action once no request is held.
     *
     * @param action what to run
     */
    public synchronized void whenIdle(Runnable action) {
        if (total == 0) {
            action.run();
            return;
        }
        whenIdle = action;
    }

    private synchronized Optional<Verdict.NotRun> enter(String organisation) {
        int own = held.getOrDefault(organisation, 0);
        if (total >= maximumRequests) {
            return Optional.of(Verdict.notRun(Reason.QUEUE_FULL, "this entry holds too many requests", RETRY_AFTER));
        }
        int sharers = held.size() + (own == 0 ? 1 : 0);
        if (total >= maximumRequests / 2 && own >= maximumRequests / sharers) {
            return Optional.of(Verdict.notRun(Reason.SHARE_EXCEEDED, "the organisation holds its share", RETRY_AFTER));
        }
        held.put(organisation, own + 1);
        total++;
        return Optional.empty();
    }

    private synchronized void leave(String organisation) {
        total--;
        held.merge(organisation, -1, (count, change) -> count + change == 0 ? null : count + change);
        if (total == 0) {
            Runnable action = whenIdle;
            whenIdle = () -> {};
            action.run();
        }
    }
}
