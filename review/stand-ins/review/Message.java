package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message as read from a socket.
 *
 * @param startLine the request line or the status line
 * @param headers the headers, with names in lower case
 * @param body the body
 * @param complete whether the body was read to its end
 */
public record Message(String startLine, Map<String, String> headers, byte[] body, boolean complete) {

    /** Reads a message; returns null if the peer closed before its first byte. */
    public static Message read(InputStream input) throws IOException {
        String start = readLine(input);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = readHeaders(input);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        try {
            complete = readBody(input, headers, body);
        } catch (IOException e) {
            complete = false;
        }
        return new Message(start, headers, body.toByteArray(), complete);
    }

    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    public String path() {
        return startLine.split(" ")[1];
    }

    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(input); ; line = readLine(input)) {
            if (line == null) {
                throw new EOFException("the channel ended within a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    private static boolean readBody(InputStream input, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return readChunks(input, body);
        }
        return readExactly(input, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static boolean readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String line = readLine(input);
            if (line == null) {
                return false;
            }
            int length = Integer.parseInt(line.strip(), 16);
            if (!readExactly(input, body, length)) {
                return false;
            }
            readLine(input);
            if (length == 0) {
                return true;
            }
        }
    }

    private static boolean readExactly(InputStream input, ByteArrayOutputStream body, int length) throws IOException {
        byte[] part = new byte[8 << 10];
        for (int left = length; left > 0; ) {
            int count = input.read(part, 0, Math.min(part.length, left));
            if (count < 0) {
                return false;
            }
            body.write(part, 0, count);
            left -= count;
        }
        return true;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
