package org.galenahinge.standins.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A connection that an upstream has accepted. Used by one thread. */
final class UpstreamConnection {
    private static final int PEEK_MILLIS = 1;

    private final Socket socket;
    private final InputStream input;

    UpstreamConnection(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        this.socket = socket;
        this.input = new BufferedInputStream(socket.getInputStream());
    }

    ReceivedMessage read() {
        return ReceivedMessage.read(input);
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Rejects a request that has not run. */
    void reject(String requestId, int status, String headers) throws IOException {
        write("HTTP/1.1 " + status + " Rejected\r\nAttempt-Id: " + requestId + "\r\nNot-Executed: 1\r\n" + headers
                + "Content-Length: 0\r\n\r\n");
    }

    /** Begins the response to a stream; its events follow. */
    void beginStream(String requestId, String seal) throws IOException {
        write(head(200, requestId, seal, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    }

    /** Writes an event of a stream. The run tells apart the events of several runs of one request. */
    void writeEvent(int event, String requestId, String run) throws IOException {
        String text = "id: " + event + "\ndata: " + requestId + " " + run + "\n\n";
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    void endStream() throws IOException {
        write("0\r\n\r\n");
    }

    static String head(int status, String requestId, String seal, String headers) {
        return "HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + requestId + "\r\nServer-Seal: " + seal + "\r\n"
                + headers + "\r\n";
    }

    /** Returns whether the peer has closed the connection, by what has come so far. */
    boolean isClosedByPeer() {
        try {
            socket.setSoTimeout(PEEK_MILLIS);
            input.mark(1);
            int next = input.read();
            input.reset();
            socket.setSoTimeout(0);
            return next < 0;
        } catch (SocketTimeoutException e) {
            return !resetTimeout();
        } catch (IOException e) {
            return true;
        }
    }

    private boolean resetTimeout() {
        try {
            socket.setSoTimeout(0);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
