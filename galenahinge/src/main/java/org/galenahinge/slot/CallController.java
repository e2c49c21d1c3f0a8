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
 * Admits calls to the upstream, runs those that may not be repeated at most once, and ends every call with a verdict.
 *
 * <p>The one thread here is the point of truth for what the upstream was given. Bounds: the ring, the calls held and
 * the permits remembered; past each a call is refused as not run.
 */
final class CallController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(CallController.class);
    private static final int RING = 8_192;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration IDLE = Duration.ofSeconds(30);
    private static final Duration SOON = Duration.ofMillis(200);

    private final UpstreamStarter upstream;
    private final PermitTable<KeptAnswer> permits;
    private final Controller<CallEvent> controller;
    private final Map<Long, ActiveCall> active = new HashMap<>();
    private final Counter answered;
    private final Counter notRun;
    private final Counter mayHaveRun;
    private Admission admission;
    private Serving serving = Serving.CLOSED;
    private Optional<Runnable> draining = Optional.empty();
    private long nextId = 1;
    private volatile Load load;

    private CallController(
            Admission admission, PermitTable<KeptAnswer> permits, UpstreamStarter upstream, MetricRegistry metrics) {
        this.admission = admission;
        this.permits = permits;
        this.upstream = upstream;
        this.load = new Load(0, 0, admission.capacity());
        this.answered = metrics.counter("calls.answered");
        this.notRun = metrics.counter("calls.not-run");
        this.mayHaveRun = metrics.counter("calls.may-have-run");
        this.controller = Controller.start("calls", RING, TICK, this::handle, this::tick);
    }

    /** Hands a call to the upstream. */
    @FunctionalInterface
    interface UpstreamStarter {
        UpstreamCall start(CallReply reply, CallStart call, String fingerprint, Ending ending);
    }

    /** Hears the end of a call. */
    @FunctionalInterface
    interface Ending {
        void ended(Verdict verdict, KeptAnswer answer);
    }

    static CallController start(
            Admission admission, PermitTable<KeptAnswer> permits, UpstreamStarter upstream, MetricRegistry metrics) {
        return new CallController(
                Objects.requireNonNull(admission, "admission"),
                Objects.requireNonNull(permits, "permits"),
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /** Takes a call in, or refuses it as not run when the ring is full. */
    void arrive(WireConnection link, long correlation, CallStart call) {
        if (!controller.offerWork(new CallEvent.Arrived(link, correlation, call))) {
            Verdict refusal = Verdict.notRun(Reason.QUEUE_FULL, "the slot process is overloaded", SOON);
            // A call with a permit may have run before, so only the table may say that it did not.
            Verdict verdict = call.getPermit().isEmpty()
                    ? refusal
                    : Verdict.mayHaveRun(Reason.QUEUE_FULL, "the slot process is overloaded");
            new CallReply(link, correlation, call.getRequestId()).end(verdict, 0, 0);
        }
    }

    boolean offer(CallEvent event) {
        return controller.offer(event);
    }

    Load load() {
        return load;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(CallEvent event) {
        if (event instanceof CallEvent.Arrived arrived) {
            arrived(arrived);
        } else if (event instanceof CallEvent.Ended ended) {
            ended(ended);
        } else if (event instanceof CallEvent.Cancelled cancelled) {
            active.values().stream()
                    .filter(call -> call.isFrom(cancelled.link(), cancelled.correlation()))
                    .findFirst()
                    .ifPresent(this::abandon);
        } else if (event instanceof CallEvent.LinkLost lost) {
            List.copyOf(active.values()).stream()
                    .filter(call -> call.reply.link().equals(lost.link()))
                    .forEach(this::abandon);
        } else if (event instanceof CallEvent.PermitAsked asked) {
            givePermit(asked);
        } else if (event instanceof CallEvent.ServingChanged changed) {
            changeServing(changed.serving());
        } else if (event instanceof CallEvent.Drain drain) {
            draining = Optional.of(drain.drained());
            finishDrain();
        }
        load = new Load(admission.running(), admission.waiting(), admission.capacity());
    }

    private Duration tick() {
        apply(admission.rejectExpired(System.nanoTime()));
        load = new Load(admission.running(), admission.waiting(), admission.capacity());
        return admission.waiting() > 0 ? TICK : IDLE;
    }

    private void arrived(CallEvent.Arrived event) {
        CallStart call = event.call();
        CallReply reply = new CallReply(event.link(), event.correlation(), call.getRequestId());
        Optional<Permit> permit = Permit.parse(call.getPermit());
        if (permit.isEmpty() && !call.getPermit().isEmpty()) {
            refuse(reply, Reason.KEY_INVALID, "the idempotency key is not one that was issued here");
            return;
        }
        if (permit.isPresent() && !begin(permit.get(), reply)) {
            return;
        }
        long now = System.nanoTime();
        ActiveCall started = new ActiveCall(nextId++, reply, call, permit, now);
        Optional<Verdict> refusal = refusalOf(call, permit);
        active.put(started.id, started);
        if (refusal.isPresent()) {
            end(started, refusal.get(), KeptAnswer.NONE);
            return;
        }
        apply(admission.arrive(waiting(started)));
    }

    /** Lets a call with a permit go on only when it is its first time. */
    private boolean begin(Permit permit, CallReply reply) {
        StartResult<KeptAnswer> beginning = permits.start(permit);
        if (beginning instanceof StartResult.Run<KeptAnswer>) {
            return true;
        }
        if (beginning instanceof StartResult.Cached<KeptAnswer> kept) {
            reply.whole(kept.response(), admission.running(), admission.waiting());
            return false;
        }
        Verdict verdict;
        if (beginning instanceof StartResult.InProgress<KeptAnswer>) {
            verdict = Verdict.mayHaveRun(Reason.KEY_IN_USE, "a call with this key is running; ask again");
        } else if (beginning instanceof StartResult.Withdrawn<KeptAnswer>) {
            verdict = Verdict.notRun(Reason.KEY_WITHDRAWN, "this key was refused before; get a new one", Duration.ZERO);
        } else if (beginning instanceof StartResult.OutcomeUnknown<KeptAnswer> unknown) {
            verdict = Verdict.mayHaveRun(Reason.OWNER_GONE, unknown.detail());
        } else {
            verdict = Verdict.notRun(Reason.KEY_INVALID, "this key was not issued here", Duration.ZERO);
        }
        count(verdict);
        reply.end(verdict, admission.running(), admission.waiting());
        return false;
    }

    private Optional<Verdict> refusalOf(CallStart call, Optional<Permit> permit) {
        if (draining.isPresent()) {
            return Optional.of(Verdict.notRun(Reason.DRAINING, "the slot process is stopping", Duration.ZERO));
        }
        if (!serving.open()) {
            return Optional.of(Verdict.notRun(Reason.NOT_READY, "the upstream is not ready", SOON));
        }
        if (!call.getWeightsKey().equals(serving.weightsKey())) {
            String detail = "this replica holds '" + serving.weightsKey() + "'";
            return Optional.of(Verdict.notRun(Reason.OTHER_WEIGHTS, detail, Duration.ZERO));
        }
        if (!serving.repeatable() && permit.isEmpty()) {
            return Optional.of(Verdict.notRun(Reason.KEY_MISSING, "this call needs an idempotency key", Duration.ZERO));
        }
        return Optional.empty();
    }

    private static PendingRequest waiting(ActiveCall call) {
        Priority priority =
                call.start.getPriority() == Priority.INTERACTIVE.code() ? Priority.INTERACTIVE : Priority.BATCH;
        long deadline = call.arrivedNanos
                + Duration.ofMillis(call.start.getTimeoutMillis()).toNanos();
        return new PendingRequest(call.id, call.start.getOrganisation(), priority, 1, call.arrivedNanos, deadline);
    }

    private void apply(Admission.Step step) {
        admission = step.state();
        for (Admission.Effect effect : step.effects()) {
            if (effect instanceof Admission.Start start) {
                run(active.get(start.id()));
            } else if (effect instanceof Admission.Reject refuse) {
                Duration retryAfter = Duration.ofMillis(refuse.retryAfterMillis());
                Verdict verdict = Verdict.notRun(refuse.reason(), "the upstream has too much work", retryAfter);
                end(active.get(refuse.id()), verdict, KeptAnswer.NONE);
            }
        }
    }

    private void run(ActiveCall call) {
        call.startedNanos = System.nanoTime();
        call.running = Optional.of(upstream.start(
                call.reply,
                call.start,
                serving.fingerprint(),
                (verdict, answer) -> report(new CallEvent.Ended(call.id, verdict, answer))));
    }

    /** The ring keeps room for endings, so an ending that does not fit is a fault of this program. */
    private void report(CallEvent.Ended ended) {
        if (!controller.offer(ended)) {
            LOG.errorf("the end of call %d was lost: the ring is full", ended.id());
        }
    }

    private void ended(CallEvent.Ended event) {
        ActiveCall call = active.get(event.id());
        if (call == null) {
            return;
        }
        apply(admission.finish(call.id, call.startedNanos, System.nanoTime()));
        end(call, event.verdict(), event.answer());
    }

    private void end(ActiveCall call, Verdict verdict, KeptAnswer answer) {
        active.remove(call.id);
        call.permit.ifPresent(permit -> record(permit, verdict, answer));
        count(verdict);
        call.reply.end(verdict, admission.running(), admission.waiting());
        finishDrain();
    }

    private void record(Permit permit, Verdict verdict, KeptAnswer answer) {
        if (verdict instanceof Verdict.NotRun) {
            permits.withdraw(permit);
        } else if (verdict instanceof Verdict.Answered) {
            permits.recordAnswered(permit, answer, answer.body().length);
        } else {
            permits.recordLost(permit);
        }
    }

    /** A call that may not be repeated goes on, so that its answer is there for a repeat. */
    private void abandon(ActiveCall call) {
        if (call.permit.isPresent()) {
            return;
        }
        if (call.running.isPresent()) {
            call.running.get().cancel(Reason.CONNECTION_LOST, "the caller went away");
            return;
        }
        admission = admission.cancel(call.id);
        end(call, Verdict.notRun(Reason.CONNECTION_LOST, "the caller went away", Duration.ZERO), KeptAnswer.NONE);
    }

    private void givePermit(CallEvent.PermitAsked asked) {
        PermitAnswer.Builder answer = PermitAnswer.newBuilder();
        if (draining.isPresent() || !serving.open()) {
            answer.setRefusal(Reason.NOT_READY.label());
        } else {
            permits.issue()
                    .ifPresentOrElse(
                            permit -> answer.setPermit(permit.text()),
                            () -> answer.setRefusal(Reason.QUEUE_FULL.label()));
        }
        asked.link().reply(asked.correlation(), Frame.newBuilder().setPermitAnswer(answer));
    }

    private void changeServing(Serving next) {
        serving = next;
        if (!next.open()) {
            admission = admission.close();
            return;
        }
        refuseWaitingForOtherWeights(next);
        apply(admission.open(System.nanoTime()));
    }

    private void refuseWaitingForOtherWeights(Serving next) {
        for (ActiveCall call : List.copyOf(active.values())) {
            if (call.running.isEmpty() && !call.start.getWeightsKey().equals(next.weightsKey())) {
                admission = admission.cancel(call.id);
                Verdict verdict = Verdict.notRun(Reason.OTHER_WEIGHTS, "the weights changed", Duration.ZERO);
                end(call, verdict, KeptAnswer.NONE);
            }
        }
    }

    private void refuse(CallReply reply, Reason reason, String detail) {
        Verdict verdict = Verdict.notRun(reason, detail, Duration.ZERO);
        count(verdict);
        reply.end(verdict, admission.running(), admission.waiting());
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

    private void finishDrain() {
        if (draining.isPresent() && active.isEmpty()) {
            Runnable drained = draining.get();
            draining = Optional.of(() -> {});
            drained.run();
        }
    }

    /**
     * What the upstream has to do.
     *
     * @param running calls that run
     * @param waiting calls that wait
     * @param capacity the most that run at once
     */
    record Load(int running, int waiting, int capacity) {}

    private static final class ActiveCall {
        private final long id;
        private final CallReply reply;
        private final CallStart start;
        private final Optional<Permit> permit;
        private final long arrivedNanos;
        private long startedNanos;
        private Optional<UpstreamCall> running = Optional.empty();

        private ActiveCall(long id, CallReply reply, CallStart start, Optional<Permit> permit, long arrivedNanos) {
            this.id = id;
            this.reply = reply;
            this.start = start;
            this.permit = permit;
            this.arrivedNanos = arrivedNanos;
        }

        private boolean isFrom(WireConnection link, long correlation) {
            return reply.link().equals(link) && reply.correlation() == correlation;
        }
    }
}
