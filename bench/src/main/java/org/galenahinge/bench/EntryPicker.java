package org.galenahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Does what callers do: asks the system which entries to use, keeps the answer a while, and drops dead ones. */
final class EntryPicker implements AutoCloseable {
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LEAST_REFRESH_MILLIS = 1_000;

    private final List<String> seeds;
    private final Random random;
    private final Map<String, Long> avoidUntil = new ConcurrentHashMap<>();
    private final ScheduledExecutorService refresher = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "entries");
        thread.setDaemon(true);
        return thread;
    });
    private volatile List<Weighted> entries = List.of();

    EntryPicker(List<String> seeds, long seed) {
        this.seeds = List.copyOf(seeds);
        this.random = new Random(seed);
        refresh();
        refresher.scheduleWithFixedDelay(
                this::refresh, LEAST_REFRESH_MILLIS, LEAST_REFRESH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** An entry to use now, other than those that failed this call. */
    Optional<String> pick(Set<String> failed) {
        long now = System.nanoTime();
        List<Weighted> usable = new ArrayList<>();
        for (Weighted entry : entries) {
            Long until = avoidUntil.get(entry.url());
            if (!failed.contains(entry.url()) && (until == null || now - until > 0)) {
                usable.add(entry);
            }
        }
        if (usable.isEmpty()) {
            return entries.stream()
                    .map(Weighted::url)
                    .filter(url -> !failed.contains(url))
                    .findFirst();
        }
        return Optional.of(draw(usable));
    }

    void failed(String url) {
        avoidUntil.put(url, System.nanoTime() + AVOID_NANOS);
    }

    @Override
    public void close() {
        refresher.shutdownNow();
    }

    private String draw(List<Weighted> usable) {
        int total = usable.stream().mapToInt(Weighted::weight).sum();
        int drawn;
        synchronized (random) {
            drawn = random.nextInt(total);
        }
        for (Weighted entry : usable) {
            drawn -= entry.weight();
            if (drawn < 0) {
                return entry.url();
            }
        }
        return usable.get(0).url();
    }

    private void refresh() {
        List<String> known = new ArrayList<>(entries.stream().map(Weighted::url).toList());
        known.addAll(seeds);
        for (String url : known) {
            Optional<JsonNode> answer = HttpTool.get(url + "/v1/entries");
            if (answer.isPresent() && !answer.get().path("entries").isEmpty()) {
                List<Weighted> next = new ArrayList<>();
                answer.get()
                        .path("entries")
                        .forEach(entry -> next.add(new Weighted(
                                entry.path("url").asText(),
                                Math.max(1, entry.path("weight").asInt()))));
                entries = next;
                return;
            }
        }
        if (entries.isEmpty()) {
            entries = seeds.stream().map(url -> new Weighted(url, 1)).toList();
        }
    }

    private record Weighted(String url, int weight) {}
}
