package org.galenahinge.request;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.galenahinge.limit.RetryBudget;
import org.galenahinge.log.DecisionLog;

/**
 * Tries a request again elsewhere, within a budget that all requests share.
 *
 * <p>A call with a permit is never tried again here: it belongs to one slot process. Any other call is repeatable and
 * may be tried again until the head of an answer has come.
 */
public final class RetryFilter {
    private static final int MAXIMUM_ATTEMPTS = 4;

    private final Attempt attempt;
    private final DecisionLog decisions;
    private final AtomicReference<RetryBudget> budget = new AtomicReference<>(RetryBudget.create());
    private final Counter requests;
    private final Counter retries;
    private final Counter refusedRetries;

    /**
     * Creates the filter.
     *
     * @param attempt makes one attempt
     * @param decisions records each retry
     * @param metrics counts them
     */
    public RetryFilter(Attempt attempt, DecisionLog decisions, MetricRegistry metrics) {
        this.attempt = Objects.requireNonNull(attempt, "attempt");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.requests = metrics.counter("requests.routed");
        this.retries = metrics.counter("requests.retries");
        this.refusedRetries = metrics.counter("requests.retries.refused");
    }

    /** Makes one attempt at a call. */
    @FunctionalInterface
    public interface Attempt {
        /**
         * Tries a call once.
         *
         * @param call the call
         * @param excluded VMs that failed this call before
         * @return the answer
         */
        CompletionStage<Answer> make(Call call, Set<String> excluded);
    }

    /**
     * Handles a call, as the last link of the chain.
     *
     * @param call the call
     * @return the answer
     */
    public CompletionStage<Answer> handle(Call call) {
        requests.inc();
        budget.updateAndGet(RetryBudget::recordRequest);
        return tryOnce(call, Set.of(), 1);
    }

    private CompletionStage<Answer> tryOnce(Call call, Set<String> excluded, int number) {
        return attempt.make(call, excluded).thenCompose(answer -> {
            if (!mayRetry(call, answer, number)) {
                return CompletableFuture.completedFuture(answer);
            }
            if (!takeRetry()) {
                refusedRetries.inc();
                return CompletableFuture.completedFuture(answer);
            }
            retries.inc();
            decisions.record(
                    call.requestId(),
                    "retry",
                    List.copyOf(excluded),
                    answer.vm(),
                    answer.verdict().label() + " on attempt " + number);
            Set<String> more = new HashSet<>(excluded);
            more.add(answer.vm());
            return tryOnce(call, more, number + 1);
        });
    }

    private boolean mayRetry(Call call, Answer answer, int number) {
        if (number >= MAXIMUM_ATTEMPTS
                || call.permit().isPresent()
                || answer.vm().isEmpty()) {
            return false;
        }
        if (call.deadlineNanos() - System.nanoTime() < TimeUnit.MILLISECONDS.toNanos(50)) {
            return false;
        }
        if (answer.verdict() instanceof Verdict.NotRun notRun) {
            return isElsewhereWorthwhile(notRun.reason());
        }
        return answer.verdict() instanceof Verdict.MayHaveRun mayHaveRun && mayHaveRun.reason() != Reason.TIMEOUT;
    }

    private static boolean isElsewhereWorthwhile(Reason reason) {
        return switch (reason) {
            case UNREACHABLE, QUEUE_FULL, NOT_READY, OTHER_WEIGHTS, DRAINING -> true;
            default -> false;
        };
    }

    private boolean takeRetry() {
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
