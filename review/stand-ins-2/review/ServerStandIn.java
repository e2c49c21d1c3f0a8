package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of a service; a handler says what it does with each request that it takes. */
final class ServerStandIn implements AutoCloseable {
    private final String id;
    private final String service;
    private final Handler handler;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private ServerSocket socket;
    private int port;
    private long bornMillis;

    /** What a server does with a request that it takes. */
    interface Handler {
        void run(ServerStandIn server, HttpMessage request, ServerAnswer answer) throws Exception;
    }

    ServerStandIn(String id, String service, Handler handler) {
        this.id = id;
        this.service = service;
        this.handler = handler;
    }

    /** Starts a lifetime, at the address of the one before. */
    synchronized void start() throws IOException {
        socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        port = socket.getLocalPort();
        bornMillis = Math.max(bornMillis + 1, System.currentTimeMillis());
        ServerSocket current = socket;
        startThread(() -> accept(current));
    }

    /** Ends the lifetime as a crash does: all channels are reset and no other is taken. */
    synchronized void crash() {
        closeQuietly(socket);
        channels.forEach(ServerStandIn::reset);
    }

    String id() {
        return id;
    }

    /** Returns what the server writes to the store. */
    synchronized String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"seq\":0,\"born\":" + bornMillis + "}";
    }

    @Override
    public void close() {
        crash();
    }

    private void accept(ServerSocket listening) {
        try {
            while (true) {
                Socket channel = listening.accept();
                channels.add(channel);
                startThread(() -> serve(channel));
            }
        } catch (IOException e) {
            closeQuietly(listening);
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            InputStream input = new BufferedInputStream(channel.getInputStream());
            for (HttpMessage request = HttpMessage.read(input); request != null; request = HttpMessage.read(input)) {
                answer(request, channel.getOutputStream());
            }
        } catch (Exception e) {
            // The entry or this server has closed the channel; what reached the server is recorded by its handler.
        } finally {
            channels.remove(channel);
        }
    }

    private void answer(HttpMessage request, OutputStream output) throws Exception {
        String requestId = request.header("Attempt-Id");
        if (requestId.isEmpty()) {
            write(output, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (!request.header("Expect-Instance").equals(id)) {
            write(
                    output,
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + requestId
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        handler.run(this, request, new ServerAnswer(id, requestId, output));
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private static void reset(Socket channel) {
        try {
            channel.setSoLinger(true, 0);
        } catch (IOException e) {
            // The channel is closed already.
            return;
        }
        closeQuietly(channel);
    }

    private static void closeQuietly(AutoCloseable closed) {
        try {
            closed.close();
        } catch (Exception e) {
            System.err.println("closing a server's socket: " + e.getMessage());
        }
    }
}
