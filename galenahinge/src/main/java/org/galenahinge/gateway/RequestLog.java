package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.RetryPolicy.Next;
import org.galenahinge.placement.RetryPolicy.Outcome;
import org.galenahinge.placement.UpstreamLoad;
import org.galenahinge.quarantine.RequestTrait;
import org.galenahinge.upstream.WeightsVersion;

/** Writes the log lines on the path of one request. Used by the gateway's thread only. */
final class RequestLog {
    private final Gateway gateway;
    private final CallerRequest request;
    private Optional<AdmittedRequest> admitted = Optional.empty();

    RequestLog(Gateway gateway, CallerRequest request) {
        this.gateway = Objects.requireNonNull(gateway, "gateway");
        this.request = Objects.requireNonNull(request, "request");
    }

    /** Adds the request's route and service to all later lines. */
    void setAdmitted(AdmittedRequest newAdmitted) {
        admitted = Optional.of(newAdmitted);
    }

    void placed(PlacementDecision.Chosen chosen, int attempts, long waitedMillis) {
        long now = gateway.timers().nanoTime();
        UpstreamLoad load = chosen.candidate().load();
        line(Category.REQUEST, "placed")
                .with("upstream", chosen.candidate().upstream().id())
                .with("predicted_ms", (long) chosen.predictedMillis())
                .with("own_calls", load.ownInFlight())
                .with("all_calls", load.totalInFlight(now))
                .with("report_age_ms", load.reportAgeMillis(now))
                .with(
                        "weights_version",
                        chosen.candidate()
                                .weights(now)
                                .map(WeightsVersion::version)
                                .orElse(0L))
                .with("sent", attempts)
                .with("waited_ms", waitedMillis)
                .write();
    }

    /** The request has a cause of crashes, and is sent to find out whether it still crashes upstreams. */
    void sentOnTrial() {
        line(Category.BELIEF, "quarantine_trial").with("parts", parts()).write();
    }

    void answered(Attempt done, int status, int attempts) {
        line(Category.REQUEST, "answered")
                .with("upstream", done.upstreamId())
                .with("status", status)
                .with("sent", attempts)
                .with("first_byte_ms", done.firstByteMillis())
                .with("predicted_ms", done.predictedMillis())
                .with("took_ms", millisSinceArrival())
                .with("events", done.events())
                .with("parts", parts())
                .with("limit", text(done.requestLimit()))
                .write();
    }

    void attemptFailed(Attempt done, Outcome outcome, String detail, Next next, int attempts, long budgetLeft) {
        line(Category.FAILURE, "attempt_failed")
                .with("upstream", done.upstreamId())
                .with("outcome", outcome.name())
                .with("detail", detail)
                .with("next", next.name())
                .with("sent", attempts)
                .with("after_ms", done.ageMillis())
                .with("events", done.events())
                .with("parts", parts())
                .with("identity", done.identity().toString())
                .with("budget_left", budgetLeft)
                .write();
    }

    void rejected(Rejection rejection, int attempts) {
        line(Category.FAILURE, "refused")
                .with("status", rejection.status())
                .with("reason", rejection.reason())
                .with("detail", rejection.detail())
                .with("sent", attempts)
                .with("took_ms", millisSinceArrival())
                .with("facts_age_ms", gateway.factsAge().map(Duration::toMillis).orElse(-1L))
                .with(
                        "retry_after_ms",
                        rejection.retryAfter().map(Duration::toMillis).orElse(0L))
                .write();
    }

    void callerDisconnected(int attempts) {
        line(Category.REQUEST, "caller_left").with("sent", attempts).write();
    }

    private String parts() {
        return RequestTrait.join(request.metadata().sharedParts());
    }

    private static String text(OptionalDouble number) {
        return number.isPresent() ? Double.toString(number.getAsDouble()) : "";
    }

    private long millisSinceArrival() {
        return Duration.ofNanos(gateway.timers().nanoTime() - request.arrivedNanos())
                .toMillis();
    }

    private EventLog.Line line(Category category, String event) {
        EventLog.Line line = gateway.log()
                .event(category, event)
                .with("request", request.requestId())
                .with("config", gateway.catalog().map(Catalog::version).orElse(0L));
        admitted.ifPresent(known -> line.with("route", known.route().name()).with("service", known.service()));
        return line;
    }
}
