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
 * One order as a careful caller places it: gets a key, calls with it, repeats with the same key while it has no
 * verdict, and gets a new key only after a definite "not run".
 */
final class OrderCall {
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final int MAXIMUM_KEYS = 6;
    private static final int MAXIMUM_REPEATS = 6;
    private static final long PAUSE_MILLIS = 150;

    private final HttpClient client;
    private final EntryPicker entries;
    private final Ledger ledger;
    private final String order;
    private final String organisation;
    private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    private final Set<String> failed = new HashSet<>();
    private volatile String keyOwner = "";
    private int keys;
    private int repeats;

    private OrderCall(HttpClient client, EntryPicker entries, Ledger ledger, String order, String organisation) {
        this.client = client;
        this.entries = entries;
        this.ledger = ledger;
        this.order = order;
        this.organisation = organisation;
    }

    /** Places the order; its time counts from {@code dueNanos}. */
    static CompletableFuture<Outcome> place(
            HttpClient client, EntryPicker entries, Ledger ledger, String order, String organisation, long dueNanos) {
        OrderCall call = new OrderCall(client, entries, ledger, order, organisation);
        call.askKey();
        return call.outcome.whenComplete((value, error) -> {
            Outcome ended = error == null ? value : Outcome.NO_VERDICT;
            ledger.order(order, call.keyOwner, dueNanos, ended);
            if (ended == Outcome.ANSWERED) {
                ledger.orderTime(System.nanoTime() - dueNanos);
            }
        });
    }

    private void askKey() {
        if (++keys > MAXIMUM_KEYS) {
            outcome.complete(Outcome.NOT_RUN);
            return;
        }
        repeats = 0;
        Optional<String> entry = pick();
        if (entry.isEmpty()) {
            later(this::askKey);
            return;
        }
        send(entry.get(), "/v1/services/orders/keys", "{}", Optional.empty(), 1).whenComplete((response, error) -> {
            if (error != null) {
                dropEntry(entry.get());
                later(this::askKey);
            } else if (response.statusCode() == 200) {
                call(readKey(response.body()), entry.get());
            } else {
                dropIfClosing(entry.get(), response);
                later(this::askKey);
            }
        });
    }

    private void call(String key, String entry) {
        keyOwner = key.substring(0, Math.max(0, key.indexOf('~')));
        ObjectNode body = HttpTool.JSON.createObjectNode().put("order", order);
        int attempt = ++repeats;
        send(entry, "/v1/services/orders/confirm", body.toString(), Optional.of(key), attempt)
                .whenComplete((response, error) -> {
                    if (error != null) {
                        dropEntry(entry);
                        repeat(key);
                        return;
                    }
                    judge(key, entry, response);
                });
    }

    private void judge(String key, String entry, HttpResponse<String> response) {
        String verdict = response.headers().firstValue("Galenahinge-Verdict").orElse("");
        String reason = response.headers().firstValue("Galenahinge-Reason").orElse("");
        if (verdict.equals("answered")) {
            outcome.complete(isOwnAnswer(response.body()) ? Outcome.ANSWERED : Outcome.WRONG);
        } else if (verdict.equals("not-run")) {
            dropIfClosing(entry, response);
            later(this::askKey);
        } else if (reason.equals("owner-gone")) {
            outcome.complete(Outcome.MAY_HAVE_RUN);
        } else {
            repeat(key);
        }
    }

    private void repeat(String key) {
        if (repeats >= MAXIMUM_REPEATS) {
            outcome.complete(Outcome.MAY_HAVE_RUN);
            return;
        }
        ledger.callerRetried();
        later(() -> pick().ifPresentOrElse(entry -> call(key, entry), () -> outcome.complete(Outcome.MAY_HAVE_RUN)));
    }

    private Optional<String> pick() {
        Optional<String> entry = entries.pick(failed);
        if (entry.isEmpty()) {
            failed.clear();
            return entries.pick(failed);
        }
        return entry;
    }

    private void dropEntry(String entry) {
        entries.failed(entry);
        failed.add(entry);
    }

    private void dropIfClosing(String entry, HttpResponse<String> response) {
        String reason = response.headers().firstValue("Galenahinge-Reason").orElse("");
        if (reason.equals("draining") || reason.equals("not-ready")) {
            dropEntry(entry);
        }
    }

    private boolean isOwnAnswer(String body) {
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

    private CompletableFuture<HttpResponse<String>> send(
            String entry, String path, String body, Optional<String> key, int attempt) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(entry + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Galenahinge-Organisation", organisation)
                .header("Galenahinge-Attempt", Integer.toString(attempt))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        key.ifPresent(value -> request.header("Idempotency-Key", value));
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static void later(Runnable action) {
        CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS).execute(action);
    }
}
