package org.galenahinge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stands in for the platform's VM list. {@code PUT /v1/vms} replaces the list; readers see the change after a fixed
 * lag. {@code /control/down} makes reads fail with status 503, and {@code /control/up} ends this.
 */
public final class VmListStandIn implements HttpStandIn.Handler {
    private final ActorSystem<?> system;
    private final long lagMillis;
    private long revision;
    private volatile JsonNode visibleVms = HttpStandIn.JSON.createArrayNode();
    private volatile long visibleRevision;
    private volatile boolean down;

    /**
     * Creates an empty list.
     *
     * @param system the actor system that runs its streams
     * @param lagMillis the time until readers see a change, in milliseconds
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
            return HttpStandIn.completed(HttpStandIn.status(200));
        }
        if (request.method().equals(HttpMethods.PUT)) {
            return HttpStandIn.readBody(system, request).thenApply(this::replace);
        }
        return HttpStandIn.completed(
                down ? HttpStandIn.status(503) : HttpStandIn.json(200, new VmList(visibleRevision, visibleVms)));
    }

    private synchronized HttpResponse replace(byte[] body) {
        JsonNode vms = HttpStandIn.parseJson(body).path("vms");
        long newRevision = ++revision;
        HttpStandIn.afterDelay(lagMillis, () -> {
            publish(newRevision, vms);
            return HttpStandIn.status(200);
        });
        return HttpStandIn.json(200, new Accepted(newRevision, TimeUnit.MILLISECONDS.toSeconds(lagMillis)));
    }

    private synchronized void publish(long newRevision, JsonNode vms) {
        if (newRevision > visibleRevision) {
            visibleVms = vms;
            visibleRevision = newRevision;
        }
    }

    private record VmList(long revision, JsonNode vms) {}

    private record Accepted(long revision, long lagSeconds) {}
}
