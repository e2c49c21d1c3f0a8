package org.galenahinge.slot;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.idempotency.Permit;
import org.galenahinge.idempotency.PermitTable;
import org.galenahinge.idempotency.PermitTable.StartResult;
import org.galenahinge.limit.Admission;
import org.galenahinge.limit.PendingRequest;
import org.galenahinge.limit.Priority;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallStart;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.PermitAnswer;
import org.jboss.logging.Logger;

/**
 * Admits requests to the upstream, runs each non-idempotent request at most once, and ends every request with a
 * verdict.
 *
 * <p>All events are handled on one thread, which alone knows authoritatively which requests the upstream was given.
 * The event queue, the requests held and the permits remembered are bounded; a request beyond a bound is rejected with
 * the verdict "not run".
 */
final class RequestController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RequestController.class);
    private static final int EVENT_QUEUE_CAPACITY = 8_192;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofSeconds(30);
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final UpstreamStarter upstream;
    private final PermitTable<CachedResponse> permits;
    private final Controller<RequestEvent> controller;
    private final Map<Long, ActiveRequest> active = new HashMap<>();
    private final Counter answered;
    private final Counter notRun;
    private final Counter mayHaveRun;
    private Admission admission;
    private ServingState serving = ServingState.CLOSED;
    private Optional<Runnable> drainListener = Optional.empty();
    private long nextId = 1;
    private volatile Load load;

    private RequestController(
            Admission admission,
            PermitTable<CachedResponse> permits,
            UpstreamStarter upstream,
            MetricRegistry metrics) {
        this.admission = admission;
        this.permits = permits;
        this.upstream = upstream;
        this.load = new Load(0, 0, admission.capacity());
        this.answered = metrics.counter("calls.answered");
        this.notRun = metrics.counter("calls.not-run");
        this.mayHaveRun = metrics.counter("calls.may-have-run");
        this.controller =
                Controller.start("calls", EVENT_QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handle, this::tick);
    }

    /** Starts a request at the upstream. */
    @FunctionalInterface
    interface UpstreamStarter {
        UpstreamRequest start(RequestReply reply, CallStart request, String fingerprint, CompletionListener listener);
    }

    /** Is notified when a request has ended at the upstream. */
    @FunctionalInterface
    interface CompletionListener {
        void completed(Verdict verdict, CachedResponse response);
    }

    static RequestController start(
            Admission admission,
            PermitTable<CachedResponse> permits,
            UpstreamStarter upstream,
            MetricRegistry metrics) {
        return new RequestController(
                Objects.requireNonNull(admission, "admission"),
                Objects.requireNonNull(permits, "permits"),
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /** Queues a request; one that does not fit into the event queue is rejected at once. */
    void offerRequest(WireConnection connection, long correlation, CallStart request) {
        if (!controller.offerWork(new RequestEvent.Arrived(connection, correlation, request))) {
            Verdict rejection = Verdict.notRun(Reason.QUEUE_FULL, "the slot process is overloaded", RETRY_AFTER);
            // A request with a permit may have run before, so only the permit table may report that it did not.
            Verdict verdict = request.getPermit().isEmpty()
                    ? rejection
                    : Verdict.mayHaveRun(Reason.QUEUE_FULL, "the slot process is overloaded");
            RequestReply.of(connection, correlation, request.getRequestId()).sendEnd(verdict, 0, 0);
        }
    }

    boolean offer(RequestEvent event) {
        return controller.offer(event);
    }

    Load load() {
        return load;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(RequestEvent event) {
        if (event instanceof RequestEvent.Arrived arrived) {
            handleArrived(arrived);
        } else if (event instanceof RequestEvent.Ended ended) {
            handleEnded(ended);
        } else if (event instanceof RequestEvent.Cancelled cancelled) {
            active.values().stream()
                    .filter(request -> request.isFrom(cancelled.connection(), cancelled.correlation()))
                    .findFirst()
                    .ifPresent(this::handleCallerGone);
        } else if (event instanceof RequestEvent.ConnectionLost lost) {
            List.copyOf(active.values()).stream()
                    .filter(request -> request.connection.equals(lost.connection()))
                    .forEach(this::handleCallerGone);
        } else if (event instanceof RequestEvent.PermitRequested requested) {
            issuePermit(requested);
        } else if (event instanceof RequestEvent.ServingChanged changed) {
            changeServing(changed.serving());
        } else if (event instanceof RequestEvent.Drain drain) {
            drainListener = Optional.of(drain.onDrained());
            completeDrainIfIdle();
        } else if (event instanceof RequestEvent.EndAll) {
            endAll();
        }
        load = new Load(admission.running(), admission.waiting(), admission.capacity());
    }

    private Duration tick() {
        apply(admission.rejectExpired(System.nanoTime()));
        load = new Load(admission.running(), admission.waiting(), admission.capacity());
        return admission.waiting() > 0 ? MINIMUM_TICK_INTERVAL : IDLE_TICK_INTERVAL;
    }

    private void handleArrived(RequestEvent.Arrived event) {
        CallStart request = event.request();
        RequestReply reply = RequestReply.of(event.connection(), event.correlation(), request.getRequestId());
        Optional<Permit> permit = Permit.parse(request.getPermit());
        if (permit.isEmpty() && !request.getPermit().isEmpty()) {
            reject(reply, Reason.KEY_INVALID, "the idempotency key is not one that was issued here");
            return;
        }
        if (permit.isPresent() && !startPermit(permit.get(), reply)) {
            return;
        }
        long now = System.nanoTime();
        ActiveRequest activeRequest = new ActiveRequest(nextId++, event, reply, permit, now);
        Optional<Verdict> rejection = rejectionFor(request, permit);
        active.put(activeRequest.id, activeRequest);
        if (rejection.isPresent()) {
            end(activeRequest, rejection.get(), CachedResponse.NONE);
            return;
        }
        apply(admission.arrive(waitingEntry(activeRequest)));
    }

    /** Returns true when the permit is used for the first time; otherwise ends the request and returns false. */
    private boolean startPermit(Permit permit, RequestReply reply) {
        StartResult<CachedResponse> result = permits.start(permit);
        if (result instanceof StartResult.Run<CachedResponse>) {
            return true;
        }
        if (result instanceof StartResult.Cached<CachedResponse> cached) {
            reply.sendComplete(cached.response(), admission.running(), admission.waiting());
            return false;
        }
        Verdict verdict;
        if (result instanceof StartResult.InProgress<CachedResponse>) {
            verdict = Verdict.mayHaveRun(Reason.KEY_IN_USE, "a request with this key is running; retry later");
        } else if (result instanceof StartResult.Withdrawn<CachedResponse>) {
            verdict = Verdict.notRun(
                    Reason.KEY_WITHDRAWN, "a request with this key was rejected before; get a new key", Duration.ZERO);
        } else if (result instanceof StartResult.OutcomeUnknown<CachedResponse> unknown) {
            verdict = Verdict.mayHaveRun(Reason.OWNER_GONE, unknown.detail());
        } else {
            verdict = Verdict.notRun(Reason.KEY_INVALID, "this key was not issued here", Duration.ZERO);
        }
        count(verdict);
        reply.sendEnd(verdict, admission.running(), admission.waiting());
        return false;
    }

    private Optional<Verdict> rejectionFor(CallStart request, Optional<Permit> permit) {
        if (drainListener.isPresent()) {
            return Optional.of(Verdict.notRun(Reason.DRAINING, "the slot process is stopping", Duration.ZERO));
        }
        if (!serving.open()) {
            return Optional.of(Verdict.notRun(Reason.NOT_READY, "the upstream is not ready", RETRY_AFTER));
        }
        if (!request.getWeightsKey().equals(serving.weightsKey())) {
            String detail = "this replica holds '" + serving.weightsKey() + "'";
            return Optional.of(Verdict.notRun(Reason.OTHER_WEIGHTS, detail, Duration.ZERO));
        }
        if (!serving.idempotent() && permit.isEmpty()) {
            return Optional.of(
                    Verdict.notRun(Reason.KEY_MISSING, "this request needs an idempotency key", Duration.ZERO));
        }
        return Optional.empty();
    }

    private static PendingRequest waitingEntry(ActiveRequest request) {
        Priority priority =
                request.content.getPriority() == Priority.INTERACTIVE.code() ? Priority.INTERACTIVE : Priority.BATCH;
        long deadline = request.arrivedNanos
                + Duration.ofMillis(request.content.getTimeoutMillis()).toNanos();
        return new PendingRequest(
                request.id, request.content.getOrganisation(), priority, 1, request.arrivedNanos, deadline);
    }

    private void apply(Admission.Step step) {
        admission = step.state();
        for (Admission.Effect effect : step.effects()) {
            if (effect instanceof Admission.Start started) {
                run(active.get(started.id()));
            } else if (effect instanceof Admission.Reject rejected) {
                Duration retryAfter = Duration.ofMillis(rejected.retryAfterMillis());
                Verdict verdict = Verdict.notRun(rejected.reason(), "the upstream has too much work", retryAfter);
                end(active.get(rejected.id()), verdict, CachedResponse.NONE);
            }
        }
    }

    private void run(ActiveRequest request) {
        request.startedNanos = System.nanoTime();
        request.running = Optional.of(upstream.start(
                request.reply,
                request.content,
                serving.fingerprint(),
                (verdict, response) -> offerEnded(new RequestEvent.Ended(request.id, verdict, response))));
    }

    /** The queue reserves room for events other than new requests, so an event that does not fit is a program error. */
    private void offerEnded(RequestEvent.Ended ended) {
        if (!controller.offer(ended)) {
            LOG.errorf("the end of request %d was lost: the event queue is full", ended.id());
        }
    }

    private void handleEnded(RequestEvent.Ended event) {
        ActiveRequest request = active.get(event.id());
        if (request == null) {
            return;
        }
        apply(admission.finish(request.id, request.startedNanos, System.nanoTime()));
        end(request, event.verdict(), event.response());
    }

    private void end(ActiveRequest request, Verdict verdict, CachedResponse response) {
        active.remove(request.id);
        request.permit.ifPresent(permit -> recordOutcome(permit, verdict, response));
        count(verdict);
        request.reply.sendEnd(verdict, admission.running(), admission.waiting());
        completeDrainIfIdle();
    }

    private void recordOutcome(Permit permit, Verdict verdict, CachedResponse response) {
        if (verdict instanceof Verdict.NotRun) {
            permits.withdraw(permit);
        } else if (verdict instanceof Verdict.Answered) {
            permits.recordAnswered(permit, response, response.body().length);
        } else {
            permits.recordLost(permit);
        }
    }

    /** Cancels a request whose caller is gone; one with a permit goes on, so that a retry gets its response. */
    private void handleCallerGone(ActiveRequest request) {
        if (request.permit.isPresent()) {
            return;
        }
        endEarly(request, Reason.CONNECTION_LOST, "the caller disconnected");
    }

    private void endAll() {
        for (ActiveRequest request : List.copyOf(active.values())) {
            String detail = request.running.isPresent()
                    ? "the slot process stopped before the response was complete"
                    : "the slot process is stopping";
            endEarly(request, Reason.DRAINING, detail);
        }
    }

    /** Cancels a request that runs, and rejects one that waits: it has not run. */
    private void endEarly(ActiveRequest request, Reason reason, String detail) {
        if (request.running.isPresent()) {
            request.running.get().cancel(reason, detail);
            return;
        }
        admission = admission.cancel(request.id);
        end(request, Verdict.notRun(reason, detail, Duration.ZERO), CachedResponse.NONE);
    }

    private void issuePermit(RequestEvent.PermitRequested requested) {
        PermitAnswer.Builder answer = PermitAnswer.newBuilder();
        if (drainListener.isPresent() || !serving.open()) {
            answer.setRefusal(Reason.NOT_READY.label());
        } else {
            permits.issue()
                    .ifPresentOrElse(
                            permit -> answer.setPermit(permit.text()),
                            () -> answer.setRefusal(Reason.QUEUE_FULL.label()));
        }
        requested.connection().reply(requested.correlation(), Frame.newBuilder().setPermitAnswer(answer));
    }

    private void changeServing(ServingState next) {
        serving = next;
        if (!next.open()) {
            admission = admission.close();
            return;
        }
        rejectWaitingForOtherWeights(next);
        apply(admission.open(System.nanoTime()));
    }

    private void rejectWaitingForOtherWeights(ServingState next) {
        for (ActiveRequest request : List.copyOf(active.values())) {
            if (request.running.isEmpty() && !request.content.getWeightsKey().equals(next.weightsKey())) {
                admission = admission.cancel(request.id);
                Verdict verdict = Verdict.notRun(Reason.OTHER_WEIGHTS, "the weights changed", Duration.ZERO);
                end(request, verdict, CachedResponse.NONE);
            }
        }
    }

    private void reject(RequestReply reply, Reason reason, String detail) {
        Verdict verdict = Verdict.notRun(reason, detail, Duration.ZERO);
        count(verdict);
        reply.sendEnd(verdict, admission.running(), admission.waiting());
    }

    private void count(Verdict verdict) {
        if (verdict instanceof Verdict.Answered) {
            answered.inc();
        } else if (verdict instanceof Verdict.NotRun) {
            notRun.inc();
        } else {
            mayHaveRun.inc();
        }
    }

    private void completeDrainIfIdle() {
        if (drainListener.isPresent() && active.isEmpty()) {
            Runnable onDrained = drainListener.get();
            drainListener = Optional.of(() -> {});
            onDrained.run();
        }
    }

    /**
     * Load of the upstream, as numbers of requests.
     *
     * @param running requests that are running
     * @param waiting requests that are queued
     * @param capacity the maximum that run at once
     */
    record Load(int running, int waiting, int capacity) {}
}
