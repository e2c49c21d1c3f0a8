package org.galenahinge.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.operations.Explanation;

/** Answers operators. Only reads. */
final class OperatorHttp {
    private static final Pattern TICKET = Pattern.compile("/v1/operations/tickets/([0-9]{1,18})");
    private static final Pattern MODEL = Pattern.compile("/v1/operations/models/([^/]{1,63})/([^/]{1,63})");
    private static final Pattern DECISIONS = Pattern.compile("/v1/operations/decisions/([^/]{1,100})");

    private final Reports reports;
    private final Readback readback;
    private final DecisionLog decisions;

    OperatorHttp(Reports reports, Readback readback, DecisionLog decisions) {
        this.reports = Objects.requireNonNull(reports, "reports");
        this.readback = Objects.requireNonNull(readback, "readback");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
    }

    Optional<CompletionStage<HttpResponse>> answer(HttpRequest request) {
        String path = request.getUri().path();
        Matcher ticket = TICKET.matcher(path);
        if (ticket.matches()) {
            long number = Long.parseLong(ticket.group(1));
            return Optional.of(reports.gather()
                    .thenApply(gathered -> HttpAnswers.json(200, readback.ticketStatus(number, gathered))));
        }
        Matcher model = MODEL.matcher(path);
        if (model.matches()) {
            return Optional.of(reports.gather()
                    .thenApply(gathered ->
                            HttpAnswers.json(200, readback.modelProgress(model.group(1), model.group(2), gathered))));
        }
        if (path.equals("/v1/operations/fleet")) {
            return Optional.of(
                    reports.gather().thenApply(gathered -> HttpAnswers.json(200, readback.fleetView(gathered))));
        }
        Matcher asked = DECISIONS.matcher(path);
        if (asked.matches()) {
            Explanation explanation = new Explanation(asked.group(1), decisions.find(asked.group(1)));
            int status = explanation.decisions().isEmpty() ? 404 : 200;
            return Optional.of(CompletableFuture.completedFuture(HttpAnswers.json(status, explanation)));
        }
        return Optional.empty();
    }
}
