package org.galenahinge.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stands in for the configuration service: values with revisions, read and watched by prefix.
 *
 * <p>Operators publish with {@code PUT /v1/values/KEY}. Each call counts, and each waiting watch counts once a second,
 * against the rate. {@code POST /control/down}, {@code /control/up}, {@code /control/stale?revision=N} and
 * {@code /control/fresh} make it bad and good again.
 */
public final class ConfigurationStandIn implements HttpStandIn.Handler {
    private static final String VALUES = "/v1/values/";

    private final ActorSystem<?> system;
    private final int readsPerSecond;
    private final TreeMap<Long, Value> byRevision = new TreeMap<>();
    private long revision;
    private long staleAt = Long.MAX_VALUE;
    private boolean down;
    private long second;
    private int readsThisSecond;
    private long reads;
    private long refused;
    private int watching;
    private CompletableFuture<Void> nextChange = new CompletableFuture<>();

    /**
     * Creates an empty service.
     *
     * @param system runs its streams
     * @param readsPerSecond the most reads answered in a second
     */
    public ConfigurationStandIn(ActorSystem<?> system, int readsPerSecond) {
        this.system = system;
        this.readsPerSecond = readsPerSecond;
    }

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        if (path.startsWith("/control/")) {
            request.discardEntityBytes(system);
            return HttpStandIn.now(control(path.substring("/control/".length()), request));
        }
        if (path.equals("/statistics")) {
            return HttpStandIn.now(HttpStandIn.json(200, statistics()));
        }
        if (request.method().equals(HttpMethods.PUT) && path.startsWith(VALUES)) {
            return HttpStandIn.body(system, request).thenApply(body -> publish(path.substring(VALUES.length()), body));
        }
        return read(request);
    }

    private synchronized HttpResponse control(String action, HttpRequest request) {
        switch (action) {
            case "down" -> down = true;
            case "up" -> down = false;
            case "stale" -> staleAt = HttpStandIn.parameter(request, "revision", 0);
            case "fresh" -> staleAt = Long.MAX_VALUE;
            default -> {
                return HttpStandIn.status(404);
            }
        }
        return HttpStandIn.status(200);
    }

    private synchronized Statistics statistics() {
        return new Statistics(revision, reads, refused, watching);
    }

    private synchronized HttpResponse publish(String key, byte[] body) {
        revision++;
        byRevision.values().removeIf(value -> value.key().equals(key));
        byRevision.put(revision, new Value(key, revision, new String(body, StandardCharsets.UTF_8)));
        CompletableFuture<Void> changed = nextChange;
        nextChange = new CompletableFuture<>();
        changed.completeAsync(() -> null);
        return HttpStandIn.json(200, new Published(revision));
    }

    private CompletionStage<HttpResponse> read(HttpRequest request) {
        String prefix = request.getUri().query().get("prefix").orElse("");
        long after = HttpStandIn.parameter(request, "after", 0);
        long wait = HttpStandIn.parameter(request, "wait", 0);
        int limit = (int) HttpStandIn.parameter(request, "limit", 256);
        CompletableFuture<Void> change;
        synchronized (this) {
            if (down || !countRead()) {
                return HttpStandIn.now(HttpStandIn.status(down ? 503 : 429));
            }
            Page page = page(prefix, after, limit);
            if (!page.values().isEmpty() || wait == 0 || page.revision() < after) {
                return HttpStandIn.now(HttpStandIn.json(200, page));
            }
            watching++;
            change = nextChange;
        }
        return change.orTimeout(wait, TimeUnit.SECONDS).handle((changed, error) -> {
            synchronized (this) {
                watching--;
                return down ? HttpStandIn.status(503) : HttpStandIn.json(200, page(prefix, after, limit));
            }
        });
    }

    private boolean countRead() {
        long now = System.currentTimeMillis() / 1_000;
        if (now != second) {
            second = now;
            readsThisSecond = watching;
        }
        reads++;
        readsThisSecond++;
        if (readsThisSecond > readsPerSecond) {
            refused++;
            return false;
        }
        return true;
    }

    private Page page(String prefix, long after, int limit) {
        long visible = Math.min(revision, staleAt);
        List<Value> values = new ArrayList<>();
        for (Value value : byRevision.tailMap(after, false).values()) {
            if (value.revision() > visible || !value.key().startsWith(prefix)) {
                continue;
            }
            if (values.size() == limit) {
                return new Page(values.get(limit - 1).revision(), values, true);
            }
            values.add(value);
        }
        return new Page(visible, values, false);
    }

    private record Value(String key, long revision, String value) {}

    private record Page(long revision, List<Value> values, boolean more) {}

    private record Published(long revision) {}

    private record Statistics(long revision, long reads, long refused, int watching) {}
}
