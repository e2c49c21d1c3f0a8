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

/**
 * Chooses entries as callers do: asks the system every second which entries to use, and avoids an entry for 2 seconds
 * after a failure.
 */
final class EntryPicker implements AutoCloseable {
    private static final long COOL_DOWN_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long REFRESH_INTERVAL_MILLIS = 1_000;

    private final List<String> seedUrls;
    private final Random random;
    private final Map<String, Long> coolDownEndNanos = new ConcurrentHashMap<>();
    private final ScheduledExecutorService refresher = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "entries");
        thread.setDaemon(true);
        return thread;
    });
    private volatile List<WeightedEntry> entries = List.of();

    EntryPicker(List<String> seedUrls, long randomSeed) {
        this.seedUrls = List.copyOf(seedUrls);
        this.random = new Random(randomSeed);
        refresh();
        refresher.scheduleWithFixedDelay(
                this::refresh, REFRESH_INTERVAL_MILLIS, REFRESH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Chooses an entry at random, by weight, among those that have not failed lately. If there is none, returns the
     * first known one.
     *
     * @param failed URLs of entries that already failed for the same request; never returned
     */
    Optional<String> pick(Set<String> failed) {
        long now = System.nanoTime();
        List<WeightedEntry> usable = new ArrayList<>();
        for (WeightedEntry entry : entries) {
            Long endNanos = coolDownEndNanos.get(entry.url());
            if (!failed.contains(entry.url()) && (endNanos == null || now - endNanos > 0)) {
                usable.add(entry);
            }
        }
        if (usable.isEmpty()) {
            return entries.stream()
                    .map(WeightedEntry::url)
                    .filter(url -> !failed.contains(url))
                    .findFirst();
        }
        return Optional.of(chooseByWeight(usable));
    }

    void recordFailure(String url) {
        coolDownEndNanos.put(url, System.nanoTime() + COOL_DOWN_NANOS);
    }

    @Override
    public void close() {
        refresher.shutdownNow();
    }

    private String chooseByWeight(List<WeightedEntry> usable) {
        int total = usable.stream().mapToInt(WeightedEntry::weight).sum();
        int remaining;
        synchronized (random) {
            remaining = random.nextInt(total);
        }
        for (WeightedEntry entry : usable) {
            remaining -= entry.weight();
            if (remaining < 0) {
                return entry.url();
            }
        }
        return usable.get(0).url();
    }

    private void refresh() {
        List<String> known =
                new ArrayList<>(entries.stream().map(WeightedEntry::url).toList());
        known.addAll(seedUrls);
        for (String url : known) {
            Optional<JsonNode> document = HttpTool.get(url + "/v1/entries");
            if (document.isPresent() && !document.get().path("entries").isEmpty()) {
                List<WeightedEntry> next = new ArrayList<>();
                document.get()
                        .path("entries")
                        .forEach(entry -> next.add(new WeightedEntry(
                                entry.path("url").asText(),
                                Math.max(1, entry.path("weight").asInt()))));
                entries = next;
                return;
            }
        }
        if (entries.isEmpty()) {
            entries = seedUrls.stream().map(url -> new WeightedEntry(url, 1)).toList();
        }
    }

    private record WeightedEntry(String url, int weight) {}
}
