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
 * Stands in for a model engine with continuous batching, a bounded prefix cache, request priorities, streaming,
 * cancellation and loading of weights; it checks or ignores fencing numbers.
 *
 * <p>A request that arrives while no complete weights are loaded, a load command that arrives while requests are in
 * progress, and weights that are incomplete or corrupt are violations: the engine prints a line with VIOLATION, counts
 * it in its state, and responds with an error status.
 */
public final class EngineStandIn implements HttpStandIn.Handler {
    private static final int OLD_FENCING_NUMBER_STATUS = 412;

    private final ActorSystem<?> system;
    private final Parameters parameters;
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
    private volatile boolean stopped;

    /**
     * Creates an engine without weights and starts its batching thread.
     *
     * @param system the actor system that runs its streams
     * @param parameters its capacity and timing
     */
    public EngineStandIn(ActorSystem<?> system, Parameters parameters) {
        this.system = system;
        this.parameters = parameters;
        this.cache = new PrefixCache(parameters.cacheTokens());
        Thread batching = new Thread(this::runBatches, "batching");
        batching.setDaemon(true);
        batching.start();
    }

    /**
     * The capacity and timing of an engine.
     *
     * @param capacity the maximum number of requests that it runs at once
     * @param stepMicros the duration of one step with one request, in microseconds
     * @param stepMicrosPerRequest the time that each further request adds to a step, in microseconds
     * @param promptTokensPerStep the maximum number of prompt tokens that it processes in one step, over all requests
     * @param cacheTokens the capacity of its prefix cache, in tokens
     * @param loadMillis how long loading weights takes, in milliseconds
     * @param fencing whether it rejects load commands with an old fencing number
     */
    public record Parameters(
            int capacity,
            int stepMicros,
            int stepMicrosPerRequest,
            int promptTokensPerStep,
            int cacheTokens,
            int loadMillis,
            boolean fencing) {}

    /** Stops the batching thread after its current step. */
    public void stop() {
        stopped = true;
    }

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        if (path.equals("/engine/state")) {
            return HttpStandIn.completed(HttpStandIn.json(200, state()));
        }
        if (path.equals("/engine/weights") && request.method().equals(HttpMethods.PUT)) {
            return HttpStandIn.readBody(system, request).thenCompose(image -> load(request, image));
        }
        if (path.equals("/v1/chat/completions")) {
            return HttpStandIn.readBody(system, request).thenCompose(body -> chat(request, body));
        }
        request.discardEntityBytes(system);
        return HttpStandIn.completed(HttpStandIn.status(404));
    }

    private synchronized State state() {
        return new State(
                loadedKey,
                fingerprint,
                loading,
                role,
                parameters.fencing() ? fencingNumber : 0,
                running.size() + waiting.size(),
                parameters.capacity(),
                violations,
                answered,
                promptTokens,
                cache.hitTokens());
    }

    private CompletionStage<HttpResponse> load(HttpRequest request, byte[] image) {
        long commandNumber =
                Long.parseLong(HttpStandIn.header(request, "fencing-number").orElse("0"));
        String key = HttpStandIn.header(request, "weights-key").orElse("");
        String expectedFingerprint =
                HttpStandIn.header(request, "weights-fingerprint").orElse("");
        synchronized (this) {
            if (parameters.fencing() && commandNumber < fencingNumber) {
                return HttpStandIn.completed(HttpStandIn.status(OLD_FENCING_NUMBER_STATUS));
            }
            if (loading) {
                return HttpStandIn.completed(HttpStandIn.status(409));
            }
            if (!running.isEmpty() || !waiting.isEmpty()) {
                reportViolation("asked to load " + key + " while it serves " + loadedKey);
                return HttpStandIn.completed(HttpStandIn.status(409));
            }
            fencingNumber = Math.max(fencingNumber, commandNumber);
            loading = true;
            loadedKey = "";
            fingerprint = "";
        }
        boolean complete = WeightsImage.fingerprintOf(key, image).equals(Optional.of(expectedFingerprint));
        return HttpStandIn.afterDelay(
                parameters.loadMillis(), () -> finishLoading(request, key, expectedFingerprint, complete));
    }

    private synchronized HttpResponse finishLoading(
            HttpRequest request, String key, String expectedFingerprint, boolean complete) {
        loading = false;
        if (!complete) {
            reportViolation("was given partial or mixed weights as " + key);
            return HttpStandIn.status(422);
        }
        loadedKey = key;
        fingerprint = expectedFingerprint;
        role = HttpStandIn.header(request, "engine-role").orElse("both");
        cache.clear();
        return HttpStandIn.json(200, state());
    }

    private CompletionStage<HttpResponse> chat(HttpRequest request, byte[] body) {
        JsonNode document = HttpStandIn.parseJson(body);
        String requestId = HttpStandIn.header(request, "x-request-id").orElse("");
        int priority =
                Integer.parseInt(HttpStandIn.header(request, "x-priority").orElse("0"));
        Sequence sequence;
        synchronized (this) {
            if (loading || fingerprint.isEmpty()) {
                reportViolation("asked to serve request " + requestId + " without complete weights");
                return HttpStandIn.completed(HttpStandIn.status(500));
            }
            sequence = Sequence.of(requestId, document, fingerprint, priority, system);
            int cachedTokens = cache.lookUp(sequence.promptTokens());
            sequence.setRemainingPromptTokens(sequence.promptTokens().size() - cachedTokens);
            promptTokens += sequence.promptTokens().size();
            waiting.add(sequence);
        }
        return sequence.response();
    }

    private void reportViolation(String description) {
        violations++;
        System.err.println("VIOLATION: the engine " + description);
    }

    private void runBatches() {
        while (!stopped) {
            int batchSize = step();
            long micros =
                    parameters.stepMicros() + (long) parameters.stepMicrosPerRequest() * Math.max(0, batchSize - 1);
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(micros));
        }
    }

    /** Runs one step; returns how many requests are still running. */
    private synchronized int step() {
        while (running.size() < parameters.capacity() && !waiting.isEmpty()) {
            running.add(waiting.remove());
        }
        int remainingBudget = parameters.promptTokensPerStep();
        for (Iterator<Sequence> sequences = running.iterator(); sequences.hasNext(); ) {
            Sequence sequence = sequences.next();
            remainingBudget = sequence.processPrompt(remainingBudget);
            if (sequence.isCancelled()) {
                sequences.remove();
            } else if (sequence.isPromptProcessed() && sequence.emitToken()) {
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

    /** Checks the weights image of a load command: a line of JSON that lists the chunks, then their contents. */
    static final class WeightsImage {
        private WeightsImage() {}

        /**
         * Returns the fingerprint of an image.
         *
         * @return the fingerprint; empty if a chunk is missing or does not match its hash, or if bytes follow the last
         *     chunk
         */
        static Optional<String> fingerprintOf(String key, byte[] image) {
            int lineEnd = 0;
            while (lineEnd < image.length && image[lineEnd] != '\n') {
                lineEnd++;
            }
            StringBuilder fingerprintInput = new StringBuilder(key);
            int position = lineEnd + 1;
            for (JsonNode chunk : HttpStandIn.parseJson(Arrays.copyOf(image, lineEnd))) {
                int end = position + chunk.path("bytes").asInt();
                if (end > image.length) {
                    return Optional.empty();
                }
                byte[] content = Arrays.copyOfRange(image, position, end);
                if (!WeightsStandIn.hash(content).equals(chunk.path("hash").asText())) {
                    return Optional.empty();
                }
                fingerprintInput.append('\n').append(chunk.path("hash").asText());
                position = end;
            }
            boolean complete = position == image.length;
            return complete
                    ? Optional.of(
                            WeightsStandIn.hash(fingerprintInput.toString().getBytes(StandardCharsets.UTF_8)))
                    : Optional.empty();
        }
    }
}
