package org.galenahinge.standins.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/**
 * An upstream that does what the {@link WorkOrder} of each request asks, and reports every request that reached it, with
 * the times at which its work began and ended.
 */
public final class RecordingUpstream implements AutoCloseable {
    private static final int BACKLOG = 128;

    private final String id;
    private final BiConsumer<String, UpstreamRun> runs;
    private final ServerSocket socket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
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
        this.socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start("upstream " + id, this::accept);
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
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"born\":" + incarnationMillis + ",\"seq\":0}";
    }

    @Override
    public void close() {
        closeQuietly(socket);
        connections.forEach(RecordingUpstream::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable closed) {
        try {
            closed.close();
        } catch (Exception e) {
            // It has failed before, which closes it as well.
            return;
        }
    }

    private static void start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.add(connection);
                start("connection of " + id, () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(connection.getInputStream());
            ReceivedMessage request = ReceivedMessage.read(input);
            while (request.end() == ReceivedMessage.End.COMPLETE && handle(request, connection.getOutputStream())) {
                request = ReceivedMessage.read(input);
            }
        } catch (IOException e) {
            // The entry has left; the request on the connection has been reported.
            return;
        } finally {
            connections.remove(connection);
        }
    }

    /** Returns whether the connection may be used again. */
    private boolean handle(ReceivedMessage request, OutputStream output) throws IOException {
        String requestId = request.header("Attempt-Id");
        if (requestId.isEmpty() || !request.secondWord().contains("/work?")) {
            write(output, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (!request.header("Expect-Instance").equals(id)) {
            reject(output, requestId, 421, "");
            return true;
        }
        return run(WorkOrder.parse(requestId, request.secondWord()), request, output);
    }

    private boolean run(WorkOrder order, ReceivedMessage request, OutputStream output) throws IOException {
        long arrival = System.nanoTime();
        boolean executes = order.deed() != WorkOrder.Deed.REJECT;
        boolean breaksOff = order.deed() == WorkOrder.Deed.BREAK_OFF;
        boolean brokeOff = false;
        working.incrementAndGet();
        try {
            perform(order, request, output);
            brokeOff = breaksOff;
        } finally {
            runs.accept(order.id(), new UpstreamRun(id, arrival, System.nanoTime(), executes, brokeOff));
            working.decrementAndGet();
        }
        return !breaksOff;
    }

    private void perform(WorkOrder order, ReceivedMessage request, OutputStream output) throws IOException {
        if (order.deed() == WorkOrder.Deed.REJECT) {
            reject(output, order.id(), 503, "Retry-After: 1\r\n");
        } else if (order.kind().isStream() && order.deed() != WorkOrder.Deed.FAIL) {
            stream(order, request.header("Last-Event-Id"), output);
        } else {
            respond(order, output);
        }
    }

    private void respond(WorkOrder order, OutputStream output) throws IOException {
        pause(order.pauseMillis());
        boolean fails = order.deed() == WorkOrder.Deed.FAIL;
        String body = fails ? "failed" : order.wholeBody();
        String length = "Content-Length: " + body.length() + "\r\n";
        String head = head(fails ? 500 : 200, order.id(), "Content-Type: text/plain\r\n" + length);
        if (order.deed() == WorkOrder.Deed.BREAK_OFF) {
            write(output, head + body.substring(0, body.length() / 2));
            return;
        }
        write(output, head + body);
    }

    private void stream(WorkOrder order, String lastEventId, OutputStream output) throws IOException {
        write(output, head(200, order.id(), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        String run = id + "-" + Long.toHexString(System.nanoTime());
        int first = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
        boolean breaksOff = order.deed() == WorkOrder.Deed.BREAK_OFF;
        int last = breaksOff ? order.events() / 2 : order.events();
        for (int event = first; event <= last; event++) {
            pause(order.pauseMillis());
            String text = "id: " + event + "\ndata: " + order.id() + " " + run + "\n\n";
            write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (!breaksOff) {
            write(output, "0\r\n\r\n");
        }
    }

    private static void reject(OutputStream output, String requestId, int status, String headers) throws IOException {
        write(
                output,
                "HTTP/1.1 " + status + " Rejected\r\nAttempt-Id: " + requestId + "\r\nNot-Executed: 1\r\n" + headers
                        + "Content-Length: 0\r\n\r\n");
    }

    private String head(int status, String requestId, String headers) {
        return "HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + requestId + "\r\nServer-Seal: " + seal() + "\r\n"
                + headers + "\r\n";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
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
