package org.galenahinge.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import org.galenahinge.standins.DraftText;

/**
 * Sends one streamed draft request as a caller does: retries at other entries until one accepts it, and checks the
 * response to the last token.
 */
final class DraftRequest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final String DATA_PREFIX = "data: ";
    private static final String CONTENT_FIELD = "\"content\":\"";
    private static final String FINGERPRINT_FIELD = "\"system_fingerprint\":\"";

    private final HttpClient client;
    private final EntryPicker entries;
    private final OutcomeRecorder recorder;
    private final Parameters parameters;
    private final long dueNanos;
    private final Set<String> failedEntries = new HashSet<>();
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private int attempts;

    /**
     * The content of the request.
     *
     * @param model the name of the model
     * @param prompt the prompt
     * @param tokens the number of tokens requested
     * @param organisation the organisation that the request is counted for
     */
    record Parameters(String model, String prompt, int tokens, String organisation) {}

    private DraftRequest(
            HttpClient client, EntryPicker entries, OutcomeRecorder recorder, Parameters parameters, long dueNanos) {
        this.client = client;
        this.entries = entries;
        this.recorder = recorder;
        this.parameters = parameters;
        this.dueNanos = dueNanos;
    }

    /** Sends the request; the time to the first token counts from {@code dueNanos}. The outcome is recorded. */
    static CompletableFuture<Outcome> send(
            HttpClient client, EntryPicker entries, OutcomeRecorder recorder, Parameters parameters, long dueNanos) {
        DraftRequest request = new DraftRequest(client, entries, recorder, parameters, dueNanos);
        request.attempt();
        return request.outcome.whenComplete((value, error) ->
                recorder.recordDraft(parameters.organisation(), dueNanos, error == null ? value : Outcome.NO_VERDICT));
    }

    private void attempt() {
        Optional<String> entry = ++attempts > MAXIMUM_ATTEMPTS ? Optional.empty() : entries.pick(failedEntries);
        if (entry.isEmpty()) {
            outcome.complete(Outcome.NO_VERDICT);
            return;
        }
        ResponseReader reader = new ResponseReader();
        client.sendAsync(httpRequest(entry.get()), info -> {
                    reader.status = info.statusCode();
                    return HttpResponse.BodySubscribers.fromLineSubscriber(reader);
                })
                .whenComplete((response, error) -> handleEnd(entry.get(), reader, response, error));
    }

    private HttpRequest httpRequest(String entry) {
        ObjectNode body = HttpTool.JSON.createObjectNode();
        body.put("model", parameters.model()).put("stream", true).put("max_tokens", parameters.tokens());
        body.putArray("messages").addObject().put("role", "user").put("content", parameters.prompt());
        return HttpRequest.newBuilder(URI.create(entry + "/v1/chat/completions"))
                .timeout(REQUEST_TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Galenahinge-Organisation", parameters.organisation())
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
    }

    private void handleEnd(String entry, ResponseReader reader, HttpResponse<?> response, Throwable error) {
        if (error != null) {
            entries.recordFailure(entry);
            failedEntries.add(entry);
            if (reader.tokens > 0) {
                outcome.complete(Outcome.INTERRUPTED);
            } else {
                recorder.countCallerRetry();
                attempt();
            }
            return;
        }
        if (reader.status == 200) {
            outcome.complete(outcomeOf(reader));
            return;
        }
        String verdict = response.headers().firstValue("Galenahinge-Verdict").orElse("");
        String reason = response.headers().firstValue("Galenahinge-Reason").orElse("");
        if (reason.equals("draining") || reason.equals("not-ready")) {
            entries.recordFailure(entry);
            failedEntries.add(entry);
            recorder.countCallerRetry();
            attempt();
            return;
        }
        outcome.complete(verdict.equals("not-run") ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN);
    }

    private Outcome outcomeOf(ResponseReader reader) {
        String expected = DraftText.completeText(parameters.prompt(), parameters.tokens());
        if (reader.endMark && reader.text.toString().equals(expected) && reader.fingerprints.size() == 1) {
            return Outcome.ANSWERED;
        }
        recorder.recordWrongResponse("draft: " + reader.tokens + " of " + parameters.tokens() + " tokens, end mark "
                + reader.endMark + ", fingerprints " + reader.fingerprints);
        return Outcome.WRONG;
    }

    private final class ResponseReader implements Flow.Subscriber<String> {
        private final StringBuilder text = new StringBuilder();
        private final Set<String> fingerprints = new HashSet<>();
        private volatile int status;
        private int tokens;
        private boolean endMark;
        private long lastTokenNanos;

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(String line) {
            if (status != 200 || !line.startsWith(DATA_PREFIX)) {
                return;
            }
            if (line.equals(DATA_PREFIX + "[DONE]")) {
                endMark = true;
                return;
            }
            readToken(line.substring(DATA_PREFIX.length()));
        }

        private void readToken(String event) {
            long now = System.nanoTime();
            if (tokens == 0) {
                recorder.recordFirstToken(now - dueNanos);
            } else {
                recorder.recordBetweenTokens(now - lastTokenNanos);
            }
            lastTokenNanos = now;
            tokens++;
            text.append(fieldOf(event, CONTENT_FIELD));
            fingerprints.add(fieldOf(event, FINGERPRINT_FIELD));
        }

        /**
         * Returns a string field of an event. Searching for the field costs a small part of what parsing the document
         * does, and there are thousands of events a second.
         */
        private static String fieldOf(String event, String field) {
            int begin = event.indexOf(field);
            if (begin < 0) {
                return "";
            }
            int from = begin + field.length();
            return event.substring(from, event.indexOf('"', from));
        }

        @Override
        public void onError(Throwable error) {
            // The client reports it with the response.
        }

        @Override
        public void onComplete() {
            // The client reports it with the response.
        }
    }
}
