package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server begins to answer before it has read a long body. Its answer has no length and ends with its channel. The
 * server crashes in the middle of it, so that the channel is reset.
 */
public final class ResetAfterEarlyAnswer {
    private static final int ORDERS = 6;
    private static final int BODY_BYTES = 4_190_000;
    private static final int MAXIMUM_BODY_BYTES = 4_194_304;
    private static final int BUDGET_MILLIS = 3_000;
    private static final int ANSWER_BYTES = 800;
    private static final int SENT_BYTES = 300;
    /** A small window, as links have on the platform, so that the body is longer than what the sockets hold. */
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

    private ResetAfterEarlyAnswer() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, ResetAfterEarlyAnswer::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record)) {
            deployment.publishConfig(
                    1,
                    MAXIMUM_BODY_BYTES,
                    Deployment.route("/order/", "non_idempotent", "orders", BUDGET_MILLIS, 388));
            ServerSocket server = startServer(deployment, record, trouble);
            Deployment.Entry entry = deployment.startEntry("edge-bagmati-a-1");
            entry.awaitReady();
            Pause.millis(1_000);
            AtomicInteger wrong = new AtomicInteger();
            for (int number = 0; number < ORDERS; number++) {
                order(entry, "order-" + number, record, wrong);
            }
            deployment.recordLog(entry, 8);
            server.close();
            record.line(wrong + " consumers got a success with a part of the server's answer");
            return wrong.get() == 0;
        }
    }

    private static ServerSocket startServer(Deployment deployment, CaseRecord record, boolean trouble)
            throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new InetSocketAddress("127.0.0.1", 0), 64);
        deployment.store()
                .put(
                        "servers/server-1",
                        "{\"service\":\"orders\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                                + "\",\"zone\":\"bagmati-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                                + "\"cold_remaining_ms\":0,\"seq\":0,\"born\":" + System.currentTimeMillis() + "}");
        Threads.start("server", () -> accept(socket, record, trouble));
        return socket;
    }

    private static void accept(ServerSocket socket, CaseRecord record, boolean trouble) {
        while (!socket.isClosed()) {
            try {
                Socket channel = socket.accept();
                Threads.start("channel", () -> answer(channel, record, trouble));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void answer(Socket channel, CaseRecord record, boolean trouble) {
        try (channel) {
            BufferedInputStream input = new BufferedInputStream(channel.getInputStream(), 1 << 10);
            String id = readRequestId(input);
            OutputStream output = channel.getOutputStream();
            record.line("server runs " + id);
            write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal-1\r\n"
                    + "Content-Type: text/plain\r\n\r\n" + "x".repeat(SENT_BYTES));
            Pause.millis(100);
            if (trouble) {
                record.line("server crashes within its answer to " + id + ": its channel ends with unread bytes");
                return;
            }
            input.skipNBytes(BODY_BYTES);
            write(output, "x".repeat(ANSWER_BYTES - SENT_BYTES));
            record.line("server has answered " + id);
        } catch (IOException e) {
            record.line("server: " + e.getMessage());
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    private static String readRequestId(BufferedInputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.read());
        }
        int at = head.indexOf("Attempt-Id: ") + "Attempt-Id: ".length();
        return head.substring(at, head.indexOf("\r\n", at));
    }

    private static void order(Deployment.Entry entry, String id, CaseRecord record, AtomicInteger wrong) {
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            channel.send("/order/place", id, BUDGET_MILLIS, new byte[BODY_BYTES]);
            record.line("consumer sent " + id);
            Message answer = channel.readAnswer();
            record.line("consumer: answer to " + id + ": "
                    + (answer == null
                            ? "none"
                            : answer.startLine() + ", " + answer.body().length + " bytes, complete: " + answer.complete()));
            boolean success = answer != null && answer.complete() && answer.status() == 200;
            if (success && answer.body().length != ANSWER_BYTES) {
                wrong.incrementAndGet();
            }
        } catch (IOException e) {
            record.line("consumer: " + id + ": " + e.getMessage());
        }
    }
}
