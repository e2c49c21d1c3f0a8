package org.galenahinge.standins.platform;

import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/**
 * An upstream that does what the {@link WorkOrder} of each request asks, and reports every request that reached it, with
 * the times at which its work began and ended.
 */
public final class RecordingUpstream implements AutoCloseable {
    private final String id;
    private final BiConsumer<String, UpstreamRun> runs;
    private final UpstreamSocket socket;
    private final AtomicInteger working = new AtomicInteger();
    private final long incarnationMillis = System.currentTimeMillis();

    /**
     * Starts an upstream on a free loopback port.
     *
     * @param id the id of the upstream
     * @param runs receives the id of each request and what the upstream saw of it; called by several threads
     * @throws IOException if it cannot bind a port
     */
    public RecordingUpstream(String id, BiConsumer<String, UpstreamRun> runs) throws IOException {
        this.id = Objects.requireNonNull(id, "id");
        this.runs = Objects.requireNonNull(runs, "runs");
        this.socket = new UpstreamSocket(id, this::run);
        socket.start();
    }

    /**
     * Returns the id.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Returns how many requests it works on now.
     *
     * @return the number of requests
     */
    public int working() {
        return working.get();
    }

    /**
     * Returns the seal of its responses.
     *
     * @return the value of the header
     */
    public String seal() {
        return seal(id);
    }

    static String seal(String upstreamId) {
        return "seal-" + upstreamId;
    }

    String storeRecord(String service) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.port()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"born\":" + incarnationMillis + ",\"seq\":0}";
    }

    @Override
    public void close() {
        socket.close();
    }

    /** Returns whether the connection may be used again. */
    private boolean run(WorkOrder order, ReceivedMessage request, UpstreamConnection connection) throws IOException {
        long arrival = System.nanoTime();
        boolean executes = order.deed() != WorkOrder.Deed.REJECT;
        boolean breaksOff = order.deed() == WorkOrder.Deed.BREAK_OFF;
        boolean brokeOff = false;
        working.incrementAndGet();
        try {
            perform(order, request, connection);
            brokeOff = breaksOff;
        } finally {
            runs.accept(order.id(), new UpstreamRun(id, arrival, System.nanoTime(), executes, brokeOff));
            working.decrementAndGet();
        }
        return !breaksOff;
    }

    private void perform(WorkOrder order, ReceivedMessage request, UpstreamConnection connection) throws IOException {
        if (order.deed() == WorkOrder.Deed.REJECT) {
            connection.reject(order.id(), 503, "Retry-After: 1\r\n");
        } else if (order.kind().isStream() && order.deed() != WorkOrder.Deed.FAIL) {
            stream(order, request.header("Last-Event-Id"), connection);
        } else {
            respond(order, connection);
        }
    }

    private void respond(WorkOrder order, UpstreamConnection connection) throws IOException {
        pause(order.pauseMillis());
        boolean fails = order.deed() == WorkOrder.Deed.FAIL;
        String body = fails ? "failed" : order.wholeBody();
        String length = "Content-Length: " + body.length() + "\r\n";
        String head =
                UpstreamConnection.head(fails ? 500 : 200, order.id(), seal(), "Content-Type: text/plain\r\n" + length);
        if (order.deed() == WorkOrder.Deed.BREAK_OFF) {
            connection.write(head + body.substring(0, body.length() / 2));
            return;
        }
        connection.write(head + body);
    }

    private void stream(WorkOrder order, String lastEventId, UpstreamConnection connection) throws IOException {
        connection.beginStream(order.id(), seal());
        String run = id + "-" + Long.toHexString(System.nanoTime());
        int first = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
        boolean breaksOff = order.deed() == WorkOrder.Deed.BREAK_OFF;
        int last = breaksOff ? order.events() / 2 : order.events();
        for (int event = first; event <= last; event++) {
            pause(order.pauseMillis());
            connection.writeEvent(event, order.id(), run);
        }
        if (!breaksOff) {
            connection.endStream();
        }
    }

    private static void pause(int millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
