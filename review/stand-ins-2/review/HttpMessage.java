package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A whole HTTP/1.1 message, as it was read from a channel. */
record HttpMessage(String firstLine, Map<String, String> headers, byte[] body) {
    private static final int MOST_HEAD_BYTES = 1 << 20;

    /** Reads a message; returns null if the channel ends before its first byte. */
    static HttpMessage read(InputStream input) throws IOException {
        String firstLine = readLine(input);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); !line(line).isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new HttpMessage(firstLine, headers, readBody(input, headers));
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static byte[] readBody(InputStream input, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return readChunks(input);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return readExactly(input, length);
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(readLine(input)).split(";")[0].strip(), 16);
            body.writeBytes(readExactly(input, size));
            readLine(input);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readExactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the channel ended within a body");
        }
        return bytes;
    }

    private static String line(String line) throws IOException {
        if (line == null) {
            throw new EOFException("the channel ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0 && line.size() == 0) {
                return null;
            }
            if (next < 0 || line.size() > MOST_HEAD_BYTES) {
                throw new EOFException("the channel ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
