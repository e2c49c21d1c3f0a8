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

/** One streamed draft as a caller sees it: tries entries until one answers, and checks the answer to the last token. */
final class DraftCall {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final String DATA = "data: ";
    private static final String CONTENT = "\"content\":\"";
    private static final String FINGERPRINT = "\"system_fingerprint\":\"";

    private final HttpClient client;
    private final EntryPicker entries;
    private final Ledger ledger;
    private final Request request;
    private final long dueNanos;
    private final Set<String> failed = new HashSet<>();
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private int attempts;

    /**
     * What is asked.
     *
     * @param model the model
     * @param prompt the prompt
     * @param tokens the tokens wanted
     * @param organisation who pays
     */
    record Request(String model, String prompt, int tokens, String organisation) {}

    private DraftCall(HttpClient client, EntryPicker entries, Ledger ledger, Request request, long dueNanos) {
        this.client = client;
        this.entries = entries;
        this.ledger = ledger;
        this.request = request;
        this.dueNanos = dueNanos;
    }

    /** Makes the call; the time to the first token counts from {@code dueNanos}. */
    static CompletableFuture<Outcome> make(
            HttpClient client, EntryPicker entries, Ledger ledger, Request request, long dueNanos) {
        DraftCall call = new DraftCall(client, entries, ledger, request, dueNanos);
        call.attempt();
        return call.outcome.whenComplete((value, error) ->
                ledger.draft(request.organisation(), dueNanos, error == null ? value : Outcome.NO_VERDICT));
    }

    private void attempt() {
        Optional<String> entry = ++attempts > MAXIMUM_ATTEMPTS ? Optional.empty() : entries.pick(failed);
        if (entry.isEmpty()) {
            outcome.complete(Outcome.NO_VERDICT);
            return;
        }
        Reader reader = new Reader();
        client.sendAsync(httpRequest(entry.get()), info -> {
                    reader.status = info.statusCode();
                    return HttpResponse.BodySubscribers.fromLineSubscriber(reader);
                })
                .whenComplete((response, error) -> ended(entry.get(), reader, response, error));
    }

    private HttpRequest httpRequest(String entry) {
        ObjectNode body = HttpTool.JSON.createObjectNode();
        body.put("model", request.model()).put("stream", true).put("max_tokens", request.tokens());
        body.putArray("messages").addObject().put("role", "user").put("content", request.prompt());
        return HttpRequest.newBuilder(URI.create(entry + "/v1/chat/completions"))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Galenahinge-Organisation", request.organisation())
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
    }

    private void ended(String entry, Reader reader, HttpResponse<?> response, Throwable error) {
        if (error != null) {
            entries.failed(entry);
            failed.add(entry);
            if (reader.tokens > 0) {
                outcome.complete(Outcome.INTERRUPTED);
            } else {
                ledger.callerRetried();
                attempt();
            }
            return;
        }
        if (reader.status == 200) {
            outcome.complete(judge(reader));
            return;
        }
        String verdict = response.headers().firstValue("Galenahinge-Verdict").orElse("");
        String reason = response.headers().firstValue("Galenahinge-Reason").orElse("");
        if (reason.equals("draining") || reason.equals("not-ready")) {
            entries.failed(entry);
            failed.add(entry);
            ledger.callerRetried();
            attempt();
            return;
        }
        outcome.complete(verdict.equals("not-run") ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN);
    }

    private Outcome judge(Reader reader) {
        String expected = DraftText.completeText(request.prompt(), request.tokens());
        if (reader.endMark && reader.text.toString().equals(expected) && reader.fingerprints.size() == 1) {
            return Outcome.ANSWERED;
        }
        ledger.complain("draft: " + reader.tokens + " of " + request.tokens() + " tokens, end mark " + reader.endMark
                + ", fingerprints " + reader.fingerprints);
        return Outcome.WRONG;
    }

    private final class Reader implements Flow.Subscriber<String> {
        private final StringBuilder text = new StringBuilder();
        private final Set<String> fingerprints = new HashSet<>();
        private volatile int status;
        private int tokens;
        private boolean endMark;
        private long lastNanos;

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(String line) {
            if (status != 200 || !line.startsWith(DATA)) {
                return;
            }
            if (line.equals(DATA + "[DONE]")) {
                endMark = true;
                return;
            }
            token(line.substring(DATA.length()));
        }

        private void token(String event) {
            long now = System.nanoTime();
            if (tokens == 0) {
                ledger.firstToken(now - dueNanos);
            } else {
                ledger.betweenTokens(now - lastNanos);
            }
            lastNanos = now;
            tokens++;
            text.append(fieldOf(event, CONTENT));
            fingerprints.add(fieldOf(event, FINGERPRINT));
        }

        /** Reading the field by its place costs a small part of parsing the document, thousands of times a second. */
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
