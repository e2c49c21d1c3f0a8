package org.galenahinge.bench;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests at random times that do not wait for answers, and records every one in a ledger.
 *
 * <pre>
 * Load load = Load.start(entries, mix, ledger, seed);
 * load.stop(Duration.ofSeconds(20));
 * </pre>
 */
public final class Load implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PREFIXES = 24;

    private final Mix mix;
    private final Ledger ledger;
    private final Random random;
    private final long seed;
    private final EntryPicker entries;
    private final ExecutorService executor;
    private final HttpClient client;
    private final Thread thread;
    private final AtomicLong underWay = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private volatile boolean open = true;

    /**
     * What is sent.
     *
     * @param draftsPerSecond drafts a second
     * @param ordersPerSecond orders a second
     * @param model the model asked for
     * @param prefixWords words that prompts of one kind have in common
     * @param tokens tokens of a draft
     * @param organisations shares of the organisations; the index names the organisation
     */
    public record Mix(
            double draftsPerSecond,
            double ordersPerSecond,
            String model,
            int prefixWords,
            int tokens,
            List<Double> organisations) {
        /** Copies the shares. */
        public Mix {
            Objects.requireNonNull(model, "model");
            organisations = List.copyOf(organisations);
        }
    }

    private Load(List<String> seeds, Mix mix, Ledger ledger, long seed) {
        this.mix = mix;
        this.ledger = ledger;
        this.seed = seed;
        this.random = new Random(seed);
        this.entries = new EntryPicker(seeds, seed + 1);
        this.executor = Executors.newFixedThreadPool(4, task -> {
            Thread worker = new Thread(task, "caller");
            worker.setDaemon(true);
            return worker;
        });
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .executor(executor)
                .build();
        this.thread = new Thread(this::run, "arrivals");
        this.thread.setDaemon(true);
    }

    /**
     * Starts sending.
     *
     * @param seeds entries that are known from the start
     * @param mix what is sent
     * @param ledger where outcomes are recorded
     * @param seed the seed of all that is random
     * @return the running load
     */
    public static Load start(List<String> seeds, Mix mix, Ledger ledger, long seed) {
        Load load = new Load(seeds, Objects.requireNonNull(mix, "mix"), Objects.requireNonNull(ledger, "ledger"), seed);
        load.thread.start();
        return load;
    }

    /**
     * Sends nothing more and waits for the answers.
     *
     * @param limit how long to wait
     * @return how many requests are still without an outcome
     */
    public long stop(Duration limit) {
        open = false;
        long until = System.nanoTime() + limit.toNanos();
        while (underWay.get() > 0 && System.nanoTime() - until < 0) {
            HttpTool.pause(20);
        }
        return underWay.get();
    }

    /**
     * Returns how many requests were sent.
     *
     * @return the count
     */
    public long sent() {
        return sent.get();
    }

    @Override
    public void close() {
        open = false;
        entries.close();
        executor.shutdownNow();
    }

    private void run() {
        double total = mix.draftsPerSecond() + mix.ordersPerSecond();
        long due = System.nanoTime();
        while (open) {
            due += (long) (-Math.log(1 - random.nextDouble()) / total * NANOS_PER_SECOND);
            long wait = due - System.nanoTime();
            if (wait > 0) {
                LockSupport.parkNanos(wait);
            }
            if (open) {
                send(random.nextDouble() * total < mix.draftsPerSecond(), due);
            }
        }
    }

    private void send(boolean draft, long dueNanos) {
        long number = sent.incrementAndGet();
        String organisation = organisation();
        underWay.incrementAndGet();
        if (draft) {
            DraftCall.Request request = new DraftCall.Request(mix.model(), prompt(number), mix.tokens(), organisation);
            DraftCall.make(client, entries, ledger, request, dueNanos)
                    .whenComplete((outcome, error) -> underWay.decrementAndGet());
        } else {
            OrderCall.place(client, entries, ledger, "order-" + seed + "-" + number, organisation, dueNanos)
                    .whenComplete((outcome, error) -> underWay.decrementAndGet());
        }
    }

    private String organisation() {
        double drawn = random.nextDouble()
                * mix.organisations().stream().mapToDouble(share -> share).sum();
        for (int index = 0; index < mix.organisations().size(); index++) {
            drawn -= mix.organisations().get(index);
            if (drawn < 0) {
                return "organisation-" + index;
            }
        }
        return "organisation-0";
    }

    /** Prompts of one kind begin with the same words, and each ends in its own number. */
    private String prompt(long number) {
        int kind = random.nextInt(PREFIXES);
        StringBuilder prompt = new StringBuilder();
        for (int word = 0; word < mix.prefixWords(); word++) {
            prompt.append("kind").append(kind).append('w').append(word).append(' ');
        }
        return prompt.append("request ").append(number).toString();
    }
}
