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

/** Parses and checks the HTTP requests of callers. A rejection names the invalid field or header. */
final class RequestReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final int MAXIMUM_PREFIX_CHARACTERS = 1_024;

    private final Duration maximumTimeout;

    RequestReader(Duration maximumTimeout) {
        this.maximumTimeout = Objects.requireNonNull(maximumTimeout, "maximumTimeout");
    }

    /** The result of reading an HTTP request. */
    sealed interface Result {
        /** The HTTP request is valid. */
        record Valid(Request request) implements Result {}

        /** The HTTP request is rejected with a verdict that names the invalid field or header. */
        record Invalid(Verdict.NotRun verdict) implements Result {}
    }

    Result readChatCompletion(String requestId, HttpRequest httpRequest, byte[] body) {
        JsonNode document;
        try {
            document = JSON.readTree(body);
        } catch (IOException e) {
            return invalid("body", "not valid JSON");
        }
        JsonNode messages = document.path("messages");
        if (!document.path("model").isTextual()) {
            return invalid("model", "must be the name of a model");
        }
        if (!messages.isArray() || messages.isEmpty()) {
            return invalid("messages", "must be a list of at least one message");
        }
        if (document.has("stream") && !document.path("stream").isBoolean()) {
            return invalid("stream", "must be true or false");
        }
        Target target = new Target.Model(document.path("model").asText());
        boolean streamed = document.path("stream").asBoolean(false);
        return read(requestId, httpRequest, body, target, "/v1/chat/completions", streamed, prefixHash(messages));
    }

    Result readServiceRequest(String requestId, HttpRequest httpRequest, byte[] body, String service, String path) {
        return read(requestId, httpRequest, body, new Target.Service(service), path, false, 0);
    }

    /** Returns the request id that the caller sent, or a random one if it sent none or an invalid one. */
    static String requestId(HttpRequest httpRequest) {
        return header(httpRequest, HttpResponses.REQUEST_ID)
                .filter(id -> IDENTIFIER.matcher(id).matches())
                .orElseGet(() -> UUID.randomUUID().toString());
    }

    private Result read(
            String requestId,
            HttpRequest httpRequest,
            byte[] body,
            Target target,
            String path,
            boolean streamed,
            long prefixHash) {
        Optional<String> key = header(httpRequest, "Idempotency-Key");
        Optional<Permit> permit = key.flatMap(Permit::parse);
        if (key.isPresent() && permit.isEmpty() && target instanceof Target.Service) {
            return new Result.Invalid(Verdict.notRun(
                    Reason.KEY_INVALID, "Idempotency-Key: not a key that this system issued", Duration.ZERO));
        }
        String organisation = header(httpRequest, "Galenahinge-Organisation")
                .or(() -> header(httpRequest, "OpenAI-Organization"))
                .orElse("unnamed");
        if (!IDENTIFIER.matcher(organisation).matches()) {
            return invalid("Galenahinge-Organisation", "must be 1 to 100 letters, digits, '.', '_' or '-'");
        }
        Optional<Duration> timeout = timeout(httpRequest);
        if (timeout.isEmpty()) {
            return invalid(
                    "Galenahinge-Timeout-Ms", "must be from 1 to " + maximumTimeout.toMillis() + " milliseconds");
        }
        boolean batch = header(httpRequest, "Galenahinge-Priority")
                .filter("batch"::equals)
                .isPresent();
        return new Result.Valid(new Request(
                requestId,
                organisation,
                batch ? Priority.BATCH : Priority.INTERACTIVE,
                target,
                path,
                UnsafeByteOperations.unsafeWrap(body),
                streamed,
                prefixHash,
                target instanceof Target.Service ? permit : Optional.empty(),
                header(httpRequest, "Galenahinge-Attempt").filter("1"::equals).isPresent(),
                System.nanoTime() + timeout.get().toNanos()));
    }

    /** Returns the timeout that the caller asked for, the maximum if it sent none, or empty if the value is invalid. */
    private Optional<Duration> timeout(HttpRequest httpRequest) {
        Optional<String> value = header(httpRequest, "Galenahinge-Timeout-Ms");
        if (value.isEmpty()) {
            return Optional.of(maximumTimeout);
        }
        try {
            long millis = Long.parseLong(value.get());
            boolean allowed = millis >= 1 && millis <= maximumTimeout.toMillis();
            return allowed ? Optional.of(Duration.ofMillis(millis)) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Hashes the beginning of the messages: requests with the same prefix can share a part of an engine's cache. */
    private static long prefixHash(JsonNode messages) {
        StringBuilder prefix = new StringBuilder();
        for (JsonNode message : messages) {
            prefix.append(message.path("role").asText())
                    .append(':')
                    .append(message.path("content").asText());
            if (prefix.length() >= MAXIMUM_PREFIX_CHARACTERS) {
                break;
            }
        }
        return Rendezvous.key(prefix.substring(0, Math.min(MAXIMUM_PREFIX_CHARACTERS, prefix.length())));
    }

    private static Result invalid(String field, String message) {
        return new Result.Invalid(Verdict.notRun(Reason.INVALID_REQUEST, field + ": " + message, Duration.ZERO));
    }

    private static Optional<String> header(HttpRequest httpRequest, String name) {
        return httpRequest.getHeader(name).map(HttpHeader::value);
    }
}
