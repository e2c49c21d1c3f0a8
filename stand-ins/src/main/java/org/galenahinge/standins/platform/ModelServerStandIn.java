package org.galenahinge.standins.platform;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a server of the platform: answers requests, streams events where the path says so, takes staged chunks
 * and orders, and remembers what it ran.
 */
public final class ModelServerStandIn implements AutoCloseable {
    private static final int EVENTS = 6;

    private final String id;
    private final StandInServer server;
    private final List<String> ran = new CopyOnWriteArrayList<>();
    private final List<Map<String, String>> heads = new CopyOnWriteArrayList<>();
    private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();
    private final AtomicInteger orders = new AtomicInteger();
    private final long bornMillis = System.currentTimeMillis();
    private volatile long version;
    private volatile Fault fault = Fault.NONE;

    /** What it does wrong. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** It refuses without running. */
        SHED,
        /** It runs, and closes the connection without an answer. */
        LOSE_ANSWER,
        /** It answers with another request's id. */
        CROSS_ANSWER,
        /** It stops a stream within an event. */
        CUT_STREAM,
        /** It answers 503 without saying that it did not run. */
        FALSE_REFUSAL,
        /** It answers 500. */
        FAIL
    }

    /**
     * Starts a server.
     *
     * @param id its id
     * @param version the version of the weights that it holds, 0 for none
     * @throws IOException when no port is free
     */
    public ModelServerStandIn(String id, long version) throws IOException {
        this.id = id;
        this.version = version;
        this.server = StandInServer.start(this::answer);
    }

    /**
     * Returns its entry in the store.
     *
     * @param service its service
     * @param zone its zone
     * @param state {@code ready} or {@code draining}
     * @return the entry's text
     */
    public String entry(String service, String zone, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"" + state + "\",\"cold_remaining_ms\":0," + held()
                + ",\"seq\":" + orders + ",\"born\":" + bornMillis + "}";
    }

    /**
     * Returns where it listens.
     *
     * @return host and port
     */
    public String address() {
        return server.address();
    }

    /**
     * Sets what it does wrong.
     *
     * @param newFault the fault
     */
    public void setFault(Fault newFault) {
        fault = newFault;
    }

    /**
     * Returns the ids of the requests that it ran, in order.
     *
     * @return a copy
     */
    public List<String> ran() {
        return List.copyOf(ran);
    }

    /**
     * Returns the heads of the requests that reached it, with names in lower case.
     *
     * @return a copy
     */
    public List<Map<String, String>> heads() {
        return List.copyOf(heads);
    }

    /**
     * Returns the version of the weights that it works with.
     *
     * @return the version, 0 for none
     */
    public long version() {
        return version;
    }

    @Override
    public void close() {
        server.close();
    }

    private String held() {
        return version == 0
                ? "\"models\":[],\"layers\":null"
                : "\"models\":[{\"name\":\"m\",\"version\":" + version
                        + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":16,\"version\":" + version + "}";
    }

    private void answer(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/galenahinge/report")) {
            StandInServer.reply(exchange, 200, report());
        } else if (path.startsWith("/galenahinge/stage-put/")) {
            staged.put(number(exchange), exchange.getRequestBody().readAllBytes());
            StandInServer.reply(exchange, 200, new byte[0]);
        } else if (path.startsWith("/galenahinge/stage-get/")) {
            byte[] chunk = staged.get(number(exchange));
            StandInServer.reply(exchange, chunk == null ? 404 : 200, chunk == null ? new byte[0] : chunk);
        } else if (path.equals("/galenahinge/order")) {
            order(exchange);
        } else {
            serve(exchange);
        }
    }

    private byte[] report() {
        String text =
                "{\"stage\":\"both\"," + held() + ",\"busy\":false,\"seq\":" + orders + ",\"queued\":0,\"active\":0,"
                        + "\"kv_used\":0,\"kv_total\":5072000,\"handles\":0,\"pace\":1.0,\"born\":" + bornMillis + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void order(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        int at = text.indexOf("\"version\":") + "\"version\":".length();
        version = Long.parseLong(text.substring(at, text.indexOf(',', at)));
        orders.incrementAndGet();
        StandInServer.reply(exchange, 202, new byte[0]);
    }

    private static int number(HttpExchange exchange) {
        return Integer.parseInt(StandInServer.query(exchange).get("num"));
    }

    private void serve(HttpExchange exchange) throws IOException {
        remember(exchange);
        exchange.getRequestBody().readAllBytes();
        String requestId = exchange.getRequestHeaders().getFirst("Attempt-Id");
        if (fault == Fault.SHED) {
            exchange.getResponseHeaders().set("Not-Executed", "1");
            StandInServer.reply(exchange, 503, new byte[0]);
            return;
        }
        ran.add(requestId);
        if (fault == Fault.LOSE_ANSWER) {
            return;
        }
        exchange.getResponseHeaders().set("Attempt-Id", fault == Fault.CROSS_ANSWER ? "another" : requestId);
        exchange.getResponseHeaders().set("Server-Seal", "seal-" + id);
        if (fault == Fault.FALSE_REFUSAL || fault == Fault.FAIL) {
            StandInServer.reply(exchange, fault == Fault.FAIL ? 500 : 503, "failed".getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (exchange.getRequestURI().getPath().contains("/stream")) {
            stream(exchange);
            return;
        }
        StandInServer.reply(exchange, 200, ("answer of " + id).getBytes(StandardCharsets.UTF_8));
    }

    private void stream(HttpExchange exchange) throws IOException {
        String after = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int first = after == null ? 1 : Integer.parseInt(after) + 1;
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream body = exchange.getResponseBody();
        for (int event = first; event <= EVENTS; event++) {
            if (fault == Fault.CUT_STREAM && event == EVENTS / 2) {
                body.write(("id: " + event + "\ndata: ha").getBytes(StandardCharsets.UTF_8));
                body.flush();
                throw new IOException("cut off on purpose");
            }
            body.write(("id: " + event + "\ndata: token" + event + "\n\n").getBytes(StandardCharsets.UTF_8));
            body.flush();
        }
    }

    private void remember(HttpExchange exchange) {
        Map<String, String> head = new ConcurrentHashMap<>();
        exchange.getRequestHeaders()
                .forEach((name, values) -> head.put(name.toLowerCase(java.util.Locale.ROOT), values.get(0)));
        heads.add(head);
    }
}
