package org.galenahinge.standins.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server on a free loopback port that handles each request in its own thread. */
final class StandInServer implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads;

    private StandInServer(HttpServer server, ExecutorService threads) {
        this.server = server;
        this.threads = threads;
    }

    static StandInServer start(HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } finally {
                exchange.close();
            }
        });
        server.start();
        return new StandInServer(server, threads);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    static Map<String, String> queryParameters(HttpExchange exchange) {
        Map<String, String> parameters = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : (text == null ? "" : text).split("&", -1)) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                parameters.put(
                        pair.substring(0, separator),
                        URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }
}
