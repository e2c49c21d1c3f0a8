package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address with a thread for each connection. */
final class Listener implements AutoCloseable {
    private final ServerSocket socket;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Answers the requests of a connection. */
    @FunctionalInterface
    interface Handler {
        /** Answers a request; returns whether the connection may be used again. */
        boolean answer(Message request, OutputStream output) throws IOException, InterruptedException;
    }

    Listener(String host, int port, Handler handler) throws IOException {
        this.socket = new ServerSocket(port, 512, InetAddress.getByName(host));
        this.handler = handler;
        start("listener-" + address(), this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Writes a complete response; each header line ends with a line end. */
    static void respond(OutputStream output, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] response = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, response, 0, headBytes.length);
        System.arraycopy(body, 0, response, headBytes.length, body.length);
        output.write(response);
        output.flush();
    }

    static void respondJson(OutputStream output, int status, String headers, String json) throws IOException {
        respond(
                output,
                status,
                headers + "Content-Type: application/json\r\n",
                json.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : open) {
            connection.close();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                open.add(connection);
                start("connection-" + address(), () -> serve(connection));
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    System.err.println("cannot accept at " + address() + ": " + e);
                }
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(connection.getInputStream(), 64 << 10);
            Message request = Message.read(input);
            while (request != null && handler.answer(request, connection.getOutputStream())) {
                request = Message.read(input);
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(connection);
        }
    }

    private static void start(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
    }
}
