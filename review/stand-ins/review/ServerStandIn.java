package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server of a service. It registers itself in the store, runs each request that names it, and records what it ran. */
public final class ServerStandIn implements AutoCloseable {
    private final String id;
    private final String service;
    private final CaseRecord record;
    private final ServerSocket socket;
    private final Work work;
    private final Control control;
    private final long born = System.currentTimeMillis();
    private final List<String> run = new CopyOnWriteArrayList<>();

    /** Answers a request. */
    @FunctionalInterface
    public interface Work {
        void answer(Message request, Answer answer) throws IOException;
    }

    /** What the server on a machine of a slot process serves beside requests. */
    public interface Control {
        /** Returns further fields of its record, each after a comma. */
        String recordFields();

        /** Answers a call below /galenahinge/. */
        void answer(Message call, Answer answer) throws IOException;
    }

    public ServerStandIn(String id, String service, CaseRecord record, Work work) throws IOException {
        this(id, service, "127.0.0.1", record, work, new NoControl());
    }

    public ServerStandIn(String id, String service, String ip, CaseRecord record, Work work, Control control)
            throws IOException {
        this.control = control;
        this.id = id;
        this.service = service;
        this.record = record;
        this.work = work;
        this.socket = new ServerSocket(0, 128, InetAddress.getByName(ip));
        Threads.start("server " + id, this::accept);
    }

    /** Returns what it writes to the store under its id. */
    public String storeRecord() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"bagmati-a\","
                + "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + born
                + control.recordFields() + "}";
    }

    public String key() {
        return "servers/" + id;
    }

    public long born() {
        return born;
    }

    public String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Returns the ids of the requests that it ran. */
    public List<String> run() {
        return run;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket channel = socket.accept();
                Threads.start("channel of " + id, () -> serve(channel));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            channel.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(channel.getInputStream(), 64 << 10);
            for (Message request = Message.read(input); request != null; request = Message.read(input)) {
                if (!request.complete()) {
                    return;
                }
                handle(request, channel.getOutputStream());
            }
        } catch (IOException e) {
            record.line("server " + id + ": a channel was lost: " + e.getMessage());
        }
    }

    private void handle(Message request, OutputStream output) throws IOException {
        String requestId = request.header("Attempt-Id");
        if (request.path().startsWith("/galenahinge/")) {
            control.answer(request, new Answer(output, "", id));
            return;
        }
        if (!request.header("Expect-Instance").equals(id)) {
            new Answer(output, requestId, id).whole(421, "");
            return;
        }
        run.add(requestId);
        record.line("server " + id + " begins to run " + requestId);
        work.answer(request, new Answer(output, requestId, id));
        record.line("server " + id + " has answered " + requestId);
    }

    private static final class NoControl implements Control {
        @Override
        public String recordFields() {
            return ",\"seq\":0";
        }

        @Override
        public void answer(Message call, Answer answer) throws IOException {
            answer.whole(404, "");
        }
    }

    /** Writes the answer to one request. */
    public static final class Answer {
        private final OutputStream output;
        private final String requestId;
        private final String serverId;

        Answer(OutputStream output, String requestId, String serverId) {
            this.output = output;
            this.requestId = requestId;
            this.serverId = serverId;
        }

        /** Writes an answer with a length. */
        public void whole(int status, String body) throws IOException {
            write(head(status, "Content-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n") + body);
        }

        /** Refuses the request, which does not run, and names a time in seconds after which the server wants requests. */
        public void refuse(String retryAfterSeconds) throws IOException {
            write("HTTP/1.1 503 Status\r\nAttempt-Id: " + requestId + "\r\nNot-Executed: 1\r\nRetry-After: "
                    + retryAfterSeconds + "\r\nContent-Length: 0\r\n\r\n");
        }

        /** Begins a stream of events in chunks. */
        public void beginStream() throws IOException {
            write(head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        }

        /** Writes a chunk of a stream. */
        public void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Ends a stream. */
        public void endStream() throws IOException {
            write("0\r\n\r\n");
        }

        /** Writes bytes as they are. */
        public void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        private String head(int status, String headers) {
            String seal = status == 200 ? "Server-Seal: seal-" + serverId + "\r\n" : "";
            String notRun = status == 421 ? "Not-Executed: 1\r\n" : "";
            return "HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + requestId + "\r\n" + seal + notRun + headers + "\r\n";
        }
    }
}
