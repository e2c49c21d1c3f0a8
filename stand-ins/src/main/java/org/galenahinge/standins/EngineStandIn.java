package org.galenahinge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stands in for a model engine: it batches continuously, caches prompt prefixes in limited memory, honours priorities,
 * streams and cancels, loads weights, and takes or ignores fencing numbers.
 *
 * <p>It fails loudly if it is ever asked to answer without whole weights, or to load while it answers: it prints
 * VIOLATION, counts it in its state, and answers with an error.
 */
public final class EngineStandIn implements HttpStandIn.Handler {
    private static final int FENCED = 412;

    private final ActorSystem<?> system;
    private final Shape shape;
    private final PrefixCache cache;
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>();
    private final List<Sequence> running = new ArrayList<>();
    private String loadedKey = "";
    private String fingerprint = "";
    private String role = "both";
    private boolean loading;
    private long fencingNumber;
    private long violations;
    private long answered;
    private long promptTokens;
    private volatile boolean open = true;

    /**
     * Creates an engine without weights and starts its batching thread.
     *
     * @param system runs its streams
     * @param shape how it behaves
     */
    public EngineStandIn(ActorSystem<?> system, Shape shape) {
        this.system = system;
        this.shape = shape;
        this.cache = new PrefixCache(shape.cacheTokens());
        Thread batching = new Thread(this::batch, "batching");
        batching.setDaemon(true);
        batching.start();
    }

    /**
     * How an engine behaves.
     *
     * @param capacity the most requests that it runs at once
     * @param stepMicros the time of one step with one request, in microseconds
     * @param stepMicrosPerRequest the time that each further request adds to a step, in microseconds
     * @param promptTokensPerStep the prompt tokens that it reads in one step
     * @param cacheTokens the tokens that its prefix cache holds
     * @param loadMillis how long loading takes, in milliseconds
     * @param fencing whether it refuses orders with an old fencing number
     */
    public record Shape(
            int capacity,
            int stepMicros,
            int stepMicrosPerRequest,
            int promptTokensPerStep,
            int cacheTokens,
            int loadMillis,
            boolean fencing) {}

    /** Stops the batching thread. */
    public void stop() {
        open = false;
    }

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        if (path.equals("/engine/state")) {
            return HttpStandIn.now(HttpStandIn.json(200, state()));
        }
        if (path.equals("/engine/weights") && request.method().equals(HttpMethods.PUT)) {
            return HttpStandIn.body(system, request).thenCompose(image -> load(request, image));
        }
        if (path.equals("/v1/chat/completions")) {
            return HttpStandIn.body(system, request).thenCompose(body -> chat(request, body));
        }
        request.discardEntityBytes(system);
        return HttpStandIn.now(HttpStandIn.status(404));
    }

    private synchronized State state() {
        return new State(
                loadedKey,
                fingerprint,
                loading,
                role,
                shape.fencing() ? fencingNumber : 0,
                running.size() + waiting.size(),
                shape.capacity(),
                violations,
                answered,
                promptTokens,
                cache.hitTokens());
    }

    private CompletionStage<HttpResponse> load(HttpRequest request, byte[] image) {
        long number =
                Long.parseLong(HttpStandIn.header(request, "fencing-number").orElse("0"));
        String key = HttpStandIn.header(request, "weights-key").orElse("");
        String wanted = HttpStandIn.header(request, "weights-fingerprint").orElse("");
        synchronized (this) {
            if (shape.fencing() && number < fencingNumber) {
                return HttpStandIn.now(HttpStandIn.status(FENCED));
            }
            if (loading) {
                return HttpStandIn.now(HttpStandIn.status(409));
            }
            if (!running.isEmpty() || !waiting.isEmpty()) {
                violation("asked to load " + key + " while it answers from " + loadedKey);
                return HttpStandIn.now(HttpStandIn.status(409));
            }
            fencingNumber = Math.max(fencingNumber, number);
            loading = true;
            loadedKey = "";
            fingerprint = "";
        }
        boolean whole = WeightsImage.fingerprintOf(key, image).equals(Optional.of(wanted));
        return HttpStandIn.later(shape.loadMillis(), () -> loaded(request, key, wanted, whole));
    }

    private synchronized HttpResponse loaded(HttpRequest request, String key, String wanted, boolean whole) {
        loading = false;
        if (!whole) {
            violation("was given partial or mixed weights as " + key);
            return HttpStandIn.status(422);
        }
        loadedKey = key;
        fingerprint = wanted;
        role = HttpStandIn.header(request, "engine-role").orElse("both");
        cache.clear();
        return HttpStandIn.json(200, state());
    }

    private CompletionStage<HttpResponse> chat(HttpRequest request, byte[] body) {
        JsonNode document = HttpStandIn.read(body);
        String requestId = HttpStandIn.header(request, "x-request-id").orElse("");
        int priority =
                Integer.parseInt(HttpStandIn.header(request, "x-priority").orElse("0"));
        Sequence sequence;
        synchronized (this) {
            if (loading || fingerprint.isEmpty()) {
                violation("asked to answer " + requestId + " without whole weights");
                return HttpStandIn.now(HttpStandIn.status(500));
            }
            sequence = Sequence.of(requestId, document, fingerprint, priority, system);
            int cached = cache.hit(sequence.promptTokens());
            sequence.setPromptTokensLeft(sequence.promptTokens().size() - cached);
            promptTokens += sequence.promptTokens().size();
            waiting.add(sequence);
        }
        return sequence.response();
    }

    private void violation(String what) {
        violations++;
        System.err.println("VIOLATION: the engine " + what);
    }

    private void batch() {
        while (open) {
            int size = step();
            long micros = shape.stepMicros() + (long) shape.stepMicrosPerRequest() * Math.max(0, size - 1);
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(micros));
        }
    }

    private synchronized int step() {
        while (running.size() < shape.capacity() && !waiting.isEmpty()) {
            running.add(waiting.remove());
        }
        int promptBudget = shape.promptTokensPerStep();
        for (Iterator<Sequence> sequences = running.iterator(); sequences.hasNext(); ) {
            Sequence sequence = sequences.next();
            promptBudget = sequence.readPrompt(promptBudget);
            if (sequence.isCancelled()) {
                sequences.remove();
            } else if (sequence.isPromptRead() && sequence.emit()) {
                answered++;
                cache.add(sequence.promptTokens());
                sequences.remove();
            }
        }
        waiting.removeIf(Sequence::isCancelled);
        return running.size();
    }

    private record State(
            String loadedKey,
            String fingerprint,
            boolean loading,
            String role,
            long fencingNumber,
            int running,
            int capacity,
            long violations,
            long answered,
            long promptTokens,
            long cachedPromptTokens) {}

    /** Reads the image of weights that an order carries: a line with the chunks, then their contents. */
    static final class WeightsImage {
        private WeightsImage() {}

        /** The fingerprint of the image, or empty when a chunk is missing or is not what its hash names. */
        static Optional<String> fingerprintOf(String key, byte[] image) {
            int lineEnd = 0;
            while (lineEnd < image.length && image[lineEnd] != '\n') {
                lineEnd++;
            }
            StringBuilder names = new StringBuilder(key);
            int position = lineEnd + 1;
            for (JsonNode chunk : HttpStandIn.read(Arrays.copyOf(image, lineEnd))) {
                int end = position + chunk.path("bytes").asInt();
                if (end > image.length) {
                    return Optional.empty();
                }
                byte[] content = Arrays.copyOfRange(image, position, end);
                if (!WeightsStandIn.hash(content).equals(chunk.path("hash").asText())) {
                    return Optional.empty();
                }
                names.append('\n').append(chunk.path("hash").asText());
                position = end;
            }
            boolean whole = position == image.length;
            return whole
                    ? Optional.of(WeightsStandIn.hash(names.toString().getBytes(StandardCharsets.UTF_8)))
                    : Optional.empty();
        }
    }
}
