package org.galenahinge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Stands in for the platform's VM list. What is put with {@code PUT /v1/vms} shows after the lag. */
public final class VmListStandIn implements HttpStandIn.Handler {
    private final ActorSystem<?> system;
    private final long lagMillis;
    private long revision;
    private volatile JsonNode shown = HttpStandIn.JSON.createArrayNode();
    private volatile long shownRevision;
    private volatile boolean down;

    /**
     * Creates an empty list.
     *
     * @param system runs its streams
     * @param lagMillis how late a change shows, in milliseconds
     */
    public VmListStandIn(ActorSystem<?> system, long lagMillis) {
        this.system = system;
        this.lagMillis = lagMillis;
    }

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        if (path.equals("/control/down") || path.equals("/control/up")) {
            down = path.endsWith("down");
            return HttpStandIn.now(HttpStandIn.status(200));
        }
        if (request.method().equals(HttpMethods.PUT)) {
            return HttpStandIn.body(system, request).thenApply(this::put);
        }
        return HttpStandIn.now(down ? HttpStandIn.status(503) : HttpStandIn.json(200, new Shown(shownRevision, shown)));
    }

    private synchronized HttpResponse put(byte[] body) {
        JsonNode vms = HttpStandIn.read(body).path("vms");
        long next = ++revision;
        HttpStandIn.later(lagMillis, () -> {
            show(next, vms);
            return HttpStandIn.status(200);
        });
        return HttpStandIn.json(200, new Accepted(next, TimeUnit.MILLISECONDS.toSeconds(lagMillis)));
    }

    private synchronized void show(long next, JsonNode vms) {
        if (next > shownRevision) {
            shown = vms;
            shownRevision = next;
        }
    }

    private record Shown(long revision, JsonNode vms) {}

    private record Accepted(long revision, long lagSeconds) {}
}
