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

/** One request in an engine: its prompt, and the tokens that it gives out step by step. */
final class Sequence implements Comparable<Sequence> {
    private static final int DEFAULT_TOKENS = 32;
    private static final int TOKENS_WAITING = 16_384;
    private static final AtomicLong ARRIVALS = new AtomicLong();

    private final String requestId;
    private final String model;
    private final String prompt;
    private final List<String> promptTokens;
    private final int tokens;
    private final boolean streamed;
    private final String fingerprint;
    private final int priority;
    private final long arrival = ARRIVALS.getAndIncrement();
    private final BoundedSourceQueue<ByteString> queue;
    private final Source<ByteString, NotUsed> stream;
    private final CompletableFuture<HttpResponse> whole = new CompletableFuture<>();
    private volatile boolean cancelled;
    private int promptTokensLeft;
    private int emitted;

    private Sequence(
            String requestId,
            JsonNode document,
            String prompt,
            String fingerprint,
            int priority,
            Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> pair) {
        this.requestId = requestId;
        this.model = document.path("model").asText();
        this.prompt = prompt;
        this.promptTokens = List.of(prompt.split("\\s+"));
        this.tokens = document.path("max_tokens")
                .asInt(document.path("max_completion_tokens").asInt(DEFAULT_TOKENS));
        this.streamed = document.path("stream").asBoolean(false);
        this.fingerprint = fingerprint;
        this.priority = priority;
        this.queue = pair.first();
        this.stream = pair.second().watchTermination((used, done) -> {
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
                Source.<ByteString>queue(TOKENS_WAITING).preMaterialize(system));
    }

    List<String> promptTokens() {
        return promptTokens;
    }

    void setPromptTokensLeft(int left) {
        promptTokensLeft = left;
    }

    /** Reads prompt tokens within a budget and returns what is left of it. */
    int readPrompt(int budget) {
        int read = Math.min(budget, promptTokensLeft);
        promptTokensLeft -= read;
        return budget - read;
    }

    boolean isPromptRead() {
        return promptTokensLeft == 0;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Gives out the next token; returns whether it was the last one. */
    boolean emit() {
        int index = emitted++;
        boolean last = emitted >= tokens;
        if (streamed) {
            queue.offer(event(DraftText.token(prompt, index), last));
            if (last) {
                queue.offer(ByteString.fromString("data: [DONE]\n\n"));
                queue.complete();
            }
        } else if (last) {
            whole.complete(HttpStandIn.json(200, completion()).addHeader(RawHeader.create("x-request-id", requestId)));
        }
        return last;
    }

    CompletionStage<HttpResponse> response() {
        if (!streamed) {
            return whole;
        }
        return HttpStandIn.now(HttpResponse.create()
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
        choice.putObject("message").put("role", "assistant").put("content", DraftText.whole(prompt, tokens));
        choice.put("finish_reason", "stop");
        document.putObject("usage")
                .put("prompt_tokens", promptTokens.size())
                .put("completion_tokens", tokens)
                .put("total_tokens", promptTokens.size() + tokens);
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
