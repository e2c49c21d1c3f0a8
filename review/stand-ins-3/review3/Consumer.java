package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A consumer with one channel to an entry. */
final class Consumer implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream input;

    Consumer(String host, int port) throws IOException {
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request, whose header lines each end with a line end. */
    void send(String startLine, String headers, byte[] body) throws IOException {
        String head = startLine + " HTTP/1.1\r\n" + headers
                + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Reads the response; returns null if the channel is closed without one. */
    Message receive(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        return Message.read(input);
    }

    /** Returns what came back: a status, or why there is none. */
    String outcome(int timeoutMillis) {
        try {
            Message response = receive(timeoutMillis);
            return response == null ? "closed without an answer" : "status " + response.status();
        } catch (SocketTimeoutException e) {
            return "no answer in " + timeoutMillis + " ms";
        } catch (IOException e) {
            return "channel lost: " + e.getMessage();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
