package org.galenahinge.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;
import org.galenahinge.concurrent.Timers.Timer;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.RetryPolicy;
import org.galenahinge.placement.RetryPolicy.Next;
import org.galenahinge.placement.RetryPolicy.Outcome;
import org.galenahinge.placement.RetryPolicy.Progress;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.upstream.WeightsVersion;

/**
 * A request on its path through the gateway: it is checked, placed, perhaps queued, sent to an upstream,
 * perhaps retried at others, and responded to once. Used by the gateway's thread only.
 */
final class ForwardedRequest {
    /**
     * The maximum share of the upstream's keep-alive timeout that a connection may have been idle before it carries a
     * non-idempotent request, so that the upstream certainly still holds the connection open.
     */
    private static final double NON_IDEMPOTENT_IDLE_SHARE = 0.5;

    /** The same share for idempotent requests. */
    private static final double IDEMPOTENT_IDLE_SHARE = 0.8;

    private static final Duration MINIMUM_TIME_FOR_RETRY = Duration.ofMillis(60);
    private static final Duration MAXIMUM_CONNECT_RETRY_TIME = Duration.ofSeconds(2);
    private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(700);

    private final Gateway gateway;
    private final CallerRequest request;
    private final CallerResponse response;
    private final StreamPosition stream = new StreamPosition();
    private final RequestLog requestLog;
    private final Set<String> triedUpstreams = new HashSet<>();
    private AdmittedRequest admitted;
    private ServiceQueue queue;
    private RequestTraits traits;
    private RequestDeadlines deadlines;
    private Optional<Timer> timeoutTimer = Optional.empty();
    private Optional<Attempt> currentAttempt = Optional.empty();
    private int attempts;
    private boolean mayHaveRun;
    private boolean waiting;
    private boolean onTrial;
    private long waitedMillis;
    private boolean ended;

    ForwardedRequest(Gateway gateway, CallerRequest request, ResponseWriter response) {
        this.gateway = gateway;
        this.request = request;
        this.response = new CallerResponse(response);
        this.requestLog = new RequestLog(gateway, request);
    }

    void start() {
        if (ended) {
            return;
        }
        if (gateway.catalog().isEmpty() && awaitConfiguration()) {
            return;
        }
        timeoutTimer.ifPresent(Timer::cancel);
        gateway.metrics().request();
        RequestChecks.Result result = RequestChecks.check(
                request, gateway.catalog(), gateway.isConfigurationConfirmed(), gateway.randomFraction());
        if (result instanceof RequestChecks.Result.Rejected rejected) {
            reject(rejected.rejection());
            return;
        }
        admitted = ((RequestChecks.Result.Admitted) result).request();
        traits = RequestTraits.of(request, admitted);
        requestLog.setAdmitted(admitted);
        queue = gateway.serviceQueue(admitted.service());
        queue.retryBudget().recordRequest(gateway.timers().nanoTime());
        deadlines = RequestDeadlines.of(request, admitted.route(), gateway.promptSizes(admitted.service()));
        timeoutTimer = Optional.of(gateway.timers().schedule(remainingTime(), this::deadlineReached));
        place();
    }

    private boolean awaitConfiguration() {
        boolean awaiting = timeoutTimer.isEmpty() && gateway.awaitConfiguration(this);
        if (awaiting) {
            timeoutTimer = Optional.of(gateway.timers().schedule(CONFIGURATION_WAIT, () -> {
                gateway.stopAwaitingConfiguration(this);
                start();
            }));
        }
        return awaiting;
    }

    /** Cancels the request because its caller has disconnected. */
    void callerDisconnected() {
        if (ended) {
            return;
        }
        finish("caller_left");
        requestLog.callerDisconnected(attempts);
        currentAttempt.ifPresent(Attempt::cancel);
    }

    /** Ends the request because the process exits. */
    void processExits() {
        if (!ended) {
            endWithoutResponse(outcomeUnknown("the entry is stopping"), notRunForStop());
        }
    }

    /** Resumes reading from the upstream after the caller has read what was written before. */
    void resumeReading() {
        currentAttempt.ifPresent(Attempt::resume);
    }

    /** Tries to send a queued request to one of some upstreams; returns whether it leaves the queue. */
    boolean tryPlaceWaiting(List<PlacementCandidate> candidates) {
        if (ended) {
            return true;
        }
        if (isTooLateToBegin()) {
            waiting = false;
            reject(notRunForStop());
            return true;
        }
        if (isQuarantined()) {
            waiting = false;
            rejectQuarantined();
            return true;
        }
        PlacementDecision choice =
                gateway.choose(admitted, candidates, request.metadata().prompt(), triedUpstreams, isLate());
        if (!(choice instanceof PlacementDecision.Chosen chosen)) {
            return false;
        }
        waiting = false;
        waitedMillis = millisSince(request.arrivedNanos());
        gateway.metrics().waited(waitedMillis);
        send(chosen);
        return true;
    }

    /** Rejects a request that has reached its maximum wait and has been removed from the queue. */
    void queueWaitExpired() {
        waiting = false;
        if (!ended) {
            reject(mayHaveRun ? outcomeUnknown("no free slot for a retry") : noFreeSlot());
        }
    }

    /** Returns whether the request may be served in one of some regions. */
    boolean mayUse(Set<String> regions) {
        return admitted.allowedRegions().allowsOneOf(regions);
    }

    /** Rejects a request that was removed from the queue because all upstreams that may serve it leave. */
    void upstreamsLeft() {
        waiting = false;
        if (ended) {
            return;
        }
        if (choose() instanceof PlacementDecision.OutsideRegions) {
            rejectOutsideRegions();
            return;
        }
        rejectUnavailable("all upstreams that may serve the request are leaving");
    }

    /** Rejects a queued request if all upstreams that could serve it have been evacuated. */
    void upstreamsEvacuated() {
        if (!waiting || gateway.canServe(admitted, request.metadata().prompt(), triedUpstreams)) {
            return;
        }
        if (choose() instanceof PlacementDecision.Evacuated evacuated) {
            rejectEvacuated(evacuated);
        }
    }

    CallerRequest callerRequest() {
        return request;
    }

    Route route() {
        return admitted.route();
    }

    CallerResponse response() {
        return response;
    }

    Gateway gateway() {
        return gateway;
    }

    /** Returns which events of a stream were passed on to the caller, by all attempts. */
    StreamPosition stream() {
        return stream;
    }

    /** Returns what may make this request crash upstreams. */
    RequestTraits traits() {
        return traits;
    }

    Duration remainingTime() {
        return deadlines.remaining(gateway.timers().nanoTime());
    }

    /** Finishes the request after the complete response has been passed on. */
    void attemptAnswered(Attempt done, int status) {
        finish("answered");
        requestLog.answered(done, status, attempts);
    }

    /**
     * Decides what follows a failed attempt: a retry, a rejection, or passing on the upstream's failure.
     *
     * @param done the attempt, which has ended
     * @param outcome how it ended
     * @param detail why, as text for the log and the caller
     * @return whether the attempt must pass the upstream's failure response on to the caller
     */
    boolean attemptFailed(Attempt done, Outcome outcome, String detail) {
        if (ended) {
            return false;
        }
        currentAttempt = Optional.empty();
        Next next = decide(outcome);
        mayHaveRun |= outcome == Outcome.UNKNOWN || outcome == Outcome.FAILED;
        long budgetLeft = (long) queue.retryBudget().remaining(gateway.nodes());
        requestLog.attemptFailed(done, outcome, detail, next, attempts, budgetLeft);
        switch (next) {
            case SEND_AGAIN -> place();
            case REFUSE -> reject(Rejection.notRun("not_run", detail, retryAfterOutageOrPause()));
            case SAY_UNKNOWN -> reject(outcomeUnknown(detail));
            case PASS_FAILURE -> {
                return true;
            }
        }
        return false;
    }

    /** Ends a request that has run, and whose caller read the response too slowly for its upstream. */
    void endForSlowCaller(Attempt done) {
        if (ended) {
            return;
        }
        currentAttempt = Optional.empty();
        mayHaveRun = true;
        String detail = "the caller read too slowly, and the upstream closed the response";
        long budgetLeft = (long) queue.retryBudget().remaining(gateway.nodes());
        requestLog.attemptFailed(done, Outcome.UNKNOWN, detail, Next.SAY_UNKNOWN, attempts, budgetLeft);
        reject(outcomeUnknown(detail));
    }

    /** Whether the current attempt may be abandoned for a retry at another upstream that is available now. */
    boolean mayRetryElsewhere() {
        return decide(Outcome.UNKNOWN) == Next.SEND_AGAIN && choose() instanceof PlacementDecision.Chosen;
    }

    /** Returns what the system adds to the caller's headers for an upstream. */
    ForwardingHeaders forwardingHeaders(String upstreamId, OptionalLong exactVersion) {
        Optional<String> organisation = admitted.organisation().map(Organisation::name);
        return new ForwardingHeaders(upstreamId, organisation, remainingTime(), exactVersion, stream.lastId());
    }

    /** Of a response that has begun, another upstream can continue only a stream, after the last event passed on. */
    private Next decide(Outcome outcome) {
        boolean mayGoOn = !response.hasBegun() || stream.isResumable();
        return mayGoOn ? RetryPolicy.decide(progress(), outcome) : Next.SAY_UNKNOWN;
    }

    private Progress progress() {
        boolean hasBudget = queue.retryBudget().remaining(gateway.nodes()) >= 1;
        boolean hasTime = remainingTime().compareTo(MINIMUM_TIME_FOR_RETRY) > 0;
        boolean mayRetryConnect =
                attempts > 0 || millisSince(request.arrivedNanos()) < MAXIMUM_CONNECT_RETRY_TIME.toMillis();
        return new Progress(
                admitted.route().kind(),
                attempts,
                admitted.route().maximumAttempts(),
                mayHaveRun,
                hasTime && mayRetryConnect,
                hasBudget);
    }

    private PlacementDecision choose() {
        return gateway.choose(admitted, request.metadata().prompt(), triedUpstreams, isLate());
    }

    private boolean isLate() {
        return deadlines.isLate(gateway.timers().nanoTime());
    }

    /** Whether the end of the process might cut off the request, which has certainly not run so far. */
    private boolean isTooLateToBegin() {
        return !mayHaveRun && !gateway.mayBegin(deadlines.endNanos());
    }

    private void place() {
        if (remainingTime().isZero()) {
            deadlineReached();
            return;
        }
        if (isTooLateToBegin()) {
            reject(notRunForStop());
            return;
        }
        if (isQuarantined()) {
            rejectQuarantined();
            return;
        }
        PlacementDecision choice = choose();
        if (choice instanceof PlacementDecision.Chosen chosen) {
            send(chosen);
        } else if (choice instanceof PlacementDecision.Full) {
            enqueueIfServable(deadlines.slotWaitEndNanos());
        } else if (choice instanceof PlacementDecision.StartingUp) {
            enqueue(deadlines.engineWaitEndNanos());
        } else if (choice instanceof PlacementDecision.Paused paused) {
            enqueueUntilReturn(paused.returnNanos());
        } else if (choice instanceof PlacementDecision.OutsideRegions) {
            rejectOutsideRegions();
        } else if (choice instanceof PlacementDecision.Evacuated evacuated) {
            rejectEvacuated(evacuated);
        } else {
            rejectUnavailable(((PlacementDecision.Unavailable) choice).detail());
        }
    }

    private void rejectUnavailable(String detail) {
        rejectUnplaced("no_upstream", detail);
    }

    private void rejectOutsideRegions() {
        rejectUnplaced("region", admitted.outsideRegionsDetail());
    }

    private void rejectEvacuated(PlacementDecision.Evacuated evacuated) {
        rejectUnplaced(
                "evacuated",
                "all upstreams that could serve the request are in evacuated failure domains: "
                        + String.join(", ", evacuated.zones()));
    }

    private void rejectUnplaced(String reason, String detail) {
        reject(mayHaveRun ? outcomeUnknown(detail) : Rejection.notRun(reason, detail, retryAfterOutageOrPause()));
    }

    /** Rejects the request at once if so many others wait that it would certainly not get a slot in time. */
    private void enqueueIfServable(long waitEndNanos) {
        long now = gateway.timers().nanoTime();
        int ahead = queue.waiting().sizeAhead(deadlines.onTimeNanos(), now);
        if (!queue.rate().canPlaceInTime(ahead, Duration.ofNanos(Math.max(0, waitEndNanos - now)), now)) {
            reject(mayHaveRun ? outcomeUnknown("no free slot for a retry") : noFreeSlot());
            return;
        }
        enqueue(waitEndNanos);
    }

    /** Waits for the first upstream that wants requests again, unless that would be too late. */
    private void enqueueUntilReturn(long returnNanos) {
        long waitEndNanos = deadlines.pauseWaitEndNanos(returnNanos);
        if (returnNanos - waitEndNanos >= 0) {
            reject(mayHaveRun ? outcomeUnknown("no upstream wants a retry in time") : noFreeSlot());
            return;
        }
        enqueue(waitEndNanos);
    }

    private void enqueue(long waitEndNanos) {
        boolean queued = waitEndNanos - gateway.timers().nanoTime() > 0
                && queue.waiting()
                        .offer(
                                this,
                                admitted.priority(),
                                deadlines.queueOrderNanos(),
                                deadlines.onTimeNanos(),
                                waitEndNanos);
        if (!queued) {
            reject(mayHaveRun ? outcomeUnknown("no free slot for a retry") : noFreeSlot());
            return;
        }
        waiting = true;
        gateway.scheduleQueueScan();
    }

    private void send(PlacementDecision.Chosen chosen) {
        PlacementCandidate candidate = chosen.candidate();
        String id = candidate.upstream().id();
        Optional<UpstreamPool> pool = gateway.pool(id);
        if (pool.isEmpty()) {
            rejectUnavailable("the upstream was just removed");
            return;
        }
        triedUpstreams.add(id);
        OptionalLong exactVersion = request.metadata()
                .prompt()
                .map(prompt -> exactVersion(prompt, candidate))
                .orElse(OptionalLong.empty());
        Attempt next = new Attempt(this, candidate, pool.get(), chosen.predictedMillis(), exactVersion);
        currentAttempt = Optional.of(next);
        requestLog.placed(chosen, attempts, waitedMillis);
        queue.rate().recordPlaced(gateway.timers().nanoTime());
        OptionalLong turnLapseNanos = gateway.limits().recordPlaced(candidate.upstream());
        int prompt = request.metadata().prompt().map(PromptShape::promptTokens).orElse(0);
        candidate.load().recordSent(next, prompt, gateway.timers().nanoTime());
        double idleShare = admitted.route().kind().isIdempotent() ? IDEMPOTENT_IDLE_SHARE : NON_IDEMPOTENT_IDLE_SHARE;
        // Without an id, only the order of responses would tell one from that to an earlier request on the connection.
        boolean hasId = !request.requestId().isEmpty();
        next.start(hasId ? pool.get().acquire(idleShare) : Optional.empty(), turnLapseNanos);
    }

    /** Allows another attempt at an upstream to which the last one sent nothing. */
    void mayReturnTo(Upstream upstream) {
        triedUpstreams.remove(upstream.id());
    }

    /** Counts an attempt; returns false, without counting, if the retry budget does not allow a retry. */
    boolean tryCountAttempt() {
        if (attempts > 0) {
            if (!queue.retryBudget().tryRetry(gateway.timers().nanoTime(), gateway.nodes())) {
                return false;
            }
            gateway.metrics().retry();
        }
        attempts++;
        if (onTrial) {
            onTrial = false;
            requestLog.sentOnTrial();
        }
        return true;
    }

    /** Near the end of a version's rollout time, an upstream that went back to an older one must reject the request. */
    private OptionalLong exactVersion(PromptShape prompt, PlacementCandidate candidate) {
        OptionalLong minimum = gateway.minimumVersion(prompt.model());
        if (minimum.isEmpty()) {
            return minimum;
        }
        return OptionalLong.of(candidate
                .weights(gateway.timers().nanoTime())
                .map(WeightsVersion::version)
                .orElse(minimum.getAsLong()));
    }

    private void deadlineReached() {
        if (!ended) {
            endWithoutResponse(
                    Rejection.deadlineExceeded("no complete response before the deadline"),
                    Rejection.notRun(
                            "timeout",
                            "no free slot before the deadline",
                            RetryAfterPolicy.whenFull(gateway.randomFraction())));
        }
    }

    /** Ends the request wherever it is, with one of two rejections: it may have run, or it certainly has not. */
    private void endWithoutResponse(Rejection ifMayHaveRun, Rejection ifNotRun) {
        currentAttempt.ifPresent(Attempt::cancel);
        boolean possiblyRan =
                mayHaveRun || currentAttempt.filter(Attempt::isSent).isPresent();
        reject(possiblyRan ? ifMayHaveRun : ifNotRun);
    }

    private Rejection notRunForStop() {
        return Rejection.stopping(gateway.randomFraction());
    }

    /** After all upstreams have named a time, callers follow the shortest one. */
    private Duration retryAfterOutageOrPause() {
        double random = gateway.randomFraction();
        OptionalLong returnNanos = gateway.returnNanos(admitted.service(), admitted.allowedRegions());
        return returnNanos.isPresent()
                ? RetryAfterPolicy.afterPause(timeUntil(returnNanos.getAsLong()), random)
                : RetryAfterPolicy.afterOutage(remainingTime(), random);
    }

    private Rejection noFreeSlot() {
        PlacementDecision choice = choose();
        if (choice instanceof PlacementDecision.Paused paused) {
            return Rejection.notRun(
                    "paused",
                    "all upstreams have named a time after which they want requests",
                    RetryAfterPolicy.afterPause(timeUntil(paused.returnNanos()), gateway.randomFraction()));
        }
        if (choice instanceof PlacementDecision.StartingUp) {
            return Rejection.notRun(
                    "coming",
                    "engines are loading weights",
                    RetryAfterPolicy.afterOutage(remainingTime(), gateway.randomFraction()));
        }
        return Rejection.notRun("full", "no free slot", RetryAfterPolicy.whenFull(gateway.randomFraction()));
    }

    private Rejection outcomeUnknown(String detail) {
        return Rejection.mayHaveRun("may_have_run", detail);
    }

    /** A request on trial is not checked again until it has been sent, so that the trial takes place. */
    private boolean isQuarantined() {
        if (onTrial) {
            return false;
        }
        CrashLedger.Decision decision =
                gateway.crashLedger().decide(traits.all(), gateway.timers().nanoTime());
        onTrial = decision == CrashLedger.Decision.TRIAL;
        return decision == CrashLedger.Decision.QUARANTINED;
    }

    private void rejectQuarantined() {
        String detail = "the request, or a part of its prompt, crashes upstreams";
        reject(
                mayHaveRun
                        ? outcomeUnknown(detail)
                        : Rejection.notRun(
                                "quarantined",
                                detail,
                                RetryAfterPolicy.afterOutage(remainingTime(), gateway.randomFraction())));
    }

    private void reject(Rejection rejection) {
        boolean claimsNotRun = rejection.status() == 503;
        if (claimsNotRun && mayHaveRun) {
            throw new IllegalStateException("a request that may have run must not be reported as not run");
        }
        finish(rejection.reason());
        requestLog.rejected(rejection, attempts);
        if (response.hasBegun()) {
            response.breakOff();
            return;
        }
        response.writeComplete(rejection.status(), rejection.headers(gateway.translator()), rejection.body());
    }

    private void finish(String outcome) {
        ended = true;
        if (onTrial) {
            gateway.crashLedger().trialNotSent(traits.all(), gateway.timers().nanoTime());
        }
        timeoutTimer.ifPresent(Timer::cancel);
        gateway.stopAwaitingConfiguration(this);
        gateway.metrics().ended(outcome);
        if (waiting) {
            waiting = false;
            queue.waiting().remove(this);
        }
    }

    private Duration timeUntil(long nanos) {
        return Duration.ofNanos(Math.max(0, nanos - gateway.timers().nanoTime()));
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(gateway.timers().nanoTime() - nanos).toMillis();
    }
}
