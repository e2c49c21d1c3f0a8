package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** Stands in for the platform's store, which the system can only read. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 50;

    private final Listener listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 1;

    /** An item as it was written; the value is in Base64. */
    private record Item(String key, String value, long revision) {
        String json() {
            return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"created\":" + revision
                    + ",\"lease\":0,\"value\":\"" + value + "\"}";
        }
    }

    Store(String host, int port) throws IOException {
        listener = new Listener(host, port, this::answer);
    }

    String address() {
        return listener.address();
    }

    /** Writes an item. Its return is the ack. */
    synchronized void put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        Item item = new Item(key, encoded, ++revision);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    /** Declares a version of the model, as the operator does. */
    void declareVersion(CaseRun run, long version) {
        put("op/version/" + Deployment.MODEL, "{\"model\":\"" + Deployment.MODEL + "\",\"version\":" + version + "}");
        run.record("the operator's version " + version + " is acknowledged");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private boolean answer(Message request, OutputStream output) throws IOException, InterruptedException {
        String path = request.target().split("\\?")[0];
        switch (path) {
            case "/galenahinge/kv-range" -> Listener.respondJson(output, 200, "", range(request));
            case "/galenahinge/kv-watch" -> Listener.respondJson(output, 200, "", watch(request));
            case "/galenahinge/kv-key" -> answerKey(request, output);
            default -> Listener.respond(output, 404, "", new byte[0]);
        }
        return true;
    }

    private void answerKey(Message request, OutputStream output) throws IOException {
        Item item;
        synchronized (this) {
            item = items.get(text(request, "key"));
        }
        if (item == null) {
            Listener.respond(output, 404, "", new byte[0]);
        } else {
            Listener.respondJson(output, 200, "", item.json());
        }
    }

    private synchronized String range(Message request) {
        List<String> page = new ArrayList<>();
        boolean truncated = false;
        for (Item item : items.tailMap(text(request, "after"), false).values()) {
            if (!item.key().startsWith(text(request, "prefix"))) {
                continue;
            }
            if (page.size() == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            page.add(item.json());
        }
        return "{\"items\":[" + String.join(",", page) + "],\"truncated\":" + truncated + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(Message request) throws InterruptedException {
        long after = Long.parseLong(text(request, "after"));
        long endMillis = System.currentTimeMillis() + Long.parseLong(text(request, "wait_ms"));
        while (revision <= after && System.currentTimeMillis() < endMillis) {
            wait(Math.max(1, endMillis - System.currentTimeMillis()));
        }
        List<String> events = history.stream()
                .filter(item -> item.revision() > after && item.key().startsWith(text(request, "prefix")))
                .map(Item::json)
                .toList();
        return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
    }

    private static String text(Message request, String parameter) {
        return URLDecoder.decode(request.parameter(parameter).orElse(""), StandardCharsets.UTF_8);
    }
}
