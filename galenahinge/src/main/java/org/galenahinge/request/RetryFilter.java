package org.galenahinge.request;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.galenahinge.limit.RetryBudget;
import org.galenahinge.log.DecisionLog;

/**
 * Retries a failed request on another VM, within a retry budget that all requests share.
 *
 * <p>A request with a permit is never retried here, because only the slot process that issued the permit may run it.
 * Any other request is idempotent and may be retried until the head of a response has arrived.
 */
public final class RetryFilter {
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final long MINIMUM_RETRY_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Attempt attempt;
    private final DecisionLog decisions;
    private final AtomicReference<RetryBudget> budget = new AtomicReference<>(RetryBudget.create());
    private final Counter requests;
    private final Counter retries;
    private final Counter rejectedRetries;

    /**
     * Creates the filter.
     *
     * @param attempt sends a request once
     * @param decisions the log that each retry is written to
     * @param metrics counts requests, retries and retries that the budget rejected
     */
    public RetryFilter(Attempt attempt, DecisionLog decisions, MetricRegistry metrics) {
        this.attempt = Objects.requireNonNull(attempt, "attempt");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.requests = metrics.counter("requests.routed");
        this.retries = metrics.counter("requests.retries");
        this.rejectedRetries = metrics.counter("requests.retries.refused");
    }

    /** Sends a request to one VM. */
    @FunctionalInterface
    public interface Attempt {
        /**
         * Makes one attempt.
         *
         * @param request the request
         * @param excluded VMs where earlier attempts of this request failed
         * @return the response
         */
        CompletionStage<Response> send(Request request, Set<String> excluded);
    }

    /**
     * Handles a request as the last step of the chain.
     *
     * @param request the request
     * @return the response of the last attempt
     */
    public CompletionStage<Response> handle(Request request) {
        requests.inc();
        budget.updateAndGet(RetryBudget::recordRequest);
        return sendAndRetry(request, Set.of(), Optional.empty(), 1);
    }

    private CompletionStage<Response> sendAndRetry(
            Request request, Set<String> excluded, Optional<Verdict> mayHaveRun, int attemptNumber) {
        return attempt.send(request, excluded).thenCompose(response -> {
            if (!mayRetry(request, response, attemptNumber)) {
                return CompletableFuture.completedFuture(withEarlierAttempts(response, mayHaveRun));
            }
            if (!takeRetryFromBudget()) {
                rejectedRetries.inc();
                return CompletableFuture.completedFuture(withEarlierAttempts(response, mayHaveRun));
            }
            retries.inc();
            decisions.record(
                    request.requestId(),
                    "retry",
                    List.copyOf(excluded),
                    response.vm(),
                    response.verdict().label() + " on attempt " + attemptNumber);
            Set<String> nextExcluded = new HashSet<>(excluded);
            nextExcluded.add(response.vm());
            Optional<Verdict> nextMayHaveRun =
                    response.verdict() instanceof Verdict.MayHaveRun ? Optional.of(response.verdict()) : mayHaveRun;
            return sendAndRetry(request, nextExcluded, nextMayHaveRun, attemptNumber + 1);
        });
    }

    /** A request has not run only if none of its attempts may have run. */
    private static Response withEarlierAttempts(Response response, Optional<Verdict> mayHaveRun) {
        if (mayHaveRun.isEmpty() || !(response.verdict() instanceof Verdict.NotRun)) {
            return response;
        }
        return Response.of(mayHaveRun.get(), response.vm());
    }

    private boolean mayRetry(Request request, Response response, int attemptNumber) {
        if (attemptNumber >= MAXIMUM_ATTEMPTS
                || request.permit().isPresent()
                || response.vm().isEmpty()) {
            return false;
        }
        if (request.deadlineNanos() - System.nanoTime() < MINIMUM_RETRY_TIME_NANOS) {
            return false;
        }
        if (response.verdict() instanceof Verdict.NotRun notRun) {
            return isWorthRetryingElsewhere(notRun.reason());
        }
        return response.verdict() instanceof Verdict.MayHaveRun mayHaveRun && mayHaveRun.reason() != Reason.TIMEOUT;
    }

    private static boolean isWorthRetryingElsewhere(Reason reason) {
        return switch (reason) {
            case UNREACHABLE, QUEUE_FULL, NOT_READY, OTHER_WEIGHTS, DRAINING -> true;
            default -> false;
        };
    }

    private boolean takeRetryFromBudget() {
        while (true) {
            RetryBudget before = budget.get();
            RetryBudget.RetryDecision taking = before.tryRetry();
            if (!taking.allowed()) {
                return false;
            }
            if (budget.compareAndSet(before, taking.budget())) {
                return true;
            }
        }
    }
}
