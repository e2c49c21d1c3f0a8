package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The platform's store: items with revisions, lists and watches, on the loopback address. */
final class StoreServer implements AutoCloseable {
    private static final int MOST_ITEMS = 500;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 10;

    /** One state of an item; a value of null is its removal. */
    private record Item(String key, String value, long revision) {
        String json() {
            String head = "{\"key\":\"" + key + "\",\"revision\":" + revision;
            return value == null
                    ? head + ",\"removed\":true}"
                    : head + ",\"created\":" + revision + ",\"lease\":0,\"value\":\"" + value + "\"}";
        }
    }

    StoreServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/galenahinge/kv-range", this::list);
        server.createContext("/galenahinge/kv-watch", this::watch);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item; the return is the store's acknowledgement. */
    synchronized void put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        apply(new Item(key, encoded, ++revision));
    }

    synchronized void remove(String key) {
        apply(new Item(key, null, ++revision));
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void apply(Item item) {
        if (item.value() == null) {
            items.remove(item.key());
        } else {
            items.put(item.key(), item);
        }
        history.add(item);
        notifyAll();
    }

    private void list(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        String body;
        synchronized (this) {
            List<Item> found = items.tailMap(after, false).values().stream()
                    .filter(item -> item.key().startsWith(prefix))
                    .toList();
            List<Item> page = found.subList(0, Math.min(MOST_ITEMS, found.size()));
            boolean truncated = page.size() < found.size();
            body = "{\"items\":[" + join(page) + "],\"truncated\":" + truncated + ",\"at\":" + revision + "}";
        }
        respond(exchange, body);
    }

    private void watch(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        Predicate<Item> wanted = item -> item.revision() > after && item.key().startsWith(prefix);
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        String body;
        synchronized (this) {
            awaitItem(wanted, endNanos);
            List<Item> events = history.stream().filter(wanted).toList();
            body = "{\"events\":[" + join(events) + "],\"at\":" + revision + "}";
        }
        respond(exchange, body);
    }

    private void awaitItem(Predicate<Item> wanted, long endNanos) {
        try {
            for (long left = endNanos - System.nanoTime();
                    left > 0 && history.stream().noneMatch(wanted);
                    left = endNanos - System.nanoTime()) {
                wait(left / 1_000_000 + 1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String join(List<Item> page) {
        return page.stream().map(Item::json).collect(Collectors.joining(","));
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String field : String.valueOf(exchange.getRequestURI().getQuery()).split("&")) {
            int separator = field.indexOf('=');
            if (separator > 0) {
                query.put(field.substring(0, separator), field.substring(separator + 1));
            }
        }
        return query;
    }

    private static void respond(HttpExchange exchange, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
