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
 * Stands in for the configuration service: stores values with revisions, which clients read and watch by key prefix.
 *
 * <p>{@code PUT /v1/values/KEY} publishes a value. Each read counts against the read rate, and each waiting watch
 * counts once a second; reads above the rate get status 429. {@code POST /control/down} makes all reads fail with
 * status 503, and {@code /control/up} ends this. {@code /control/stale?revision=N} hides all revisions after N, and
 * {@code /control/fresh} shows them again. {@code /control/restore?revision=N} loses all values after N, as if the service
 * had been restored from a backup: it gives out their revisions again, and its epoch rises.
 */
public final class ConfigurationStandIn implements HttpStandIn.Handler {
    private static final String VALUES = "/v1/values/";

    private final ActorSystem<?> system;
    private final int readsPerSecond;
    private final TreeMap<Long, Value> byRevision = new TreeMap<>();
    private long revision;
    private long epoch = 1;
    private long lastVisibleRevision = Long.MAX_VALUE;
    private boolean down;
    private long currentSecond;
    private int readsThisSecond;
    private long reads;
    private long rejectedReads;
    private int waitingWatches;
    private CompletableFuture<Void> nextChange = new CompletableFuture<>();

    /**
     * Creates a service without values.
     *
     * @param system the actor system that runs its streams
     * @param readsPerSecond the maximum number of reads served in a second
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
            return HttpStandIn.completed(control(path.substring("/control/".length()), request));
        }
        if (path.equals("/statistics")) {
            return HttpStandIn.completed(HttpStandIn.json(200, statistics()));
        }
        if (request.method().equals(HttpMethods.PUT) && path.startsWith(VALUES)) {
            return HttpStandIn.readBody(system, request)
                    .thenApply(body -> publish(path.substring(VALUES.length()), body));
        }
        return read(request);
    }

    private synchronized HttpResponse control(String action, HttpRequest request) {
        switch (action) {
            case "down" -> down = true;
            case "up" -> down = false;
            case "stale" -> lastVisibleRevision = HttpStandIn.parameter(request, "revision", 0);
            case "restore" -> restore(HttpStandIn.parameter(request, "revision", 0));
            case "fresh" -> lastVisibleRevision = Long.MAX_VALUE;
            default -> {
                return HttpStandIn.status(404);
            }
        }
        return HttpStandIn.status(200);
    }

    private void restore(long backupRevision) {
        byRevision.tailMap(backupRevision, false).clear();
        revision = Math.min(revision, backupRevision);
        epoch++;
    }

    private synchronized Statistics statistics() {
        return new Statistics(revision, reads, rejectedReads, waitingWatches);
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
        long waitSeconds = HttpStandIn.parameter(request, "wait", 0);
        int limit = (int) HttpStandIn.parameter(request, "limit", 256);
        CompletableFuture<Void> change;
        synchronized (this) {
            if (down || !tryCountRead()) {
                return HttpStandIn.completed(HttpStandIn.status(down ? 503 : 429));
            }
            Page page = page(prefix, after, limit);
            if (!page.values().isEmpty() || waitSeconds == 0 || page.revision() < after) {
                return HttpStandIn.completed(HttpStandIn.json(200, page));
            }
            waitingWatches++;
            change = nextChange;
        }
        return change.orTimeout(waitSeconds, TimeUnit.SECONDS).handle((changed, error) -> {
            synchronized (this) {
                waitingWatches--;
                return down ? HttpStandIn.status(503) : HttpStandIn.json(200, page(prefix, after, limit));
            }
        });
    }

    /** Counts a read; returns whether it is within the rate of this second. */
    private boolean tryCountRead() {
        long now = System.currentTimeMillis() / 1_000;
        if (now != currentSecond) {
            currentSecond = now;
            readsThisSecond = waitingWatches;
        }
        reads++;
        readsThisSecond++;
        if (readsThisSecond > readsPerSecond) {
            rejectedReads++;
            return false;
        }
        return true;
    }

    private Page page(String prefix, long after, int limit) {
        long visibleRevision = Math.min(revision, lastVisibleRevision);
        List<Value> values = new ArrayList<>();
        for (Value value : byRevision.tailMap(after, false).values()) {
            if (value.revision() > visibleRevision || !value.key().startsWith(prefix)) {
                continue;
            }
            if (values.size() == limit) {
                return new Page(epoch, values.get(limit - 1).revision(), values, true);
            }
            values.add(value);
        }
        return new Page(epoch, visibleRevision, values, false);
    }

    private record Value(String key, long revision, String value) {}

    private record Page(long epoch, long revision, List<Value> values, boolean more) {}

    private record Published(long revision) {}

    private record Statistics(long revision, long reads, long refused, int watching) {}
}
