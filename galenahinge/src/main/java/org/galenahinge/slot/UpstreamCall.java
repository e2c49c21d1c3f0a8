package org.galenahinge.slot;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.FramingTruncation;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;
import org.galenahinge.engine.UpstreamClient;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.generated.CallStart;

/**
 * Hands one call to the upstream, once, and passes its answer on while checking that it is whole and its own.
 *
 * <p>A streamed draft is passed on event by event; each event must carry the fingerprint of the weights that the
 * call was routed for, and the last one must be the end mark.
 */
final class UpstreamCall {
    private static final ByteString EVENT_END = ByteString.fromString("\n\n");
    private static final ByteString END_MARK = ByteString.fromString("data: [DONE]");
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final int MAXIMUM_WHOLE_BYTES = 2 << 20;
    private static final String REQUEST_ID = "x-request-id";

    private final ActorSystem<?> system;
    private final CallReply reply;
    private final CallStart call;
    private final String fingerprint;
    private final BiConsumer<Verdict, KeptAnswer> ended;
    private final AtomicBoolean done = new AtomicBoolean();
    private volatile boolean endMarkSeen;
    private volatile Optional<UpstreamClient.Exchange> exchange = Optional.empty();

    private UpstreamCall(
            ActorSystem<?> system,
            CallReply reply,
            CallStart call,
            String fingerprint,
            BiConsumer<Verdict, KeptAnswer> ended) {
        this.system = system;
        this.reply = reply;
        this.call = call;
        this.fingerprint = fingerprint;
        this.ended = ended;
    }

    /**
     * Starts a call.
     *
     * @param system runs the streams
     * @param client the upstream
     * @param reply where the answer goes
     * @param call the call
     * @param fingerprint the fingerprint that a draft must carry, empty for a plain service
     * @param ended hears the verdict, and the whole answer of a plain service
     * @return the call under way
     */
    static UpstreamCall start(
            ActorSystem<?> system,
            UpstreamClient client,
            CallReply reply,
            CallStart call,
            String fingerprint,
            BiConsumer<Verdict, KeptAnswer> ended) {
        UpstreamCall running = new UpstreamCall(
                system,
                Objects.requireNonNull(reply, "reply"),
                Objects.requireNonNull(call, "call"),
                fingerprint,
                ended);
        running.send(client);
        return running;
    }

    /** Gives the call up; an upstream that watches its connection stops working on it. */
    void cancel(Reason reason, String detail) {
        finish(Verdict.mayHaveRun(reason, detail), KeptAnswer.NONE);
    }

    private void send(UpstreamClient client) {
        Duration timeout = Duration.ofMillis(call.getTimeoutMillis());
        HttpRequest request = HttpRequest.POST(call.getPath())
                .addHeader(RawHeader.create(REQUEST_ID, call.getRequestId()))
                .addHeader(RawHeader.create("x-priority", Integer.toString(call.getPriority())))
                .withEntity(HttpEntities.create(
                        ContentTypes.APPLICATION_JSON,
                        ByteString.fromByteBuffer(call.getBody().asReadOnlyByteBuffer())));
        UpstreamClient.Exchange started = client.send(request, timeout);
        exchange = Optional.of(started);
        if (done.get()) {
            started.close();
            return;
        }
        system.scheduler()
                .scheduleOnce(
                        timeout, () -> cancel(Reason.TIMEOUT, "no whole answer in time"), system.executionContext());
        started.outcome().whenComplete((outcome, error) -> handle(outcome));
    }

    private void handle(UpstreamClient.Outcome outcome) {
        if (outcome instanceof UpstreamClient.Outcome.NotSent notSent) {
            finish(Verdict.notRun(Reason.UNREACHABLE, notSent.detail(), Duration.ofMillis(200)), KeptAnswer.NONE);
            return;
        }
        if (outcome instanceof UpstreamClient.Outcome.Answered answered) {
            receive(answered.response());
            return;
        }
        UpstreamClient.Outcome.Lost lost = (UpstreamClient.Outcome.Lost) outcome;
        Reason reason = lost.timedOut() ? Reason.TIMEOUT : Reason.CONNECTION_LOST;
        finish(Verdict.mayHaveRun(reason, lost.detail()), KeptAnswer.NONE);
    }

    private void receive(HttpResponse response) {
        boolean own = response.getHeader(REQUEST_ID)
                .map(HttpHeader::value)
                .filter(call.getRequestId()::equals)
                .isPresent();
        if (!own) {
            finish(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the upstream answered another request"), KeptAnswer.NONE);
        } else if (call.getStreamed() && response.status().isSuccess()) {
            receiveEvents(response);
        } else {
            receiveWhole(response);
        }
    }

    private void receiveWhole(HttpResponse response) {
        response.entity()
                .toStrict(call.getTimeoutMillis(), MAXIMUM_WHOLE_BYTES, system)
                .whenComplete((entity, error) -> {
                    if (error != null) {
                        finish(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the answer was cut off"), KeptAnswer.NONE);
                        return;
                    }
                    String contentType = entity.getContentType().toString();
                    passWhole(new KeptAnswer(response.status().intValue(), contentType, entity.getData()));
                });
    }

    private void passWhole(KeptAnswer answer) {
        boolean draft = !fingerprint.isEmpty() && answer.status() == 200;
        if (draft && !answer.body().utf8String().contains(fingerprint)) {
            finish(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the draft is from other weights"), KeptAnswer.NONE);
            return;
        }
        if (done.get()) {
            return;
        }
        reply.head(answer.status(), answer.contentType(), fingerprint);
        reply.part(answer.body());
        finish(Verdict.answered(), answer);
    }

    private void receiveEvents(HttpResponse response) {
        reply.head(200, response.entity().getContentType().toString(), fingerprint);
        CompletionStage<?> events = response.entity()
                .getDataBytes()
                .via(Framing.delimiter(EVENT_END, MAXIMUM_EVENT_BYTES, FramingTruncation.DISALLOW))
                .runWith(Sink.foreach(this::passEvent), system);
        events.whenComplete((value, error) -> endOfEvents(error));
    }

    private void passEvent(ByteString event) {
        if (done.get()) {
            return;
        }
        boolean last = event.take(END_MARK.length()).equals(END_MARK);
        if (!last && !event.utf8String().contains(fingerprint)) {
            finish(Verdict.mayHaveRun(Reason.BAD_ANSWER, "an event is from other weights"), KeptAnswer.NONE);
            return;
        }
        endMarkSeen = endMarkSeen || last;
        if (!reply.part(event.concat(EVENT_END))) {
            finish(Verdict.mayHaveRun(Reason.SLOW_CALLER, "the entry did not take the answer"), KeptAnswer.NONE);
        }
    }

    private void endOfEvents(Throwable error) {
        if (error != null || !endMarkSeen) {
            finish(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the draft was cut off"), KeptAnswer.NONE);
            return;
        }
        finish(Verdict.answered(), KeptAnswer.NONE);
    }

    private void finish(Verdict verdict, KeptAnswer answer) {
        if (!done.compareAndSet(false, true)) {
            return;
        }
        ended.accept(verdict, answer);
        exchange.ifPresent(UpstreamClient.Exchange::close);
    }
}
