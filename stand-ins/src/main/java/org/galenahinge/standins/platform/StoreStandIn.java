package org.galenahinge.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stands in for the platform's store: items with revisions, listings in pages, and watches that wait. */
public final class StoreStandIn implements AutoCloseable {
    private static final int PAGE = 50;

    private final ObjectMapper json = new ObjectMapper();
    private final StandInServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final AtomicInteger calls = new AtomicInteger();
    private long revision = 1;
    private long forgottenRevision;
    private volatile boolean away;

    private record Item(String key, String value, long revision) {
        boolean isRemoved() {
            return value == null;
        }
    }

    /**
     * Starts an empty store.
     *
     * @throws IOException when no port is free
     */
    public StoreStandIn() throws IOException {
        server = StandInServer.start(this::answer);
    }

    /**
     * Returns where it listens.
     *
     * @return host and port
     */
    public String address() {
        return server.address();
    }

    /**
     * Writes an item.
     *
     * @param key its key
     * @param value its text
     */
    public synchronized void put(String key, String value) {
        change(new Item(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++revision));
    }

    /**
     * Removes an item.
     *
     * @param key its key
     */
    public synchronized void remove(String key) {
        change(new Item(key, null, ++revision));
    }

    /** Drops the history, so that watches behind it are answered with 410. */
    public synchronized void compact() {
        history.clear();
        forgottenRevision = revision;
        notifyAll();
    }

    /**
     * Makes the store answer nothing but 503, or answer again.
     *
     * @param isAway whether it is away
     */
    public void setAway(boolean isAway) {
        away = isAway;
    }

    /**
     * Returns how many calls it has had.
     *
     * @return the number
     */
    public int calls() {
        return calls.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void change(Item item) {
        if (item.isRemoved()) {
            items.remove(item.key());
        } else {
            items.put(item.key(), item);
        }
        history.add(item);
        notifyAll();
    }

    private void answer(HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        Map<String, String> query = StandInServer.query(exchange);
        if (away) {
            StandInServer.reply(exchange, 503, new byte[0]);
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/galenahinge/kv-range" -> StandInServer.reply(exchange, 200, range(query));
            case "/galenahinge/kv-watch" -> watch(exchange, query);
            default -> StandInServer.reply(exchange, 404, new byte[0]);
        }
    }

    private synchronized byte[] range(Map<String, String> query) throws IOException {
        ObjectNode answer = json.createObjectNode();
        ArrayNode listed = answer.putArray("items");
        String prefix = query.getOrDefault("prefix", "");
        boolean truncated = false;
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key().startsWith(prefix)) {
                continue;
            }
            if (listed.size() == PAGE) {
                truncated = true;
                break;
            }
            listed.add(node(item));
        }
        answer.put("truncated", truncated).put("at", revision);
        return json.writeValueAsBytes(answer);
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        byte[] answer;
        synchronized (this) {
            awaitChange(after, until);
            if (after < forgottenRevision) {
                answer = new byte[0];
            } else {
                answer = json.writeValueAsBytes(events(after));
            }
        }
        StandInServer.reply(exchange, answer.length == 0 ? 410 : 200, answer);
    }

    private void awaitChange(long after, long until) {
        try {
            while (revision <= after && System.currentTimeMillis() < until) {
                wait(Math.max(1, until - System.currentTimeMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ObjectNode events(long after) {
        ObjectNode answer = json.createObjectNode();
        ArrayNode events = answer.putArray("events");
        history.stream().filter(item -> item.revision() > after).forEach(item -> events.add(node(item)));
        return answer.put("at", revision);
    }

    private ObjectNode node(Item item) {
        ObjectNode node = json.createObjectNode().put("key", item.key()).put("revision", item.revision());
        return item.isRemoved()
                ? node.put("removed", true)
                : node.put("value", item.value())
                        .put("created", item.revision())
                        .put("lease", 0);
    }
}
