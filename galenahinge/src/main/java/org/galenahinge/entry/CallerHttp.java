package org.galenahinge.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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

/** Answers callers: which entry to use, drafts, plain services and keys for calls that may not be repeated. */
final class CallerHttp {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern SERVICE =
            Pattern.compile("/v1/services/([A-Za-z0-9][A-Za-z0-9._-]{0,62})(/[A-Za-z0-9._/-]*)");
    private static final String KEYS = "/keys";
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(20);

    private final ActorSystem<?> system;
    private final CallReader reader;
    private final Filter.Next chain;
    private final Dispatcher dispatcher;
    private final Supplier<EntryList> entries;
    private final Supplier<TicketState> tickets;
    private final Supplier<Optional<Verdict.NotRun>> closed;
    private final int maximumBodyBytes;

    CallerHttp(
            ActorSystem<?> system,
            CallReader reader,
            Filter.Next chain,
            Dispatcher dispatcher,
            Supplier<EntryList> entries,
            Supplier<TicketState> tickets,
            Supplier<Optional<Verdict.NotRun>> closed,
            int maximumBodyBytes) {
        this.system = Objects.requireNonNull(system, "system");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.chain = Objects.requireNonNull(chain, "chain");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.entries = Objects.requireNonNull(entries, "entries");
        this.tickets = Objects.requireNonNull(tickets, "tickets");
        this.closed = Objects.requireNonNull(closed, "closed");
        this.maximumBodyBytes = maximumBodyBytes;
    }

    Optional<CompletionStage<HttpResponse>> answer(HttpRequest request) {
        String path = request.getUri().path();
        boolean post = request.method().equals(HttpMethods.POST);
        if (path.equals("/v1/entries")) {
            return Optional.of(CompletableFuture.completedFuture(HttpAnswers.json(200, entries.get())));
        }
        if (path.equals("/v1/models")) {
            return Optional.of(CompletableFuture.completedFuture(HttpAnswers.json(200, models())));
        }
        if (post && path.equals("/v1/chat/completions")) {
            return Optional.of(draft(request));
        }
        Matcher service = SERVICE.matcher(path);
        if (post && service.matches()) {
            return Optional.of(service(request, service.group(1), service.group(2)));
        }
        return Optional.empty();
    }

    private CompletionStage<HttpResponse> draft(HttpRequest request) {
        String requestId = CallReader.requestId(request);
        return body(request)
                .thenCompose(body -> body.isEmpty()
                        ? tooLarge(requestId)
                        : run(requestId, reader.readDraft(requestId, request, body.get())));
    }

    private CompletionStage<HttpResponse> service(HttpRequest request, String service, String path) {
        String requestId = CallReader.requestId(request);
        return body(request).thenCompose(body -> {
            if (body.isEmpty()) {
                return tooLarge(requestId);
            }
            CallReader.Reading reading = reader.readServiceCall(requestId, request, body.get(), service, path);
            if (reading instanceof CallReader.Reading.Read read && path.equals(KEYS)) {
                return key(read.call());
            }
            if (reading instanceof CallReader.Reading.Read read
                    && needsKey(service)
                    && read.call().permit().isEmpty()) {
                String detail = "Idempotency-Key: calls of '" + service + "' may not be repeated; get a key first";
                return refused(requestId, Verdict.notRun(Reason.KEY_MISSING, detail, Duration.ZERO));
            }
            return run(requestId, reading);
        });
    }

    private CompletionStage<HttpResponse> run(String requestId, CallReader.Reading reading) {
        if (reading instanceof CallReader.Reading.Malformed malformed) {
            return refused(requestId, malformed.verdict());
        }
        Request call = ((CallReader.Reading.Read) reading).call();
        return chain.handle(call).thenApply(answer -> respond(call, answer));
    }

    /** A refused caller is told where else to go. */
    private HttpResponse respond(Request call, Response answer) {
        if (!(answer.verdict() instanceof Verdict.Answered)) {
            answer.body().runWith(Sink.ignore(), system);
        }
        HttpResponse response = HttpAnswers.of(call.requestId(), call.streamed(), answer);
        boolean elsewhere = answer.verdict() instanceof Verdict.NotRun notRun && notRun.reason() == Reason.DRAINING;
        return elsewhere ? response.addHeader(RawHeader.create("Galenahinge-Entries", otherEntries())) : response;
    }

    private String otherEntries() {
        return String.join(
                ", ",
                entries.get().entries().stream()
                        .map(EntryList.EntryAddress::url)
                        .toList());
    }

    private CompletionStage<HttpResponse> key(Request call) {
        Optional<Verdict.NotRun> refusal = closed.get();
        if (refusal.isPresent()) {
            return refused(call.requestId(), refusal.get());
        }
        return dispatcher.permit(call).thenApply(result -> {
            if (result instanceof Dispatcher.PermitResult.Given given) {
                return HttpAnswers.json(200, JSON.createObjectNode().put("key", given.key()));
            }
            return HttpAnswers.refusal(call.requestId(), ((Dispatcher.PermitResult.Refused) result).verdict());
        });
    }

    private boolean needsKey(String service) {
        return tickets.get().effectiveGroups().stream()
                .map(group -> group.content().workload())
                .anyMatch(workload -> workload instanceof ServiceWorkload found
                        && found.service().equals(service)
                        && !found.idempotent());
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

    private CompletionStage<Optional<byte[]>> body(HttpRequest request) {
        return request.entity()
                .withSizeLimit(maximumBodyBytes)
                .toStrict(BODY_TIMEOUT.toMillis(), maximumBodyBytes, system)
                .handle((entity, error) -> Optional.ofNullable(entity)
                        .map(strict -> strict.getData().toArray()));
    }

    private CompletionStage<HttpResponse> tooLarge(String requestId) {
        String detail = "body: could not be read, or is larger than " + maximumBodyBytes + " bytes";
        return refused(requestId, Verdict.notRun(Reason.TOO_LARGE, detail, Duration.ZERO));
    }

    private static CompletionStage<HttpResponse> refused(String requestId, Verdict verdict) {
        return CompletableFuture.completedFuture(HttpAnswers.refusal(requestId, verdict));
    }
}
