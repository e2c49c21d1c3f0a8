package org.galenahinge.standins.platform;

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** A caller's connection to an entry. It may carry several requests, also before the first response has come. */
public final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int SLOW_RECEIVE_BYTES = 4 << 10;
    private static final int SLOW_READ_PAUSE_MILLIS = 20;

    private static final int MOST_HEAD_BYTES = 1 << 10;
    private static final Pattern CLOSES = Pattern.compile("(?i)\r\nConnection: *close\r\n");

    private static final String ENGINE_HEADERS = "\r\nModel: " + EntryFleetStandIn.MODEL + "\r\nToken-Counts: 100,20";

    private final Socket socket = new Socket();
    private final PacedInput pacing;
    private final InputStream input;

    /**
     * Connects to an entry.
     *
     * @param entry the address of the entry
     * @param slow whether the caller reads slowly, with a small receive buffer
     * @throws IOException if the entry does not accept the connection in time
     */
    public CallerConnection(InetSocketAddress entry, boolean slow) throws IOException {
        if (slow) {
            socket.setReceiveBufferSize(SLOW_RECEIVE_BYTES);
        }
        socket.setTcpNoDelay(true);
        socket.connect(entry, CONNECT_MILLIS);
        pacing = new PacedInput(socket, slow);
        input = new BufferedInputStream(pacing, slow ? SLOW_RECEIVE_BYTES : SLOW_RECEIVE_BYTES * 16);
    }

    /**
     * Sends a request.
     *
     * @param order what the upstream is to do
     * @param deadlineMillis the time that the caller gives the request, in milliseconds
     * @throws IOException if the connection fails before the last byte was sent
     */
    public void send(WorkOrder order, long deadlineMillis) throws IOException {
        String text = "POST " + order.target() + " HTTP/1.1\r\nHost: " + EntryFleetStandIn.HOST + "\r\nAttempt-Id: "
                + order.id() + "\r\nApi-Key: " + EntryFleetStandIn.KEY + "\r\nDeadline-Ms: " + deadlineMillis
                + (order.kind().usesEngine() ? ENGINE_HEADERS : "") + "\r\nContent-Length: 2\r\n\r\nhi";
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /**
     * Reads the next response, as far as it comes.
     *
     * @param untilNanos when the caller gives up, in nanoseconds of {@link System#nanoTime()}
     * @return what has come
     */
    public CallerResponse read(long untilNanos) {
        pacing.untilNanos = untilNanos;
        return CallerResponse.of(ReceivedMessage.read(input));
    }

    /**
     * Does something once, as soon as a slow caller has read a number of bytes from now on, unless the response that it
     * reads says that the connection closes.
     *
     * @param bytes the number of bytes
     * @param action what it does, on the thread that reads
     */
    public void whenRead(int bytes, Runnable action) {
        pacing.bytesToAction = bytes;
        pacing.action = action;
        pacing.head.setLength(0);
    }

    /**
     * Returns whether bytes are there though no response is due.
     *
     * @return whether there are bytes to read
     */
    public boolean hasUnexpectedBytes() {
        try {
            return input.available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // A connection that fails to close is gone as well.
            return;
        }
    }

    /** Ends reads at a time, and reads slowly if the caller does. */
    private static final class PacedInput extends FilterInputStream {
        private final Socket socket;
        private final boolean slow;
        private long untilNanos;
        private int bytesToAction;
        private Runnable action = () -> {};
        private final StringBuilder head = new StringBuilder();

        PacedInput(Socket socket, boolean slow) throws IOException {
            super(socket.getInputStream());
            this.socket = socket;
            this.slow = slow;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
            if (leftMillis <= 0) {
                throw new SocketTimeoutException("the caller's time is over");
            }
            socket.setSoTimeout((int) leftMillis);
            int count = super.read(buffer, offset, length);
            if (slow) {
                pause();
                actAfter(buffer, offset, count);
            }
            return count;
        }

        private void actAfter(byte[] buffer, int offset, int count) {
            int headBytes = Math.min(Math.max(count, 0), MOST_HEAD_BYTES - head.length());
            head.append(new String(buffer, offset, headBytes, StandardCharsets.ISO_8859_1));
            bytesToAction -= count;
            if (bytesToAction > 0 || count <= 0) {
                return;
            }
            Runnable due = action;
            action = () -> {};
            if (!CLOSES.matcher(head).find()) {
                due.run();
            }
        }

        private static void pause() throws IOException {
            try {
                TimeUnit.MILLISECONDS.sleep(SLOW_READ_PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }
}
