package org.galenahinge.standins.platform;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntPredicate;
import java.util.stream.Stream;

/**
 * Stands in for an upstream of the platform, with or without an engine. It responds to requests, streams events if the
 * path contains {@code /stream}, stages chunks, executes load commands at once, and records the requests that it
 * received.
 */
public final class UpstreamStandIn implements AutoCloseable {
    private static final int STREAM_EVENTS = 6;
    private static final int EVENTS_BEFORE_CRASH = 2;
    private static final int STALLED_BYTES = 300;
    private static final Duration STALLED_BYTE_INTERVAL = Duration.ofMillis(100);
    private static final int ENDLESS_BODY_PART_BYTES = 16 << 10;

    /** Parts after which an endless body stops all the same, so that a test ends. */
    private static final int ENDLESS_BODY_PARTS = 4_096;

    private final String id;
    private final StandInServer server;
    private final List<String> executedRequestIds = new CopyOnWriteArrayList<>();
    private final List<Map<String, String>> requestHeaders = new CopyOnWriteArrayList<>();
    private final Map<Integer, byte[]> stagedChunks = new ConcurrentHashMap<>();
    private final AtomicInteger loadCommands = new AtomicInteger();
    private final AtomicLong incarnationMillis = new AtomicLong(System.currentTimeMillis());
    private volatile long weightsVersion;
    private volatile Fault fault = Fault.NONE;
    private volatile Optional<String> crashingPart = Optional.empty();
    private volatile Optional<String> crashingBody = Optional.empty();
    private volatile CrashPoint crashPoint = CrashPoint.BEFORE_RESPONSE;
    private final AtomicInteger crashingRequests = new AtomicInteger();
    private volatile boolean crashed;
    private volatile Optional<Double> requestLimit = Optional.empty();
    private volatile List<String> leavingValues = List.of();
    private final AtomicInteger leavingAnswers = new AtomicInteger();
    private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
    private volatile Optional<Rejections> rejections = Optional.empty();
    private final List<Long> rejectionNanos = new CopyOnWriteArrayList<>();

    /** Which requests it rejects with status 503, and what it says with it. */
    private record Rejections(
            IntPredicate rejected, boolean declaresNotRun, List<String> retryAfter, AtomicInteger requests) {
        boolean includesNext() {
            return rejected.test(requests.getAndIncrement());
        }
    }

    /** The faults that an upstream can simulate. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** It rejects the request with status 503 and declares that it did not run. */
        SHED,
        /** It runs the request, and closes the connection without a response. */
        LOSE_ANSWER,
        /** Its response carries the id of another request. */
        CROSS_ANSWER,
        /** It closes the connection of a stream in the middle of an event. */
        CUT_STREAM,
        /** It sends one byte of an event now and then, which never completes the event. */
        STALL_STREAM,
        /** It runs the request and responds with status 503, without declaring that it did not run. */
        FALSE_REFUSAL,
        /** It runs the request and responds with status 500. */
        FAIL,
        /** It runs the request and responds with status 500 and a body that ends only when the caller disconnects. */
        ENDLESS_FAILURE
    }

    /** When an upstream crashes on a request. */
    public enum CrashPoint {
        /** Before the first byte of the response. */
        BEFORE_RESPONSE,
        /** After the head of the response and, in a stream, some events. */
        WITHIN_RESPONSE
    }

    /**
     * Starts an upstream on a free loopback port.
     *
     * @param id the upstream's id, which its responses carry
     * @param version the version of the weights that it has loaded, 0 for none
     * @throws IOException if the server cannot bind a port
     */
    public UpstreamStandIn(String id, long version) throws IOException {
        this.id = id;
        this.weightsVersion = version;
        this.server = StandInServer.start(this::handle);
    }

    /**
     * Returns its record for the store.
     *
     * @param service the name of its service
     * @param zone the zone that it is in
     * @param state {@code ready} or {@code draining}
     * @return the record as JSON text
     */
    public String upstreamRecord(String service, String zone, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"" + state + "\",\"cold_remaining_ms\":0,"
                + weightsFields()
                + ",\"seq\":" + loadCommands + ",\"born\":" + incarnationMillis + "}";
    }

    /**
     * Returns the address on which it listens.
     *
     * @return host and port
     */
    public String address() {
        return server.address();
    }

    /**
     * Sets the fault that it simulates from the next request on.
     *
     * @param newFault the fault, {@link Fault#NONE} for none
     */
    public void setFault(Fault newFault) {
        fault = newFault;
    }

    /**
     * Makes it crash when it begins to respond to a request whose prompt contains a part: it closes its connections in
     * the middle of the first event, and accepts no others.
     *
     * @param part the id of the part
     */
    public void crashOn(String part) {
        crashOn(part, CrashPoint.BEFORE_RESPONSE);
    }

    /**
     * Makes it crash when it streams a response to a request whose prompt contains a part: it closes its connections in the
     * middle of an event, and accepts no others.
     *
     * @param part the id of the part
     * @param point when it crashes: in the middle of the first event, or after some events
     */
    public void crashOn(String part, CrashPoint point) {
        crashPoint = point;
        crashingPart = Optional.of(part);
    }

    /**
     * Makes it crash on each request with a body: it closes its connections and accepts no others.
     *
     * @param body the body, compared as a whole
     * @param point when it crashes
     */
    public void crashOnBody(String body, CrashPoint point) {
        crashPoint = point;
        crashingBody = Optional.of(body);
    }

    /**
     * Returns how many requests it received whose body makes it crash.
     *
     * @return the number of requests
     */
    public int crashingRequests() {
        return crashingRequests.get();
    }

    /**
     * Makes it name, in each response from now on, how many requests a second it accepts. It runs those above it all the
     * same.
     *
     * @param perSecond the limit in requests a second, empty to name none
     */
    public void nameLimit(Optional<Double> perSecond) {
        requestLimit = perSecond;
    }

    /**
     * Makes it say, in its responses from now on, that it leaves. It stays all the same.
     *
     * @param inTurn the values of the header in successive responses, in turn; an empty one leaves the header out
     */
    public void sayLeaving(String... inTurn) {
        leavingValues = List.of(inTurn);
    }

    /** Starts a new life at the same address, which has not said that it leaves. */
    public void beginNewLife() {
        sayLeaving();
        incarnationMillis.incrementAndGet();
    }

    /**
     * Makes it reject some requests with status 503 and {@code Retry-After}, whether or not it keeps to what it says.
     *
     * @param rejected which requests it rejects, by their number from 0 since this call; it runs the others
     * @param declaresNotRun whether it declares that these requests did not run
     * @param retryAfter the values of the header, one line each
     */
    public void rejectWithRetryAfter(IntPredicate rejected, boolean declaresNotRun, List<String> retryAfter) {
        rejections =
                Optional.of(new Rejections(rejected, declaresNotRun, List.copyOf(retryAfter), new AtomicInteger()));
    }

    /**
     * Returns when it rejected requests with {@code Retry-After}.
     *
     * @return the times, in nanoseconds of {@link System#nanoTime()}
     */
    public List<Long> rejectionNanos() {
        return List.copyOf(rejectionNanos);
    }

    /**
     * Returns when it received each request.
     *
     * @return the times, in nanoseconds of {@link System#nanoTime()}
     */
    public List<Long> arrivalNanos() {
        return List.copyOf(arrivalNanos);
    }

    /**
     * Returns whether it has crashed.
     *
     * @return whether it accepts no connections any more
     */
    public boolean hasCrashed() {
        return crashed;
    }

    /**
     * Returns how many requests with a part in their prompts it received.
     *
     * @param part the id of the part
     * @return the number of requests
     */
    public long requestsWithPart(String part) {
        return requestHeaders.stream()
                .filter(headers -> promptContains(headers.getOrDefault("prompt-prefix", ""), part))
                .count();
    }

    /**
     * Returns the ids of the requests that it ran, in the order in which they ran.
     *
     * @return a copy
     */
    public List<String> executedRequestIds() {
        return List.copyOf(executedRequestIds);
    }

    /**
     * Returns the headers of each request that it received, with names in lower case and the first value of each.
     *
     * @return a copy
     */
    public List<Map<String, String>> requestHeaders() {
        return List.copyOf(requestHeaders);
    }

    /**
     * Returns the version of the weights that it has loaded.
     *
     * @return the version, 0 for none
     */
    public long weightsVersion() {
        return weightsVersion;
    }

    @Override
    public void close() {
        server.close();
    }

    private String weightsFields() {
        return weightsVersion == 0
                ? "\"models\":[],\"layers\":null"
                : "\"models\":[{\"name\":\"m\",\"version\":" + weightsVersion
                        + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":16,\"version\":" + weightsVersion + "}";
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/galenahinge/report")) {
            StandInServer.respond(exchange, 200, loadReport());
        } else if (path.startsWith("/galenahinge/stage-put/")) {
            stagedChunks.put(chunkNumber(exchange), exchange.getRequestBody().readAllBytes());
            StandInServer.respond(exchange, 200, new byte[0]);
        } else if (path.startsWith("/galenahinge/stage-get/")) {
            byte[] chunk = stagedChunks.get(chunkNumber(exchange));
            StandInServer.respond(exchange, chunk == null ? 404 : 200, chunk == null ? new byte[0] : chunk);
        } else if (path.equals("/galenahinge/order")) {
            load(exchange);
        } else {
            serve(exchange);
        }
    }

    private byte[] loadReport() {
        String text = "{\"stage\":\"both\"," + weightsFields() + ",\"busy\":false,\"seq\":" + loadCommands
                + ",\"queued\":0,\"active\":0,"
                + "\"kv_used\":0,\"kv_total\":5072000,\"handles\":0,\"pace\":1.0,\"born\":" + incarnationMillis + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void load(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        int versionStart = text.indexOf("\"version\":") + "\"version\":".length();
        weightsVersion = Long.parseLong(text.substring(versionStart, text.indexOf(',', versionStart)));
        loadCommands.incrementAndGet();
        StandInServer.respond(exchange, 202, new byte[0]);
    }

    private static int chunkNumber(HttpExchange exchange) {
        return Integer.parseInt(StandInServer.queryParameters(exchange).get("num"));
    }

    private void serve(HttpExchange exchange) throws IOException {
        arrivalNanos.add(System.nanoTime());
        recordHeaders(exchange);
        requestLimit.ifPresent(limit -> exchange.getResponseHeaders().set("Server-Limit", Double.toString(limit)));
        setLeaving(exchange);
        String requestBody = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String requestId = exchange.getRequestHeaders().getFirst("Attempt-Id");
        if (fault == Fault.SHED) {
            exchange.getResponseHeaders().set("Attempt-Id", requestId);
            exchange.getResponseHeaders().set("Not-Executed", "1");
            StandInServer.respond(exchange, 503, new byte[0]);
            return;
        }
        if (rejections.filter(Rejections::includesNext).isPresent()) {
            reject(exchange, requestId, rejections.get());
            return;
        }
        executedRequestIds.add(requestId);
        if (fault == Fault.LOSE_ANSWER) {
            return;
        }
        exchange.getResponseHeaders().set("Attempt-Id", fault == Fault.CROSS_ANSWER ? "another" : requestId);
        exchange.getResponseHeaders().set("Server-Seal", "seal-" + id);
        if (crashingBody.filter(requestBody::equals).isPresent()) {
            crashingRequests.incrementAndGet();
            crash(exchange);
        }
        if (fault == Fault.FALSE_REFUSAL || fault == Fault.FAIL) {
            StandInServer.respond(exchange, fault == Fault.FAIL ? 500 : 503, "failed".getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (fault == Fault.ENDLESS_FAILURE) {
            failEndlessly(exchange);
            return;
        }
        if (exchange.getRequestURI().getPath().contains("/stream")) {
            stream(exchange);
            return;
        }
        StandInServer.respond(exchange, 200, ("answer of " + id).getBytes(StandardCharsets.UTF_8));
    }

    private void setLeaving(HttpExchange exchange) {
        List<String> values = leavingValues;
        if (values.isEmpty()) {
            return;
        }
        String value = values.get(leavingAnswers.getAndIncrement() % values.size());
        if (!value.isEmpty()) {
            exchange.getResponseHeaders().set("Server-Leaving", value);
        }
    }

    private void reject(HttpExchange exchange, String requestId, Rejections rejection) throws IOException {
        exchange.getResponseHeaders().set("Attempt-Id", requestId);
        if (rejection.declaresNotRun()) {
            exchange.getResponseHeaders().set("Not-Executed", "1");
        }
        rejection.retryAfter().forEach(value -> exchange.getResponseHeaders().add("Retry-After", value));
        StandInServer.respond(exchange, 503, new byte[0]);
        rejectionNanos.add(System.nanoTime());
    }

    private void crash(HttpExchange exchange) throws IOException {
        if (crashPoint == CrashPoint.WITHIN_RESPONSE) {
            boolean streams = exchange.getRequestURI().getPath().contains("/stream");
            if (streams) {
                exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            }
            exchange.sendResponseHeaders(200, 0);
            String part = streams ? "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda" : "part of";
            exchange.getResponseBody().write(part.getBytes(StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
        }
        crashed = true;
        server.close();
        throw new IOException("crashed");
    }

    private static void failEndlessly(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(500, 0);
        byte[] part = new byte[ENDLESS_BODY_PART_BYTES];
        for (int sent = 0; sent < ENDLESS_BODY_PARTS; sent++) {
            exchange.getResponseBody().write(part);
        }
        throw new IOException("the caller read an endless body");
    }

    private void stream(HttpExchange exchange) throws IOException {
        String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream body = exchange.getResponseBody();
        String prompt = exchange.getRequestHeaders().getFirst("Prompt-Prefix");
        if (prompt != null
                && crashingPart.filter(part -> promptContains(prompt, part)).isPresent()) {
            int eventsBefore = crashPoint == CrashPoint.WITHIN_RESPONSE ? EVENTS_BEFORE_CRASH : 0;
            for (int event = first; event < first + eventsBefore; event++) {
                writeEvent(body, event);
            }
            body.write(("id: " + (first + eventsBefore) + "\ndata: ha").getBytes(StandardCharsets.UTF_8));
            body.flush();
            crashed = true;
            server.close();
            throw new IOException("crashed");
        }
        for (int event = first; event <= STREAM_EVENTS; event++) {
            if (fault == Fault.CUT_STREAM && event == STREAM_EVENTS / 2) {
                body.write(("id: " + event + "\ndata: ha").getBytes(StandardCharsets.UTF_8));
                body.flush();
                throw new IOException("stream cut off by fault CUT_STREAM");
            }
            if (fault == Fault.STALL_STREAM && event == STREAM_EVENTS / 2) {
                stall(body);
            }
            writeEvent(body, event);
        }
    }

    private static void writeEvent(OutputStream body, int event) throws IOException {
        body.write(("id: " + event + "\ndata: token" + event + "\n\n").getBytes(StandardCharsets.UTF_8));
        body.flush();
    }

    private static boolean promptContains(String prompt, String part) {
        return Stream.of(prompt.split(",")).anyMatch(entry -> entry.startsWith(part + ":"));
    }

    private static void stall(OutputStream body) throws IOException {
        for (int sent = 0; sent < STALLED_BYTES; sent++) {
            body.write('x');
            body.flush();
            LockSupport.parkNanos(STALLED_BYTE_INTERVAL.toNanos());
        }
        throw new IOException("the caller read a stalled stream");
    }

    private void recordHeaders(HttpExchange exchange) {
        Map<String, String> headers = new ConcurrentHashMap<>();
        exchange.getRequestHeaders()
                .forEach((name, values) -> headers.put(name.toLowerCase(java.util.Locale.ROOT), values.get(0)));
        requestHeaders.add(headers);
    }
}
