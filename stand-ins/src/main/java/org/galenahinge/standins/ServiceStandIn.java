package org.galenahinge.standins;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Stands in for a plain service with non-idempotent requests. It counts the executions of each order, and prints a line
 * with VIOLATION when an order is executed again. {@code /executions} returns the counts.
 */
public final class ServiceStandIn implements HttpStandIn.Handler {
    private final ActorSystem<?> system;
    private final long workMillis;
    private final Map<String, AtomicLong> executions = new ConcurrentHashMap<>();

    /**
     * Creates a service.
     *
     * @param system the actor system that runs its streams
     * @param workMillis how long an execution takes, in milliseconds
     */
    public ServiceStandIn(ActorSystem<?> system, long workMillis) {
        this.system = system;
        this.workMillis = workMillis;
    }

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        if (path.equals("/executions")) {
            return HttpStandIn.completed(HttpStandIn.json(200, executions));
        }
        String requestId = HttpStandIn.header(request, "x-request-id").orElse("");
        return HttpStandIn.readBody(system, request).thenCompose(body -> execute(path, requestId, body));
    }

    private CompletionStage<HttpResponse> execute(String path, String requestId, byte[] body) {
        String order = HttpStandIn.parseJson(body).path("order").asText(requestId);
        long count = executions.computeIfAbsent(order, key -> new AtomicLong()).incrementAndGet();
        System.out.println("EXECUTED " + order);
        if (count > 1) {
            System.err.println("VIOLATION: order " + order + " was executed " + count + " times");
        }
        Confirmation confirmation = new Confirmation(order, path, count);
        return HttpStandIn.afterDelay(
                workMillis,
                () -> HttpStandIn.json(200, confirmation).addHeader(RawHeader.create("x-request-id", requestId)));
    }

    private record Confirmation(String order, String path, long execution) {}
}
