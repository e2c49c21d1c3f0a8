package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's channel to an entry; it carries one request after the other. */
final class CallerChannel implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;

    private final Socket socket = new Socket();
    private final InputStream input;

    CallerChannel(InetSocketAddress entry) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(entry, CONNECT_MILLIS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its answer; fails if the channel ends or the time passes before. */
    HttpMessage exchange(String target, String id, int deadlineMillis, String extraHeaders, String body)
            throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = "POST " + target + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + id
                + "\r\nApi-Key: " + Deployment.KEY + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + extraHeaders
                + "Content-Length: " + content.length + "\r\n\r\n";
        socket.setSoTimeout(deadlineMillis);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(content);
        socket.getOutputStream().flush();
        HttpMessage answer = HttpMessage.read(input);
        if (answer == null) {
            throw new IOException("the channel was closed without an answer");
        }
        return answer;
    }

    static int status(HttpMessage answer) {
        return Integer.parseInt(answer.firstLine().split(" ")[1]);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            System.err.println("closing a consumer's channel: " + e.getMessage());
        }
    }
}
