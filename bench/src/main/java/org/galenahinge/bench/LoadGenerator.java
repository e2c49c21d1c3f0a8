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
 * Generates open-loop load: requests start at random times (Poisson arrivals) whether or not earlier ones have ended.
 * The outcome of each is recorded.
 *
 * <pre>
 * LoadGenerator load = LoadGenerator.start(seedUrls, mix, recorder, seed);
 * load.stop(Duration.ofSeconds(20));
 * </pre>
 */
public final class LoadGenerator implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PROMPT_KINDS = 24;

    private final Mix mix;
    private final OutcomeRecorder recorder;
    private final Random random;
    private final long seed;
    private final EntryPicker entries;
    private final ExecutorService executor;
    private final HttpClient client;
    private final Thread arrivalThread;
    private final AtomicLong inFlight = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private volatile boolean running = true;

    /**
     * The rates and the content of the requests.
     *
     * @param draftsPerSecond drafts a second
     * @param ordersPerSecond orders a second
     * @param model the model requested by drafts
     * @param prefixWords the length of the prefix that prompts of one kind share, in words
     * @param tokens tokens requested for each draft
     * @param organisations relative shares of the organisations; the organisation at index i is named
     *     {@code organisation-i}
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

    private LoadGenerator(List<String> seedUrls, Mix mix, OutcomeRecorder recorder, long seed) {
        this.mix = mix;
        this.recorder = recorder;
        this.seed = seed;
        this.random = new Random(seed);
        this.entries = new EntryPicker(seedUrls, seed + 1);
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
        this.arrivalThread = new Thread(this::run, "arrivals");
        this.arrivalThread.setDaemon(true);
    }

    /**
     * Starts sending requests on a thread of its own.
     *
     * @param seedUrls URLs of the entries that are known from the start
     * @param mix the rates and the content of the requests
     * @param recorder where outcomes are recorded
     * @param seed the seed of every random choice
     * @return the running load
     */
    public static LoadGenerator start(List<String> seedUrls, Mix mix, OutcomeRecorder recorder, long seed) {
        LoadGenerator load = new LoadGenerator(
                seedUrls, Objects.requireNonNull(mix, "mix"), Objects.requireNonNull(recorder, "recorder"), seed);
        load.arrivalThread.start();
        return load;
    }

    /**
     * Stops sending and waits until every request has an outcome.
     *
     * @param timeout the maximum time to wait
     * @return the number of requests that still have no outcome when {@code timeout} has passed
     */
    public long stop(Duration timeout) {
        running = false;
        long deadline = System.nanoTime() + timeout.toNanos();
        while (inFlight.get() > 0 && System.nanoTime() - deadline < 0) {
            HttpTool.pause(20);
        }
        return inFlight.get();
    }

    /**
     * Returns the number of requests sent so far.
     *
     * @return the count
     */
    public long sent() {
        return sent.get();
    }

    @Override
    public void close() {
        running = false;
        entries.close();
        executor.shutdownNow();
    }

    private void run() {
        double requestsPerSecond = mix.draftsPerSecond() + mix.ordersPerSecond();
        long dueNanos = System.nanoTime();
        while (running) {
            dueNanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
            }
            if (running) {
                send(random.nextDouble() * requestsPerSecond < mix.draftsPerSecond(), dueNanos);
            }
        }
    }

    private void send(boolean draft, long dueNanos) {
        long number = sent.incrementAndGet();
        String organisation = chooseOrganisation();
        inFlight.incrementAndGet();
        if (draft) {
            DraftRequest.Parameters parameters =
                    new DraftRequest.Parameters(mix.model(), newPrompt(number), mix.tokens(), organisation);
            DraftRequest.send(client, entries, recorder, parameters, dueNanos)
                    .whenComplete((outcome, error) -> inFlight.decrementAndGet());
        } else {
            OrderRequest.send(client, entries, recorder, "order-" + seed + "-" + number, organisation, dueNanos)
                    .whenComplete((outcome, error) -> inFlight.decrementAndGet());
        }
    }

    private String chooseOrganisation() {
        double remaining = random.nextDouble()
                * mix.organisations().stream().mapToDouble(share -> share).sum();
        for (int index = 0; index < mix.organisations().size(); index++) {
            remaining -= mix.organisations().get(index);
            if (remaining < 0) {
                return "organisation-" + index;
            }
        }
        return "organisation-0";
    }

    /** Returns a prompt of a random kind: prompts of one kind share a prefix, and each ends in its own number. */
    private String newPrompt(long number) {
        int kind = random.nextInt(PROMPT_KINDS);
        StringBuilder prompt = new StringBuilder();
        for (int word = 0; word < mix.prefixWords(); word++) {
            prompt.append("kind").append(kind).append('w').append(word).append(' ');
        }
        return prompt.append("request ").append(number).toString();
    }
}
