package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server of the order service that runs each request at once and keeps what it was sent. */
final class OrderServer implements AutoCloseable {
    private final String id;
    private final long workMillis;
    private final Listener listener;
    private final CaseRecord record;
    private final List<Run> runs = new CopyOnWriteArrayList<>();

    /** A request that the server has run. */
    record Run(String attemptId, String tenant, String apiKey, int bodyBytes) {}

    OrderServer(String id, String host, int port, long workMillis, CaseRecord record) throws IOException {
        this.id = id;
        this.workMillis = workMillis;
        this.record = record;
        this.listener = new Listener(host, port, this::answer);
    }

    String address() {
        return listener.address();
    }

    List<Run> runs() {
        return runs;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private boolean answer(Message request, OutputStream output) throws IOException, InterruptedException {
        if (request.target().equals("/health")) {
            Listener.respond(output, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String attemptId = request.header("Attempt-Id").orElse("");
        if (!request.header("Expect-Instance").orElse(id).equals(id)) {
            Listener.respond(output, 421, "Attempt-Id: " + attemptId + "\r\nInstance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        Run run = new Run(
                attemptId,
                request.header("Tenant").orElse("none"),
                request.header("Api-Key").orElse("none"),
                request.body().length);
        runs.add(run);
        record.add("server " + id + " runs " + run);
        Thread.sleep(workMillis);
        byte[] body = ("order " + attemptId + " confirmed").getBytes(StandardCharsets.UTF_8);
        Listener.respond(output, 200, "Attempt-Id: " + attemptId + "\r\nServer-Seal: " + id + ".1\r\n", body);
        return true;
    }
}
