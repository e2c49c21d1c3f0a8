package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An HTTP/1.1 request or response as it was read from a connection. */
final class Message {
    private final String startLine;
    private final List<String> headerLines;
    private final byte[] body;

    private Message(String startLine, List<String> headerLines, byte[] body) {
        this.startLine = startLine;
        this.headerLines = headerLines;
        this.body = body;
    }

    /** Reads a message; returns null if the peer has closed the connection before its first byte. */
    static Message read(InputStream input) throws IOException {
        String startLine = readLine(input);
        if (startLine == null) {
            return null;
        }
        List<String> headers = new ArrayList<>();
        for (String line = requireLine(input); !line.isEmpty(); line = requireLine(input)) {
            headers.add(line);
        }
        Message head = new Message(startLine, headers, new byte[0]);
        return new Message(startLine, headers, head.readBody(input));
    }

    String startLine() {
        return startLine;
    }

    /** Returns the path and query of a request. */
    String target() {
        return startLine.split(" ")[1];
    }

    String method() {
        return startLine.split(" ")[0];
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    byte[] body() {
        return body;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    Optional<String> header(String name) {
        return headerLines.stream()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst();
    }

    /** Returns a parameter of the query of a request. */
    Optional<String> parameter(String name) {
        int question = target().indexOf('?');
        if (question < 0) {
            return Optional.empty();
        }
        for (String pair : target().substring(question + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Optional.of(pair.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    private byte[] readBody(InputStream input) throws IOException {
        if (header("Transfer-Encoding").orElse("").equalsIgnoreCase("chunked")) {
            return readChunks(input);
        }
        int length = Integer.parseInt(header("Content-Length").orElse("0"));
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(requireLine(input).split(";")[0].strip(), 16);
            byte[] chunk = input.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("a chunk ended early");
            }
            bytes.writeBytes(chunk);
            requireLine(input);
            if (length == 0) {
                return bytes.toByteArray();
            }
        }
    }

    private static String requireLine(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            throw new EOFException("the message ended early");
        }
        return line;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("the message ended within a line");
                }
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
