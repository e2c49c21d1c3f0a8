package org.galenahinge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * One request in an engine: its prompt, and the response, which grows by one token a step. Sequences are ordered by
 * priority, the lowest number first, and then by arrival.
 */
final class Sequence implements Comparable<Sequence> {
    private static final int DEFAULT_OUTPUT_TOKENS = 32;
    private static final int MAXIMUM_BUFFERED_EVENTS = 16_384;
    private static final AtomicLong ARRIVALS = new AtomicLong();

    private final String requestId;
    private final String model;
    private final String prompt;
    private final List<String> promptTokens;
    private final int outputTokens;
    private final boolean streaming;
    private final String fingerprint;
    private final int priority;
    private final long arrival = ARRIVALS.getAndIncrement();
    private final BoundedSourceQueue<ByteString> queue;
    private final Source<ByteString, NotUsed> stream;
    private final CompletableFuture<HttpResponse> completeResponse = new CompletableFuture<>();
    private volatile boolean cancelled;
    private int remainingPromptTokens;
    private int emittedTokens;

    private Sequence(
            String requestId,
            JsonNode document,
            String prompt,
            String fingerprint,
            int priority,
            Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> queueAndStream) {
        this.requestId = requestId;
        this.model = document.path("model").asText();
        this.prompt = prompt;
        this.promptTokens = List.of(prompt.split("\\s+"));
        this.outputTokens = document.path("max_tokens")
                .asInt(document.path("max_completion_tokens").asInt(DEFAULT_OUTPUT_TOKENS));
        this.streaming = document.path("stream").asBoolean(false);
        this.fingerprint = fingerprint;
        this.priority = priority;
        this.queue = queueAndStream.first();
        this.stream = queueAndStream.second().watchTermination((used, done) -> {
            done.whenComplete((value, error) -> cancelled = true);
            return used;
        });
    }

    static Sequence of(String requestId, JsonNode document, String fingerprint, int priority, ActorSystem<?> system) {
        List<String> contents = new ArrayList<>();
        document.path("messages")
                .forEach(message -> contents.add(message.path("content").asText()));
        return new Sequence(
                requestId,
                document,
                String.join("\n", contents),
                fingerprint,
                priority,
                Source.<ByteString>queue(MAXIMUM_BUFFERED_EVENTS).preMaterialize(system));
    }

    List<String> promptTokens() {
        return promptTokens;
    }

    void setRemainingPromptTokens(int tokens) {
        remainingPromptTokens = tokens;
    }

    /** Processes prompt tokens, at most {@code budget} of them, and returns the rest of the budget. */
    int processPrompt(int budget) {
        int processed = Math.min(budget, remainingPromptTokens);
        remainingPromptTokens -= processed;
        return budget - processed;
    }

    boolean isPromptProcessed() {
        return remainingPromptTokens == 0;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Appends the next token to the response; returns whether it was the last one. */
    boolean emitToken() {
        int index = emittedTokens++;
        boolean last = emittedTokens >= outputTokens;
        if (streaming) {
            queue.offer(event(DraftText.token(prompt, index), last));
            if (last) {
                queue.offer(ByteString.fromString("data: [DONE]\n\n"));
                queue.complete();
            }
        } else if (last) {
            completeResponse.complete(
                    HttpStandIn.json(200, completion()).addHeader(RawHeader.create("x-request-id", requestId)));
        }
        return last;
    }

    CompletionStage<HttpResponse> response() {
        if (!streaming) {
            return completeResponse;
        }
        return HttpStandIn.completed(HttpResponse.create()
                .addHeader(RawHeader.create("x-request-id", requestId))
                .withEntity(HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), stream)));
    }

    @Override
    public int compareTo(Sequence other) {
        int byPriority = Integer.compare(priority, other.priority);
        return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Sequence sequence && sequence.arrival == arrival;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(arrival);
    }

    private ByteString event(String token, boolean last) {
        ObjectNode event = document("chat.completion.chunk");
        ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("role", "assistant").put("content", token);
        choice.put("finish_reason", last ? "stop" : null);
        return ByteString.fromString("data: " + event + "\n\n");
    }

    private ObjectNode completion() {
        ObjectNode document = document("chat.completion");
        ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
        choice.putObject("message")
                .put("role", "assistant")
                .put("content", DraftText.completeText(prompt, outputTokens));
        choice.put("finish_reason", "stop");
        document.putObject("usage")
                .put("prompt_tokens", promptTokens.size())
                .put("completion_tokens", outputTokens)
                .put("total_tokens", promptTokens.size() + outputTokens);
        return document;
    }

    private ObjectNode document(String object) {
        return HttpStandIn.JSON
                .createObjectNode()
                .put("id", requestId)
                .put("object", object)
                .put("created", System.currentTimeMillis() / 1_000)
                .put("model", model)
                .put("system_fingerprint", fingerprint);
    }
}
