package org.galenahinge.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Places one order as a careful caller does: gets an idempotency key, sends the order with it, retries with the same
 * key until there is a verdict, and gets a new key only after a definite "not run".
 */
final class OrderRequest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);
    private static final int MAXIMUM_KEY_REQUESTS = 6;
    private static final int MAXIMUM_ATTEMPTS_PER_KEY = 6;
    private static final long RETRY_DELAY_MILLIS = 150;

    private final HttpClient client;
    private final EntryPicker entries;
    private final OutcomeRecorder recorder;
    private final String order;
    private final String organisation;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private final Set<String> failedEntries = new HashSet<>();
    private volatile String keyOwner = "";
    private int keyRequests;
    private int attempts;

    private OrderRequest(
            HttpClient client, EntryPicker entries, OutcomeRecorder recorder, String order, String organisation) {
        this.client = client;
        this.entries = entries;
        this.recorder = recorder;
        this.order = order;
        this.organisation = organisation;
    }

    /** Places the order; its time counts from {@code dueNanos}. The outcome is recorded. */
    static CompletableFuture<Outcome> send(
            HttpClient client,
            EntryPicker entries,
            OutcomeRecorder recorder,
            String order,
            String organisation,
            long dueNanos) {
        OrderRequest request = new OrderRequest(client, entries, recorder, order, organisation);
        request.requestKey();
        return request.outcome.whenComplete((value, error) -> {
            Outcome result = error == null ? value : Outcome.NO_VERDICT;
            recorder.recordOrder(order, request.keyOwner, dueNanos, result);
            if (result == Outcome.ANSWERED) {
                recorder.recordOrderTime(System.nanoTime() - dueNanos);
            }
        });
    }

    private void requestKey() {
        if (++keyRequests > MAXIMUM_KEY_REQUESTS) {
            outcome.complete(Outcome.NOT_RUN);
            return;
        }
        attempts = 0;
        Optional<String> entry = pickEntry();
        if (entry.isEmpty()) {
            runLater(this::requestKey);
            return;
        }
        post(entry.get(), "/v1/services/orders/keys", "{}", Optional.empty(), 1).whenComplete((response, error) -> {
            if (error != null) {
                avoidEntry(entry.get());
                runLater(this::requestKey);
            } else if (response.statusCode() == 200) {
                sendOrder(readKey(response.body()), entry.get());
            } else {
                avoidIfNotServing(entry.get(), response);
                runLater(this::requestKey);
            }
        });
    }

    private void sendOrder(String key, String entry) {
        keyOwner = key.substring(0, Math.max(0, key.indexOf('~')));
        ObjectNode body = HttpTool.JSON.createObjectNode().put("order", order);
        int attempt = ++attempts;
        post(entry, "/v1/services/orders/confirm", body.toString(), Optional.of(key), attempt)
                .whenComplete((response, error) -> {
                    if (error != null) {
                        avoidEntry(entry);
                        retry(key);
                        return;
                    }
                    handleResponse(key, entry, response);
                });
    }

    private void handleResponse(String key, String entry, HttpResponse<String> response) {
        String verdict = response.headers().firstValue("Galenahinge-Verdict").orElse("");
        String reason = response.headers().firstValue("Galenahinge-Reason").orElse("");
        if (verdict.equals("answered")) {
            outcome.complete(isForThisOrder(response.body()) ? Outcome.ANSWERED : Outcome.WRONG);
        } else if (verdict.equals("not-run")) {
            avoidIfNotServing(entry, response);
            runLater(this::requestKey);
        } else if (reason.equals("owner-gone")) {
            outcome.complete(Outcome.MAY_HAVE_RUN);
        } else {
            retry(key);
        }
    }

    private void retry(String key) {
        if (attempts >= MAXIMUM_ATTEMPTS_PER_KEY) {
            outcome.complete(Outcome.MAY_HAVE_RUN);
            return;
        }
        recorder.countCallerRetry();
        runLater(() -> pickEntry()
                .ifPresentOrElse(entry -> sendOrder(key, entry), () -> outcome.complete(Outcome.MAY_HAVE_RUN)));
    }

    private Optional<String> pickEntry() {
        Optional<String> entry = entries.pick(failedEntries);
        if (entry.isEmpty()) {
            failedEntries.clear();
            return entries.pick(failedEntries);
        }
        return entry;
    }

    private void avoidEntry(String entry) {
        entries.recordFailure(entry);
        failedEntries.add(entry);
    }

    private void avoidIfNotServing(String entry, HttpResponse<String> response) {
        String reason = response.headers().firstValue("Galenahinge-Reason").orElse("");
        if (reason.equals("draining") || reason.equals("not-ready")) {
            avoidEntry(entry);
        }
    }

    private boolean isForThisOrder(String body) {
        try {
            return HttpTool.JSON.readTree(body).path("order").asText().equals(order);
        } catch (IOException e) {
            return false;
        }
    }

    private static String readKey(String body) {
        try {
            return HttpTool.JSON.readTree(body).path("key").asText();
        } catch (IOException e) {
            return "";
        }
    }

    private CompletableFuture<HttpResponse<String>> post(
            String entry, String path, String body, Optional<String> key, int attempt) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(entry + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Galenahinge-Organisation", organisation)
                .header("Galenahinge-Attempt", Integer.toString(attempt))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        key.ifPresent(value -> request.header("Idempotency-Key", value));
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static void runLater(Runnable action) {
        CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                .execute(action);
    }
}
