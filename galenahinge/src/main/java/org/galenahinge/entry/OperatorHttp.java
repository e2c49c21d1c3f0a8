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

/** The read-only HTTP interface for operators: ticket status, model progress, the fleet and logged decisions. */
final class OperatorHttp {
    private static final Pattern TICKET_PATH = Pattern.compile("/v1/operations/tickets/([0-9]{1,18})");
    private static final Pattern MODEL_PATH = Pattern.compile("/v1/operations/models/([^/]{1,63})/([^/]{1,63})");
    private static final Pattern DECISIONS_PATH = Pattern.compile("/v1/operations/decisions/([^/]{1,100})");

    private final StatusReports statusReports;
    private final StatusReader statusReader;
    private final DecisionLog decisions;

    OperatorHttp(StatusReports statusReports, StatusReader statusReader, DecisionLog decisions) {
        this.statusReports = Objects.requireNonNull(statusReports, "statusReports");
        this.statusReader = Objects.requireNonNull(statusReader, "statusReader");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
    }

    /** Handles an HTTP request, or returns empty if its path belongs to none of the interface's resources. */
    Optional<CompletionStage<HttpResponse>> handle(HttpRequest request) {
        String path = request.getUri().path();
        Matcher ticket = TICKET_PATH.matcher(path);
        if (ticket.matches()) {
            long number = Long.parseLong(ticket.group(1));
            return Optional.of(statusReports
                    .collect()
                    .thenApply(reports -> HttpResponses.json(200, statusReader.ticketStatus(number, reports))));
        }
        Matcher model = MODEL_PATH.matcher(path);
        if (model.matches()) {
            return Optional.of(statusReports
                    .collect()
                    .thenApply(reports -> HttpResponses.json(
                            200, statusReader.modelProgress(model.group(1), model.group(2), reports))));
        }
        if (path.equals("/v1/operations/fleet")) {
            return Optional.of(statusReports
                    .collect()
                    .thenApply(reports -> HttpResponses.json(200, statusReader.fleetView(reports))));
        }
        Matcher decisionsOf = DECISIONS_PATH.matcher(path);
        if (decisionsOf.matches()) {
            Explanation explanation = new Explanation(decisionsOf.group(1), decisions.find(decisionsOf.group(1)));
            int status = explanation.decisions().isEmpty() ? 404 : 200;
            return Optional.of(CompletableFuture.completedFuture(HttpResponses.json(status, explanation)));
        }
        return Optional.empty();
    }
}
