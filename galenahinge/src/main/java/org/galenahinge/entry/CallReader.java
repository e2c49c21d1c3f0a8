package org.galenahinge.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.galenahinge.idempotency.Permit;
import org.galenahinge.limit.Priority;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Request;
import org.galenahinge.request.Target;
import org.galenahinge.request.Verdict;
import org.galenahinge.routing.Rendezvous;

/** Reads a call from an HTTP request, or says which field is wrong. */
final class CallReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern IDENTITY = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final int PREFIX_CHARACTERS = 1_024;

    private final Duration longestTimeout;

    CallReader(Duration longestTimeout) {
        this.longestTimeout = Objects.requireNonNull(longestTimeout, "longestTimeout");
    }

    /** The outcome of reading. */
    sealed interface Reading {
        /** A call. */
        record Read(Request call) implements Reading {}

        /** None; the request is refused. */
        record Malformed(Verdict.NotRun verdict) implements Reading {}
    }

    Reading readDraft(String requestId, HttpRequest request, byte[] body) {
        JsonNode document;
        try {
            document = JSON.readTree(body);
        } catch (IOException e) {
            return malformed("body", "not valid JSON");
        }
        JsonNode messages = document.path("messages");
        if (!document.path("model").isTextual()) {
            return malformed("model", "must be the name of a model");
        }
        if (!messages.isArray() || messages.isEmpty()) {
            return malformed("messages", "must be a list of at least one message");
        }
        if (document.has("stream") && !document.path("stream").isBoolean()) {
            return malformed("stream", "must be true or false");
        }
        Target target = new Target.Model(document.path("model").asText());
        boolean streamed = document.path("stream").asBoolean(false);
        return read(requestId, request, body, target, "/v1/chat/completions", streamed, prefixOf(messages));
    }

    Reading readServiceCall(String requestId, HttpRequest request, byte[] body, String service, String path) {
        return read(requestId, request, body, new Target.Service(service), path, false, 0);
    }

    static String requestId(HttpRequest request) {
        return header(request, HttpAnswers.REQUEST_ID)
                .filter(value -> IDENTITY.matcher(value).matches())
                .orElseGet(() -> UUID.randomUUID().toString());
    }

    private Reading read(
            String requestId,
            HttpRequest request,
            byte[] body,
            Target target,
            String path,
            boolean streamed,
            long prefixHash) {
        Optional<String> key = header(request, "Idempotency-Key");
        Optional<Permit> permit = key.flatMap(Permit::parse);
        if (key.isPresent() && permit.isEmpty() && target instanceof Target.Service) {
            return new Reading.Malformed(Verdict.notRun(
                    Reason.KEY_INVALID, "Idempotency-Key: not a key that this system issued", Duration.ZERO));
        }
        String organisation = header(request, "Galenahinge-Organisation")
                .or(() -> header(request, "OpenAI-Organization"))
                .orElse("unnamed");
        if (!IDENTITY.matcher(organisation).matches()) {
            return malformed("Galenahinge-Organisation", "must be 1 to 100 letters, digits, '.', '_' or '-'");
        }
        Optional<Duration> timeout = timeout(request);
        if (timeout.isEmpty()) {
            return malformed(
                    "Galenahinge-Timeout-Ms", "must be from 1 to " + longestTimeout.toMillis() + " milliseconds");
        }
        boolean batch =
                header(request, "Galenahinge-Priority").filter("batch"::equals).isPresent();
        return new Reading.Read(new Request(
                requestId,
                organisation,
                batch ? Priority.BATCH : Priority.INTERACTIVE,
                target,
                path,
                UnsafeByteOperations.unsafeWrap(body),
                streamed,
                prefixHash,
                target instanceof Target.Service ? permit : Optional.empty(),
                header(request, "Galenahinge-Attempt").filter("1"::equals).isPresent(),
                System.nanoTime() + timeout.get().toNanos()));
    }

    private Optional<Duration> timeout(HttpRequest request) {
        Optional<String> given = header(request, "Galenahinge-Timeout-Ms");
        if (given.isEmpty()) {
            return Optional.of(longestTimeout);
        }
        try {
            long millis = Long.parseLong(given.get());
            boolean allowed = millis >= 1 && millis <= longestTimeout.toMillis();
            return allowed ? Optional.of(Duration.ofMillis(millis)) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Requests that begin alike share what the engine has cached of their beginning. */
    private static long prefixOf(JsonNode messages) {
        StringBuilder prefix = new StringBuilder();
        for (JsonNode message : messages) {
            prefix.append(message.path("role").asText())
                    .append(':')
                    .append(message.path("content").asText());
            if (prefix.length() >= PREFIX_CHARACTERS) {
                break;
            }
        }
        return Rendezvous.key(prefix.substring(0, Math.min(PREFIX_CHARACTERS, prefix.length())));
    }

    private static Reading malformed(String field, String message) {
        return new Reading.Malformed(Verdict.notRun(Reason.INVALID_REQUEST, field + ": " + message, Duration.ZERO));
    }

    private static Optional<String> header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value);
    }
}
