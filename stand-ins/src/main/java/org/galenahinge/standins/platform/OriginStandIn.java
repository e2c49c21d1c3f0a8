package org.galenahinge.standins.platform;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stands in for the origin: serves the manifest and the chunks of any version of the model {@code m}. */
public final class OriginStandIn implements AutoCloseable {
    private static final int CHUNKS = 8;

    private final StandInServer server;
    private final AtomicInteger chunksSent = new AtomicInteger();

    /**
     * Starts an origin on a free loopback port.
     *
     * @throws IOException if the server cannot bind a port
     */
    public OriginStandIn() throws IOException {
        server = StandInServer.start(this::handle);
    }

    /**
     * Returns the address on which it listens.
     *
     * @return host and port
     */
    public String address() {
        return server.address();
    }

    /**
     * Returns how many chunks it has sent.
     *
     * @return the number of chunks
     */
    public int chunksSent() {
        return chunksSent.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = StandInServer.queryParameters(exchange);
        long version = Long.parseLong(query.getOrDefault("version", "1"));
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/galenahinge/manifest/")) {
            StandInServer.respond(exchange, 200, manifest(version).getBytes(StandardCharsets.UTF_8));
        } else if (path.startsWith("/galenahinge/piece/")) {
            chunksSent.incrementAndGet();
            StandInServer.respond(exchange, 200, chunk(version, Integer.parseInt(query.get("num"))));
        } else {
            StandInServer.respond(exchange, 404, new byte[0]);
        }
    }

    private static String manifest(long version) {
        StringBuilder digests = new StringBuilder();
        for (int number = 0; number < CHUNKS; number++) {
            digests.append(number == 0 ? "\"" : ",\"")
                    .append(digest(chunk(version, number)))
                    .append('"');
        }
        return "{\"model\":\"m\",\"version\":" + version + ",\"chunk_bytes\":64,\"layers\":16,\"digests\":[" + digests
                + "]}";
    }

    private static byte[] chunk(long version, int number) {
        return ("chunk " + number + " of version " + version).getBytes(StandardCharsets.UTF_8);
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
