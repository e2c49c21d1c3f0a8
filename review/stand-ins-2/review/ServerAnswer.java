package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes a server's answer to one request. */
final class ServerAnswer {
    private final OutputStream output;
    private String head;

    ServerAnswer(String serverId, String requestId, OutputStream output) {
        this.output = output;
        this.head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + requestId + "\r\nServer-Seal: seal-" + serverId + "-" + requestId
                + "\r\n";
    }

    /** Adds a header to the answer, which has not begun. */
    void addHeader(String line) {
        head += line + "\r\n";
    }

    /** Answers with success and a whole body. */
    void succeed(String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(head + "Content-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n" + body);
    }

    /** Begins a stream of events. */
    void beginStream() throws IOException {
        write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void writeEvent(int number) throws IOException {
        String event = "id: " + number + "\ndata: token " + number + "\n\n";
        write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    void endStream() throws IOException {
        write("0\r\n\r\n");
    }

    private void write(String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
