package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's channel to an entry, which carries one request after the other. */
public final class ConsumerChannel implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 12_000;

    private final Socket socket = new Socket();
    private final InputStream input;

    public ConsumerChannel(InetSocketAddress entry) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(entry, 1_000);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request without reading its answer. */
    public void send(String path, String requestId, long budgetMillis, byte[] body) throws IOException {
        send(path, requestId, budgetMillis, "", body);
    }

    /** Sends a request with further header lines, each with its line end, without reading its answer. */
    public void send(String path, String requestId, long budgetMillis, String headers, byte[] body) throws IOException {
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + requestId
                + "\r\nApi-Key: " + Deployment.KEY + "\r\nDeadline-Ms: " + budgetMillis + "\r\n" + headers
                + "Content-Length: " + body.length + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Sets how long the consumer waits for the next bytes. */
    public void giveUpAfter(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Reads an answer; returns null if the channel ends before its first byte. */
    public Message readAnswer() throws IOException {
        return Message.read(input);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
