package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.Route;
import org.galenahinge.concurrent.Timers.Timer;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.RetryPolicy;
import org.galenahinge.placement.RetryPolicy.Next;
import org.galenahinge.placement.RetryPolicy.Outcome;
import org.galenahinge.placement.RetryPolicy.Progress;
import org.galenahinge.upstream.UpstreamPool;

/**
 * One request on its way: checked, placed, perhaps waiting, sent to an upstream, perhaps to another, and answered once.
 * Belongs to the gateway's thread.
 */
final class ForwardedCall {
    /** A call that may not be repeated goes only over a connection that the upstream will surely still hold open. */
    private static final double FRESH_SHARE = 0.5;

    private static final double KEPT_SHARE = 0.8;
    private static final Duration LEAST_TIME_FOR_REPEAT = Duration.ofMillis(60);
    private static final Duration LONGEST_CONNECT_TRIES = Duration.ofSeconds(2);
    private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(700);

    private final Gateway gateway;
    private final Call call;
    private final CallerReply reply;
    private final Set<String> tried = new HashSet<>();
    private Admitted admitted;
    private ServiceDesk desk;
    private CallTimes times;
    private Optional<Timer> limitTimer = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private int sent;
    private boolean mayHaveRun;
    private boolean waiting;
    private long waitedMillis;
    private boolean headSent;
    private boolean ended;
    private Optional<String> lastEventId = Optional.empty();

    ForwardedCall(Gateway gateway, Call call, CallerReply reply) {
        this.gateway = gateway;
        this.call = call;
        this.reply = reply;
    }

    void begin() {
        if (ended) {
            return;
        }
        if (gateway.catalog().isEmpty() && awaitConfiguration()) {
            return;
        }
        limitTimer.ifPresent(Timer::cancel);
        gateway.metrics().request();
        CallFilters.Result result = CallFilters.check(call, gateway.catalog(), gateway.draw());
        if (result instanceof CallFilters.Result.Stopped stopped) {
            refuse(stopped.refusal());
            return;
        }
        admitted = ((CallFilters.Result.Passed) result).admitted();
        desk = gateway.desk(admitted.service());
        desk.budget().recordRequest(gateway.timers().nanoTime());
        times = CallTimes.of(call, admitted.route());
        limitTimer = Optional.of(gateway.timers().schedule(timeLeft(), this::limitReached));
        place();
    }

    private boolean awaitConfiguration() {
        boolean kept = limitTimer.isEmpty() && gateway.awaitConfiguration(this);
        if (kept) {
            limitTimer = Optional.of(gateway.timers().schedule(CONFIGURATION_WAIT, () -> {
                gateway.stopAwaiting(this);
                begin();
            }));
        }
        return kept;
    }

    /** Stops all work for the request, because its caller has left. */
    void callerLeft() {
        if (ended) {
            return;
        }
        finish("caller_left");
        line(Category.REQUEST, "caller_left").with("sent", sent).write();
        attempt.ifPresent(Attempt::cancel);
    }

    /** Takes in that the caller has read what was sent before. */
    void callerKeepsUp() {
        attempt.ifPresent(Attempt::resume);
    }

    /** Tries to leave the queue. */
    boolean tryWaiting() {
        if (ended) {
            return true;
        }
        PlacementDecision choice = choose();
        if (!(choice instanceof PlacementDecision.Chosen chosen)) {
            return false;
        }
        waiting = false;
        waitedMillis = millisSince(call.arrivedNanos());
        gateway.metrics().waited(waitedMillis);
        send(chosen);
        return true;
    }

    /** Takes in that it has waited as long as it may; it has left the queue. */
    void waitedTooLong() {
        waiting = false;
        if (!ended) {
            refuse(mayHaveRun ? unknown("no place for another try") : full());
        }
    }

    Call call() {
        return call;
    }

    Route route() {
        return admitted.route();
    }

    CallerReply reply() {
        return reply;
    }

    Gateway gateway() {
        return gateway;
    }

    boolean isHeadSent() {
        return headSent;
    }

    void headWasSent() {
        headSent = true;
    }

    Optional<String> lastEventId() {
        return lastEventId;
    }

    void delivered(String eventId) {
        lastEventId = Optional.of(eventId);
    }

    Duration timeLeft() {
        return times.left(gateway.timers().nanoTime());
    }

    /** Takes in that the answer has been passed on whole. */
    void answered(Attempt done, int status) {
        finish("answered");
        line(Category.REQUEST, "answered")
                .with("upstream", done.upstreamId())
                .with("status", status)
                .with("sent", sent)
                .with("first_byte_ms", done.firstByteMillis())
                .with("predicted_ms", done.predictedMillis())
                .with("took_ms", millisSince(call.arrivedNanos()))
                .write();
    }

    /**
     * Decides what follows an attempt that brought no answer.
     *
     * @param done the attempt, which has ended
     * @param outcome what it ended with
     * @param detail why
     * @return whether the upstream's own failure is to be passed on
     */
    boolean failed(Attempt done, Outcome outcome, String detail) {
        if (ended) {
            return false;
        }
        attempt = Optional.empty();
        Next next = RetryPolicy.decide(progress(), outcome);
        mayHaveRun |= outcome == Outcome.UNKNOWN || outcome == Outcome.FAILED;
        line(Category.FAILURE, "attempt_failed")
                .with("upstream", done.upstreamId())
                .with("outcome", outcome.name())
                .with("detail", detail)
                .with("next", next.name())
                .with("sent", sent)
                .with("after_ms", done.ageMillis())
                .with("budget_left", (long) desk.budget().remaining(gateway.nodes()))
                .write();
        switch (next) {
            case SEND_AGAIN -> place();
            case REFUSE ->
                refuse(Refusal.notRun("not_run", detail, ReturnTime.afterOutage(timeLeft(), gateway.draw())));
            case SAY_UNKNOWN -> refuse(unknown(detail));
            case PASS_FAILURE -> {
                return true;
            }
        }
        return false;
    }

    /** Whether a silent upstream may be given up for another one. */
    boolean mayGiveUp() {
        return RetryPolicy.decide(progress(), Outcome.UNKNOWN) == Next.SEND_AGAIN
                && choose() instanceof PlacementDecision.Chosen;
    }

    /** What the system says to an upstream beside the caller's own words. */
    Forwarding forwarding(String upstreamId, OptionalLong exactVersion) {
        Optional<String> organisation = admitted.organisation().map(Organisation::name);
        return new Forwarding(upstreamId, organisation, timeLeft(), exactVersion, lastEventId);
    }

    private Progress progress() {
        boolean budget = desk.budget().remaining(gateway.nodes()) >= 1;
        boolean time = timeLeft().compareTo(LEAST_TIME_FOR_REPEAT) > 0;
        boolean connectTries = sent > 0 || millisSince(call.arrivedNanos()) < LONGEST_CONNECT_TRIES.toMillis();
        return new Progress(
                admitted.route().kind(),
                sent,
                admitted.route().maximumAttempts(),
                mayHaveRun,
                time && connectTries,
                budget);
    }

    private PlacementDecision choose() {
        boolean late = times.isLate(gateway.timers().nanoTime());
        return gateway.choose(admitted.service(), call.head().prompt(), tried, late);
    }

    private void place() {
        if (timeLeft().isZero()) {
            limitReached();
            return;
        }
        PlacementDecision choice = choose();
        if (choice instanceof PlacementDecision.Chosen chosen) {
            send(chosen);
        } else if (choice instanceof PlacementDecision.Full) {
            await(times.waitForPlaceUntil());
        } else if (choice instanceof PlacementDecision.StartingUp) {
            await(times.waitForEnginesUntil());
        } else {
            String detail = ((PlacementDecision.Unavailable) choice).detail();
            refuse(
                    mayHaveRun
                            ? unknown(detail)
                            : Refusal.notRun(
                                    "no_upstream", detail, ReturnTime.afterOutage(timeLeft(), gateway.draw())));
        }
    }

    private void await(long untilNanos) {
        boolean kept = untilNanos - gateway.timers().nanoTime() > 0
                && desk.waiting()
                        .offer(this, admitted.priority(), call.arrivedNanos(), times.onTimeNanos(), untilNanos);
        if (!kept) {
            refuse(mayHaveRun ? unknown("no place for another try") : full());
            return;
        }
        waiting = true;
        gateway.sweepSoon();
    }

    private void send(PlacementDecision.Chosen chosen) {
        PlacementCandidate candidate = chosen.candidate();
        String id = candidate.upstream().id();
        Optional<UpstreamPool> pool = gateway.pool(id);
        if (pool.isEmpty()) {
            refuse(Refusal.notRun("no_upstream", "the upstream has just left", ReturnTime.whenFull(gateway.draw())));
            return;
        }
        tried.add(id);
        OptionalLong exactVersion = call.head().prompt().map(this::exactVersion).orElse(OptionalLong.empty());
        Attempt next = new Attempt(this, candidate, pool.get(), chosen.predictedMillis(), exactVersion);
        attempt = Optional.of(next);
        line(Category.REQUEST, "placed")
                .with("upstream", id)
                .with("predicted_ms", (long) chosen.predictedMillis())
                .with("own_calls", candidate.load().ownInFlight())
                .with(
                        "all_calls",
                        candidate.load().totalInFlight(gateway.timers().nanoTime()))
                .with(
                        "report_age_ms",
                        candidate.load().reportAgeMillis(gateway.timers().nanoTime()))
                .with("sent", sent)
                .with("waited_ms", waitedMillis)
                .write();
        int prompt = call.head().prompt().map(PromptShape::promptTokens).orElse(0);
        candidate.load().recordSent(next, prompt, gateway.timers().nanoTime());
        double share = admitted.route().kind().isIdempotent() ? KEPT_SHARE : FRESH_SHARE;
        next.begin(pool.get().acquire(share));
    }

    /** Counts a hand-over to an upstream; false when the budget no longer allows a repeat. */
    boolean countSending() {
        if (sent > 0) {
            if (!desk.budget().tryRetry(gateway.timers().nanoTime(), gateway.nodes())) {
                return false;
            }
            gateway.metrics().repeat();
        }
        sent++;
        return true;
    }

    /** Once a version's time is nearly over, an upstream that went back to an older one must refuse. */
    private OptionalLong exactVersion(PromptShape prompt) {
        return gateway.leastVersion(prompt.model());
    }

    private void limitReached() {
        if (ended) {
            return;
        }
        attempt.ifPresent(Attempt::cancel);
        boolean handedOver = mayHaveRun || attempt.filter(Attempt::isHandedOver).isPresent();
        if (handedOver) {
            refuse(Refusal.outOfTime("no whole answer within the time"));
        } else {
            refuse(Refusal.notRun("timeout", "no place within the time", ReturnTime.whenFull(gateway.draw())));
        }
    }

    private Refusal full() {
        if (choose() instanceof PlacementDecision.StartingUp) {
            return Refusal.notRun(
                    "coming", "engines are being loaded", ReturnTime.afterOutage(timeLeft(), gateway.draw()));
        }
        return Refusal.notRun("full", "no place is free", ReturnTime.whenFull(gateway.draw()));
    }

    private Refusal unknown(String detail) {
        return Refusal.mayHaveRun("may_have_run", detail);
    }

    private void refuse(Refusal refusal) {
        boolean sayNotRun = refusal.status() == 503;
        if (sayNotRun && mayHaveRun) {
            throw new IllegalStateException("a request that may have run must not be called not run");
        }
        finish(refusal.reason());
        line(Category.FAILURE, "refused")
                .with("status", refusal.status())
                .with("reason", refusal.reason())
                .with("detail", refusal.detail())
                .with("sent", sent)
                .with("took_ms", millisSince(call.arrivedNanos()))
                .with(
                        "retry_after_ms",
                        refusal.retryAfter().map(Duration::toMillis).orElse(0L))
                .write();
        if (headSent) {
            reply.breakOff();
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        refusal.retryAfter().ifPresent(after -> gateway.translator().refuse(headers, after));
        ByteBuf body = Unpooled.copiedBuffer(refusal.detail() + "\n", StandardCharsets.UTF_8);
        reply.whole(refusal.status(), headers, body);
    }

    private void finish(String outcome) {
        ended = true;
        limitTimer.ifPresent(Timer::cancel);
        gateway.stopAwaiting(this);
        gateway.metrics().ended(outcome);
        if (waiting) {
            waiting = false;
            desk.waiting().remove(this);
        }
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(gateway.timers().nanoTime() - nanos).toMillis();
    }

    private org.galenahinge.log.EventLog.Line line(Category category, String event) {
        var line = gateway.log().event(category, event).with("request", call.requestId());
        if (admitted != null) {
            line.with("route", admitted.route().name())
                    .with("service", admitted.service())
                    .with(
                            "config",
                            gateway.catalog().map(known -> known.version()).orElse(0L));
        }
        return line;
    }
}
