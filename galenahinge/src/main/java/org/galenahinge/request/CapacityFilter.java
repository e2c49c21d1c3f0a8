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
 * Limits the number of active requests, in total and per organisation, and rejects all requests while the process is
 * not ready or stops.
 *
 * <p>While less than half of the total limit is in use, an organisation may have any number of active requests. Beyond
 * that, it may have at most an equal share of the total limit.
 */
public final class CapacityFilter implements Filter {
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final int maximumRequests;
    private final Supplier<Optional<Verdict.NotRun>> rejectAll;
    private final Map<String, Integer> activeByOrganisation = new HashMap<>();
    private int totalActive;
    private Runnable idleAction = () -> {};

    /**
     * Creates the filter.
     *
     * @param maximumRequests the maximum number of active requests
     * @param rejectAll returns the verdict for all requests while the process accepts none, empty while it accepts them
     */
    public CapacityFilter(int maximumRequests, Supplier<Optional<Verdict.NotRun>> rejectAll) {
        this.maximumRequests = maximumRequests;
        this.rejectAll = Objects.requireNonNull(rejectAll, "rejectAll");
    }

    @Override
    public CompletionStage<Response> apply(Request request, Next next) {
        Optional<Verdict.NotRun> rejection = rejectAll.get().or(() -> admit(request.organisation()));
        if (rejection.isPresent()) {
            return CompletableFuture.completedFuture(Response.of(rejection.get(), ""));
        }
        return next.handle(request).handle((response, error) -> {
            if (error != null) {
                release(request.organisation());
                return Response.of(Verdict.mayHaveRun(Reason.INTERNAL, "internal error"), "");
            }
            return response.whenEnded(() -> release(request.organisation()));
        });
    }

    /**
     * Returns the number of active requests.
     *
     * @return the count
     */
    public synchronized int activeRequests() {
        return totalActive;
    }

    /**
     * Runs an action once no request is active: immediately if none is, otherwise when the last one ends.
     *
     * @param action the action; it replaces one that has not run yet
     */
    public synchronized void whenIdle(Runnable action) {
        if (totalActive == 0) {
            action.run();
            return;
        }
        idleAction = action;
    }

    private synchronized Optional<Verdict.NotRun> admit(String organisation) {
        int active = activeByOrganisation.getOrDefault(organisation, 0);
        if (totalActive >= maximumRequests) {
            return Optional.of(
                    Verdict.notRun(Reason.QUEUE_FULL, "too many active requests at this entry", RETRY_AFTER));
        }
        int organisations = activeByOrganisation.size() + (active == 0 ? 1 : 0);
        if (totalActive >= maximumRequests / 2 && active >= maximumRequests / organisations) {
            return Optional.of(Verdict.notRun(
                    Reason.SHARE_EXCEEDED, "the organisation has reached its share of active requests", RETRY_AFTER));
        }
        activeByOrganisation.put(organisation, active + 1);
        totalActive++;
        return Optional.empty();
    }

    private synchronized void release(String organisation) {
        totalActive--;
        activeByOrganisation.merge(organisation, -1, (count, change) -> count + change == 0 ? null : count + change);
        if (totalActive == 0) {
            Runnable action = idleAction;
            idleAction = () -> {};
            action.run();
        }
    }
}
