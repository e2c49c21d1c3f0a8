package org.galenahinge.bench;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A caller that decides when it sends each part of a request and when it reads. */
final class SlowCaller implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int READ_TIMEOUT_MILLIS = 8_000;

    private final Socket socket;
    private final InputStream input;

    private SlowCaller(Socket socket) throws IOException {
        this.socket = socket;
        this.input = new BufferedInputStream(socket.getInputStream(), RECEIVE_BUFFER_BYTES);
    }

    static SlowCaller connect(URI entry) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress(entry.getHost(), entry.getPort()));
        return new SlowCaller(socket);
    }

    void send(String path, String body) throws IOException {
        sendHead(path, body.length());
        sendBody(body);
    }

    void sendHead(String path, int contentLength) throws IOException {
        sendBody("POST " + path + " HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nContent-Length: "
                + contentLength + "\r\n\r\n");
    }

    void sendBody(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Waits for the first byte of a response, without taking it. */
    void awaitResponse() throws IOException {
        input.mark(1);
        if (input.read() < 0) {
            throw new EOFException("the connection ended before a response");
        }
        input.reset();
    }

    /** Reads one response; fails if the connection ends before it does. */
    ReadResponse readResponse() throws IOException {
        String statusLine = readLine();
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int bodyBytes = headers.containsKey("content-length")
                ? skip(Integer.parseInt(headers.get("content-length")))
                : readChunks();
        return new ReadResponse(statusLine, headers, bodyBytes);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private int readChunks() throws IOException {
        int bodyBytes = 0;
        while (true) {
            int size = Integer.parseInt(readLine(), 16);
            bodyBytes += skip(size);
            readLine();
            if (size == 0) {
                return bodyBytes;
            }
        }
    }

    private int skip(int bytes) throws IOException {
        input.skipNBytes(bytes);
        return bytes;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within a response, after: " + line);
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** A response that was read completely. Header names are in lower case. */
    record ReadResponse(String statusLine, Map<String, String> headers, int bodyBytes) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }
}
