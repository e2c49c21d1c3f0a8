package org.galenahinge.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Sink;
import org.galenahinge.operations.EntryList;
import org.galenahinge.request.Filter;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Request;
import org.galenahinge.request.Response;
import org.galenahinge.request.Verdict;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketGroup.ServiceWorkload;
import org.galenahinge.ticket.TicketState;

/**
 * The HTTP interface for callers: the list of entries and models, chat completions, requests to plain services, and
 * idempotency keys for services whose requests are not idempotent.
 */
final class CallerHttp {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern SERVICE_PATH =
            Pattern.compile("/v1/services/([A-Za-z0-9][A-Za-z0-9._-]{0,62})(/[A-Za-z0-9._/-]*)");
    private static final String KEYS_PATH = "/keys";
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(5);
    private static final long MAXIMUM_DISCARDED_BYTES = 64L << 20;

    private final ActorSystem<?> system;
    private final RequestReader reader;
    private final Filter.Next chain;
    private final Dispatcher dispatcher;
    private final Supplier<EntryList> entries;
    private final Supplier<TicketState> tickets;
    private final Supplier<Optional<Verdict.NotRun>> rejectAll;
    private final int maximumBodyBytes;

    CallerHttp(
            ActorSystem<?> system,
            RequestReader reader,
            Filter.Next chain,
            Dispatcher dispatcher,
            Supplier<EntryList> entries,
            Supplier<TicketState> tickets,
            Supplier<Optional<Verdict.NotRun>> rejectAll,
            int maximumBodyBytes) {
        this.system = Objects.requireNonNull(system, "system");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.chain = Objects.requireNonNull(chain, "chain");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.entries = Objects.requireNonNull(entries, "entries");
        this.tickets = Objects.requireNonNull(tickets, "tickets");
        this.rejectAll = Objects.requireNonNull(rejectAll, "rejectAll");
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /** Handles an HTTP request, or returns empty if its method and path belong to none of the interface's resources. */
    Optional<CompletionStage<HttpResponse>> handle(HttpRequest httpRequest) {
        String path = httpRequest.getUri().path();
        boolean post = httpRequest.method().equals(HttpMethods.POST);
        if (path.equals("/v1/entries")) {
            return Optional.of(CompletableFuture.completedFuture(HttpResponses.json(200, entries.get())));
        }
        if (path.equals("/v1/models")) {
            return Optional.of(CompletableFuture.completedFuture(HttpResponses.json(200, models())));
        }
        if (post && path.equals("/v1/chat/completions")) {
            return Optional.of(handleChatCompletion(httpRequest));
        }
        Matcher service = SERVICE_PATH.matcher(path);
        if (post && service.matches()) {
            return Optional.of(handleServiceRequest(httpRequest, service.group(1), service.group(2)));
        }
        return Optional.empty();
    }

    private CompletionStage<HttpResponse> handleChatCompletion(HttpRequest httpRequest) {
        String requestId = RequestReader.requestId(httpRequest);
        return readBody(httpRequest)
                .thenCompose(body -> body.isEmpty()
                        ? rejectBody(requestId)
                        : forward(requestId, reader.readChatCompletion(requestId, httpRequest, body.get())));
    }

    private CompletionStage<HttpResponse> handleServiceRequest(HttpRequest httpRequest, String service, String path) {
        String requestId = RequestReader.requestId(httpRequest);
        return readBody(httpRequest).thenCompose(body -> {
            if (body.isEmpty()) {
                return rejectBody(requestId);
            }
            RequestReader.Result result = reader.readServiceRequest(requestId, httpRequest, body.get(), service, path);
            if (result instanceof RequestReader.Result.Valid valid && path.equals(KEYS_PATH)) {
                return issueKey(valid.request());
            }
            if (result instanceof RequestReader.Result.Valid valid
                    && requiresKey(service)
                    && valid.request().permit().isEmpty()) {
                String detail = "Idempotency-Key: requests to '" + service + "' are not idempotent; get a key first";
                return rejected(requestId, Verdict.notRun(Reason.KEY_MISSING, detail, Duration.ZERO));
            }
            return forward(requestId, result);
        });
    }

    private CompletionStage<HttpResponse> forward(String requestId, RequestReader.Result result) {
        if (result instanceof RequestReader.Result.Invalid invalid) {
            return rejected(requestId, invalid.verdict());
        }
        Request request = ((RequestReader.Result.Valid) result).request();
        return chain.handle(request).thenApply(response -> toHttp(request, response));
    }

    /** Converts a response. A caller that is rejected because this entry drains gets the URLs of other entries. */
    private HttpResponse toHttp(Request request, Response response) {
        if (!(response.verdict() instanceof Verdict.Answered)) {
            response.body().runWith(Sink.ignore(), system);
        }
        HttpResponse httpResponse = HttpResponses.of(request.requestId(), request.streamed(), response);
        boolean draining = response.verdict() instanceof Verdict.NotRun notRun && notRun.reason() == Reason.DRAINING;
        return draining
                ? httpResponse.addHeader(RawHeader.create("Galenahinge-Entries", otherEntries()))
                : httpResponse;
    }

    private String otherEntries() {
        return String.join(
                ", ",
                entries.get().entries().stream()
                        .map(EntryList.EntryAddress::url)
                        .toList());
    }

    private CompletionStage<HttpResponse> issueKey(Request request) {
        Optional<Verdict.NotRun> rejection = rejectAll.get();
        if (rejection.isPresent()) {
            return rejected(request.requestId(), rejection.get());
        }
        return dispatcher.requestPermit(request).thenApply(result -> {
            if (result instanceof Dispatcher.PermitResult.Issued issued) {
                return HttpResponses.json(200, JSON.createObjectNode().put("key", issued.key()));
            }
            return HttpResponses.failure(request.requestId(), ((Dispatcher.PermitResult.Rejected) result).verdict());
        });
    }

    private boolean requiresKey(String service) {
        return tickets.get().effectiveGroups().stream()
                .map(group -> group.content().workload())
                .anyMatch(workload -> workload instanceof ServiceWorkload candidate
                        && candidate.service().equals(service)
                        && !candidate.idempotent());
    }

    private ObjectNode models() {
        ObjectNode document = JSON.createObjectNode().put("object", "list");
        ArrayNode data = document.putArray("data");
        tickets.get().effectiveGroups().stream()
                .map(group -> group.content().workload())
                .filter(ModelWorkload.class::isInstance)
                .map(workload -> workload.target())
                .distinct()
                .forEach(name -> data.addObject().put("id", name).put("object", "model"));
        return document;
    }

    /** Reads the body; empty if it is too large, incomplete or takes longer than {@link #BODY_TIMEOUT}. */
    private CompletionStage<Optional<byte[]>> readBody(HttpRequest httpRequest) {
        OptionalLong length = httpRequest.entity().getContentLengthOption();
        if (length.isPresent() && length.getAsLong() > maximumBodyBytes) {
            return discardBody(httpRequest).handle((done, error) -> Optional.empty());
        }
        return httpRequest
                .entity()
                .withSizeLimit(maximumBodyBytes)
                .toStrict(BODY_TIMEOUT.toMillis(), maximumBodyBytes, system)
                .handle((entity, error) -> Optional.ofNullable(entity)
                        .map(strict -> strict.getData().toArray()));
    }

    /**
     * Reads a body that is too large, up to a limit, before it is rejected. The server closes the connection with a response
     * that is sent earlier, and a caller that is still sending would find it reset and might never read the rejection.
     */
    private CompletionStage<Done> discardBody(HttpRequest httpRequest) {
        return httpRequest
                .entity()
                .withoutSizeLimit()
                .getDataBytes()
                .takeWithin(DISCARD_TIMEOUT)
                .limitWeighted(MAXIMUM_DISCARDED_BYTES, part -> (long) part.size())
                .runWith(Sink.ignore(), system);
    }

    private CompletionStage<HttpResponse> rejectBody(String requestId) {
        String detail = "body: could not be read, or is larger than " + maximumBodyBytes + " bytes";
        return rejected(requestId, Verdict.notRun(Reason.TOO_LARGE, detail, Duration.ZERO));
    }

    private static CompletionStage<HttpResponse> rejected(String requestId, Verdict verdict) {
        return CompletableFuture.completedFuture(HttpResponses.failure(requestId, verdict));
    }
}
