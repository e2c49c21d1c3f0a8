package org.galenahinge.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message as far as it came over a connection.
 *
 * @param startLine the request line or the status line, empty if it did not come
 * @param headers the headers, with names in lower case
 * @param body the body, as far as it came
 * @param end how reading ended
 */
record ReceivedMessage(String startLine, Map<String, String> headers, String body, End end) {
    private static final int PART_BYTES = 8 << 10;

    /** How reading a message ended. */
    enum End {
        /** The whole message came. */
        COMPLETE,
        /** The peer closed the connection before. */
        CLOSED,
        /** The connection failed before. */
        RESET,
        /** The reader's time was over before. */
        TIME_OVER
    }

    static ReceivedMessage read(InputStream input) {
        Reader reader = new Reader(input);
        End end = reader.readToEnd();
        String body = reader.body.toString(StandardCharsets.ISO_8859_1);
        return new ReceivedMessage(reader.startLine, Map.copyOf(reader.headers), body, end);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the second word of the first line: the target of a request, the status of a response. */
    String secondWord() {
        String[] words = startLine.split(" ", -1);
        return words.length < 2 ? "" : words[1];
    }

    private static final class Reader {
        private final InputStream input;
        private final Map<String, String> headers = new LinkedHashMap<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private String startLine = "";

        Reader(InputStream input) {
            this.input = input;
        }

        End readToEnd() {
            try {
                startLine = readLine();
                readHeaders();
                readBody();
                return End.COMPLETE;
            } catch (EOFException e) {
                return End.CLOSED;
            } catch (SocketTimeoutException e) {
                return End.TIME_OVER;
            } catch (IOException | NumberFormatException e) {
                return End.RESET;
            }
        }

        private void readHeaders() throws IOException {
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                if (colon < 0) {
                    throw new IOException("no header: " + line);
                }
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                headers.put(name, line.substring(colon + 1).strip());
            }
        }

        private void readBody() throws IOException {
            if (!headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                readExactly(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                return;
            }
            int length = readChunkLength();
            while (length > 0) {
                readExactly(length);
                readLine();
                length = readChunkLength();
            }
            readLine();
        }

        private int readChunkLength() throws IOException {
            return Integer.parseInt(readLine(), 16);
        }

        private void readExactly(int length) throws IOException {
            byte[] part = new byte[PART_BYTES];
            int left = length;
            while (left > 0) {
                int count = input.read(part, 0, Math.min(part.length, left));
                if (count < 0) {
                    throw new EOFException();
                }
                body.write(part, 0, count);
                left -= count;
            }
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = input.read(); next != '\n'; next = input.read()) {
                if (next < 0) {
                    throw new EOFException();
                }
                line.write(next);
            }
            return line.toString(StandardCharsets.ISO_8859_1).strip();
        }
    }
}
