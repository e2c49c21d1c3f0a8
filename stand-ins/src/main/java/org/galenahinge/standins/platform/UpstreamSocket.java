package org.galenahinge.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A loopback port on which an upstream takes work, with a thread for each connection. It answers health checks, and rejects
 * requests for another upstream.
 */
final class UpstreamSocket implements AutoCloseable {
    private static final int BACKLOG = 128;

    private final String id;
    private final Handler handler;
    private final ServerSocket socket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** What an upstream does with a request for work. */
    @FunctionalInterface
    interface Handler {
        /**
         * Responds to a request.
         *
         * @param order the work that it asks for
         * @param request the whole request
         * @param connection its connection
         * @return whether the connection may be used again
         * @throws IOException if the connection fails
         */
        boolean handle(WorkOrder order, ReceivedMessage request, UpstreamConnection connection) throws IOException;
    }

    UpstreamSocket(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        this.socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    void start() {
        startThread("upstream " + id, this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    @Override
    public void close() {
        closeQuietly(socket);
        connections.forEach(UpstreamSocket::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable closed) {
        try {
            closed.close();
        } catch (Exception e) {
            // It has failed before, which closes it as well.
            return;
        }
    }

    private static void startThread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.add(connection);
                startThread("connection of " + id, () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Returns whether the connection may be used again. */
    private boolean respond(ReceivedMessage request, UpstreamConnection connection) throws IOException {
        String requestId = request.header("Attempt-Id");
        if (requestId.isEmpty() || !request.secondWord().contains("/work?")) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (!request.header("Expect-Instance").equals(id)) {
            connection.reject(requestId, 421, "");
            return true;
        }
        return handler.handle(WorkOrder.parse(requestId, request.secondWord()), request, connection);
    }

    private void serve(Socket accepted) {
        try (accepted) {
            UpstreamConnection connection = new UpstreamConnection(accepted);
            ReceivedMessage request = connection.read();
            while (request.end() == ReceivedMessage.End.COMPLETE && respond(request, connection)) {
                request = connection.read();
            }
        } catch (IOException e) {
            // The entry has left; the request on the connection has been reported.
            return;
        } finally {
            connections.remove(accepted);
        }
    }
}
