package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A model server with one model. It stages pieces without a check, loads what is staged at the moment at which it accepts
 * an order, and streams tokens with the weights that it has loaded.
 */
final class EngineServer implements AutoCloseable {
    private static final int LOAD_MILLIS = 300;
    private static final int EVENTS = 4;
    private static final int EVENT_MILLIS = 30;

    private final String id;
    private final Listener listener;
    private final CaseRecord record;
    private final long bornMillis = System.currentTimeMillis();
    private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();
    private final List<String> brokenTokens = new ArrayList<>();
    private OrderDelay orderDelay = version -> 0;
    private Weights weights;
    private long acceptedOrders;
    private boolean busy;
    private int active;

    /** How long the server needs to accept an order. */
    @FunctionalInterface
    interface OrderDelay {
        /** Called when an order for a version arrives; returns the time in milliseconds. */
        long millisFor(long version);
    }

    /** The weights that a server has loaded: the version, and which pieces were not of it. */
    private record Weights(long version, List<String> foreignPieces) {}

    EngineServer(String id, String host, int port, CaseRecord record) throws IOException {
        this.id = id;
        this.record = record;
        this.weights = new Weights(1, List.of());
        for (int number = 0; number < Origin.PIECES; number++) {
            staged.put(number, Origin.piece(1, number));
        }
        this.listener = new Listener(host, port, this::answer);
    }

    void setOrderDelay(OrderDelay delay) {
        orderDelay = delay;
    }

    String address() {
        return listener.address();
    }

    /** Returns its entry in the store. */
    synchronized String entry() {
        return "{\"service\":\"" + Deployment.ENGINES + "\",\"address\":\"" + address()
                + "\",\"zone\":\"bagmati-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"born\":" + bornMillis + "," + modelFields() + "}";
    }

    /** Returns the tokens that were made with weights that were not whole. */
    synchronized List<String> brokenTokens() {
        return List.copyOf(brokenTokens);
    }

    synchronized long version() {
        return weights.version();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private String modelFields() {
        return "\"stage\":\"both\",\"models\":[{\"name\":\"" + Deployment.MODEL + "\",\"version\":" + weights.version()
                + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":16,\"version\":" + weights.version()
                + "},\"seq\":" + acceptedOrders;
    }

    private boolean answer(Message request, OutputStream output) throws IOException, InterruptedException {
        String path = request.target().split("\\?")[0];
        if (path.equals("/galenahinge/report")) {
            Listener.respondJson(output, 200, "", report());
        } else if (path.startsWith("/galenahinge/stage-put/")) {
            staged.put(Integer.parseInt(request.parameter("num").orElseThrow()), request.body());
            Listener.respond(output, 200, "", new byte[0]);
        } else if (path.startsWith("/galenahinge/stage-get/")) {
            answerStaged(request, output);
        } else if (path.equals("/galenahinge/order")) {
            answerOrder(request.text(), output);
        } else if (path.equals("/health")) {
            Listener.respond(output, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else {
            return stream(request, output);
        }
        return true;
    }

    private synchronized String report() {
        return "{" + modelFields() + ",\"busy\":" + busy + ",\"queued\":0,\"active\":" + active
                + ",\"kv_used\":0,\"kv_total\":5072000,\"handles\":0,\"pace\":1.0,\"born\":" + bornMillis + "}";
    }

    private void answerStaged(Message request, OutputStream output) throws IOException {
        byte[] piece = staged.get(Integer.parseInt(request.parameter("num").orElseThrow()));
        if (piece == null) {
            Listener.respond(output, 404, "", new byte[0]);
        } else {
            Listener.respond(output, 200, "", piece);
        }
    }

    private void answerOrder(String order, OutputStream output) throws IOException, InterruptedException {
        long version = number(order, "version");
        long expected = number(order, "expected");
        long delay = orderDelay.millisFor(version);
        record.add("server " + id + " gets the order " + order + " and needs " + delay + " ms to accept it");
        Thread.sleep(delay);
        int status = accept(version, expected);
        record.add("server " + id + " answers the order for version " + version + " with " + status);
        Listener.respond(output, status, "", new byte[0]);
    }

    /** Accepts an order: what is staged now is what it loads. */
    private synchronized int accept(long version, long expected) {
        if (expected != acceptedOrders || busy) {
            return 409;
        }
        if (version == weights.version()) {
            return 200;
        }
        acceptedOrders++;
        busy = true;
        Weights taken = take(version);
        record.add("server " + id + " takes version " + version + ", with " + taken.foreignPieces().size()
                + " pieces that are not of it: " + taken.foreignPieces());
        Thread load = new Thread(() -> load(taken));
        load.setDaemon(true);
        load.start();
        return 202;
    }

    private Weights take(long version) {
        List<String> foreign = new ArrayList<>();
        Map<Integer, byte[]> pieces = new TreeMap<>(staged);
        for (int number = 0; number < Origin.PIECES; number++) {
            byte[] piece = pieces.get(number);
            if (piece == null) {
                foreign.add(number + " missing");
            } else if (!Arrays.equals(piece, Origin.piece(version, number))) {
                foreign.add(number + " of version " + ByteBuffer.wrap(piece).getLong());
            }
        }
        return new Weights(version, foreign);
    }

    /** Loads after what is running, without beginning anything new. */
    private synchronized void load(Weights taken) {
        try {
            while (active > 0) {
                wait();
            }
            long endNanos = System.nanoTime() + LOAD_MILLIS * 1_000_000L;
            while (System.nanoTime() - endNanos < 0) {
                wait(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        weights = taken;
        busy = false;
        record.add("server " + id + " has loaded version " + taken.version());
        notifyAll();
    }

    private boolean stream(Message request, OutputStream output) throws IOException, InterruptedException {
        String attemptId = request.header("Attempt-Id").orElse("");
        Weights used = begin();
        boolean matches = request.header("Expect-Instance").orElse(id).equals(id)
                && Long.parseLong(request.header("Expect-Version").orElse("" + used.version())) == used.version();
        try {
            if (!matches) {
                String headers = "Attempt-Id: " + attemptId + "\r\nInstance-Id: " + id + "\r\n";
                Listener.respond(output, 421, headers, new byte[0]);
                return true;
            }
            writeStream(attemptId, used, output);
            return true;
        } finally {
            end();
        }
    }

    private void writeStream(String attemptId, Weights used, OutputStream output)
            throws IOException, InterruptedException {
        String head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nServer-Seal: " + id + ".1\r\nWeight-Versions: "
                + used.version() + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLIS);
            noteToken(attemptId, event, used);
            String text = "id: " + event + "\ndata: token " + event + "\n\n";
            output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private synchronized void noteToken(String attemptId, int event, Weights used) {
        if (!used.foreignPieces().isEmpty()) {
            String token = "event " + event + " of " + attemptId + " with version " + used.version() + " that has "
                    + used.foreignPieces().size() + " foreign pieces";
            brokenTokens.add(token);
            record.add("server " + id + " makes " + token);
        }
    }

    private synchronized Weights begin() throws InterruptedException {
        while (busy) {
            wait();
        }
        active++;
        return weights;
    }

    private synchronized void end() {
        active--;
        notifyAll();
    }

    private static long number(String json, String field) {
        int start = json.indexOf("\"" + field + "\":") + field.length() + 3;
        int end = start;
        while (Character.isDigit(json.charAt(end))) {
            end++;
        }
        return Long.parseLong(json.substring(start, end));
    }
}
