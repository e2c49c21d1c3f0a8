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

/** Stands in for the platform's store: key-value items with revisions, paged listings, and watches by long polling. */
public final class StoreStandIn implements AutoCloseable {
    private static final int MAXIMUM_PAGE_ITEMS = 50;

    private final ObjectMapper json = new ObjectMapper();
    private final StandInServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private long revision = 1;
    private long compactedRevision;
    private long epoch = 1;
    private volatile boolean unavailable;

    /** A state of an item; a value of null marks its removal. */
    record Item(String key, String value, long revision) {
        boolean isRemoved() {
            return value == null;
        }
    }

    /**
     * A copy of the store's contents.
     *
     * @param revision the store's revision when the copy was made
     * @param items the items, by key
     */
    public record Backup(long revision, Map<String, Item> items) {
        /** Copies the items. */
        public Backup {
            items = Map.copyOf(items);
        }
    }

    /**
     * Starts an empty store on a free loopback port.
     *
     * @throws IOException if the server cannot bind a port
     */
    public StoreStandIn() throws IOException {
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
     * Writes an item under a new revision.
     *
     * @param key the key
     * @param value the value as text, which readers receive in Base64
     */
    public synchronized void put(String key, String value) {
        apply(new Item(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++revision));
    }

    /**
     * Writes an item as a writer that the store does not always answer.
     *
     * @param key the key
     * @param value the value as text, which readers receive in Base64
     * @return whether the store is available, and has written it
     */
    public synchronized boolean putIfAvailable(String key, String value) {
        if (unavailable) {
            return false;
        }
        put(key, value);
        return true;
    }

    /**
     * Writes an item whose value readers receive as it is.
     *
     * @param key the key
     * @param value the value, which need not be Base64
     */
    public synchronized void putUnencoded(String key, String value) {
        apply(new Item(key, value, ++revision));
    }

    /**
     * Removes an item under a new revision.
     *
     * @param key the key
     */
    public synchronized void remove(String key) {
        apply(new Item(key, null, ++revision));
    }

    /** Drops the history of changes, so that watches from an older revision get status 410. */
    public synchronized void compact() {
        history.clear();
        compactedRevision = revision;
        notifyAll();
    }

    /**
     * Copies the contents.
     *
     * @return the copy
     */
    public synchronized Backup backup() {
        return new Backup(revision, items);
    }

    /**
     * Goes back to an older copy: whatever was written since is lost, and its revisions are given out again. Watches from
     * a revision after that of the copy get status 410.
     *
     * @param backup the copy
     */
    public synchronized void restore(Backup backup) {
        epoch++;
        revision = backup.revision();
        items.clear();
        items.putAll(backup.items());
        history.removeIf(item -> item.revision() > revision);
        notifyAll();
    }

    /**
     * Starts a store at another address that holds the same items under the same revisions.
     *
     * @return the other store
     * @throws IOException if the server cannot bind a port
     */
    public synchronized StoreStandIn copy() throws IOException {
        StoreStandIn copy = new StoreStandIn();
        synchronized (copy) {
            copy.items.putAll(items);
            copy.history.addAll(history);
            copy.revision = revision;
            copy.compactedRevision = compactedRevision;
            copy.epoch = epoch;
        }
        return copy;
    }

    /**
     * Makes the store unavailable, so that it responds to all requests with status 503, or available again.
     *
     * @param newUnavailable whether it is unavailable
     */
    public void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
    }

    /**
     * Returns how many requests it has received.
     *
     * @return the number of requests
     */
    public int requestCount() {
        return requests.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void apply(Item item) {
        if (item.isRemoved()) {
            items.remove(item.key());
        } else {
            items.put(item.key(), item);
        }
        history.add(item);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        requests.incrementAndGet();
        Map<String, String> query = StandInServer.queryParameters(exchange);
        if (unavailable) {
            StandInServer.respond(exchange, 503, new byte[0]);
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/galenahinge/kv-range" -> list(exchange, query);
            case "/galenahinge/kv-watch" -> watch(exchange, query);
            default -> StandInServer.respond(exchange, 404, new byte[0]);
        }
    }

    private void list(HttpExchange exchange, Map<String, String> query) throws IOException {
        byte[] body;
        synchronized (this) {
            body = range(query);
            nameEpoch(exchange);
        }
        StandInServer.respond(exchange, 200, body);
    }

    private void nameEpoch(HttpExchange exchange) {
        exchange.getResponseHeaders().set("Store-Era", Long.toString(epoch));
    }

    private byte[] range(Map<String, String> query) throws IOException {
        ObjectNode response = json.createObjectNode();
        ArrayNode page = response.putArray("items");
        String prefix = query.getOrDefault("prefix", "");
        boolean truncated = false;
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key().startsWith(prefix)) {
                continue;
            }
            if (page.size() == MAXIMUM_PAGE_ITEMS) {
                truncated = true;
                break;
            }
            page.add(node(item));
        }
        response.put("truncated", truncated).put("at", revision);
        return json.writeValueAsBytes(response);
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long deadlineMillis = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        byte[] body;
        synchronized (this) {
            awaitChange(after, deadlineMillis);
            nameEpoch(exchange);
            if (after < compactedRevision || after > revision) {
                body = new byte[0];
            } else {
                body = json.writeValueAsBytes(events(after));
            }
        }
        StandInServer.respond(exchange, body.length == 0 ? 410 : 200, body);
    }

    private void awaitChange(long after, long deadlineMillis) {
        try {
            while (revision == after && System.currentTimeMillis() < deadlineMillis) {
                wait(Math.max(1, deadlineMillis - System.currentTimeMillis()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ObjectNode events(long after) {
        ObjectNode response = json.createObjectNode();
        ArrayNode events = response.putArray("events");
        history.stream().filter(item -> item.revision() > after).forEach(item -> events.add(node(item)));
        return response.put("at", revision);
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
