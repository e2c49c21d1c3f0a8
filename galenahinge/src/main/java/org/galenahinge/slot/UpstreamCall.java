package org.galenahinge.slot;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.galenahinge.engine.EventSplitter;
import org.galenahinge.http.Exchange;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.generated.CallStart;

/**
 * Hands one call to the upstream, once, and passes its answer on while checking that it is whole and its own.
 *
 * <p>A streamed draft is passed on event by event; each event must carry the fingerprint of the weights that the
 * call was routed for, and the last one must be the end mark.
 */
final class UpstreamCall implements Exchange.Listener {
    private static final String END_MARK = "data: [DONE]";
    private static final String REQUEST_ID = "x-request-id";
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final int MAXIMUM_WHOLE_BYTES = 2 << 20;
    private static final int OK = 200;
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final CallReply reply;
    private final CallStart call;
    private final String fingerprint;
    private final CallController.Ending ending;
    private final AtomicBoolean done = new AtomicBoolean();
    private final EventSplitter events = new EventSplitter(MAXIMUM_EVENT_BYTES);
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private volatile Optional<Exchange> exchange = Optional.empty();
    private volatile Optional<Future<?>> timer = Optional.empty();
    private boolean streamed;
    private boolean endMarkSeen;
    private int status;
    private String contentType = "";

    private UpstreamCall(CallReply reply, CallStart call, String fingerprint, CallController.Ending ending) {
        this.reply = reply;
        this.call = call;
        this.fingerprint = fingerprint;
        this.ending = ending;
    }

    /**
     * Starts a call.
     *
     * @param threads the threads that serve the connection
     * @param upstream where the upstream listens
     * @param reply where the answer goes
     * @param call the call
     * @param fingerprint the fingerprint that a draft must carry, empty for a plain service
     * @param ending hears the verdict, and the whole answer of a plain service
     * @return the call under way
     */
    static UpstreamCall start(
            NetworkThreads threads,
            URI upstream,
            CallReply reply,
            CallStart call,
            String fingerprint,
            CallController.Ending ending) {
        UpstreamCall running = new UpstreamCall(
                Objects.requireNonNull(reply, "reply"), Objects.requireNonNull(call, "call"), fingerprint, ending);
        Map<String, String> headers = Map.of(
                REQUEST_ID,
                call.getRequestId(),
                "x-priority",
                Integer.toString(call.getPriority()),
                "content-type",
                "application/json");
        Exchange.Request request = new Exchange.Request(
                "POST", call.getPath(), headers, List.of(call.getBody().toByteArray()));
        running.exchange = Optional.of(Exchange.send(threads, upstream, request, running));
        Runnable giveUp = () -> running.cancel(Reason.TIMEOUT, "no whole answer in time");
        running.timer = Optional.of(threads.schedule(call.getTimeoutMillis(), giveUp));
        if (running.done.get()) {
            running.stopTimer();
        }
        return running;
    }

    /** Gives the call up; an upstream that watches its connection stops working on it. */
    void cancel(Reason reason, String detail) {
        finish(Verdict.mayHaveRun(reason, detail), KeptAnswer.NONE);
    }

    @Override
    public void onHead(int newStatus, Exchange.Headers headers) {
        status = newStatus;
        contentType = headers.find("content-type").orElse("application/octet-stream");
        boolean own =
                headers.find(REQUEST_ID).filter(call.getRequestId()::equals).isPresent();
        if (!own && status < 500) {
            fail(Reason.BAD_ANSWER, "the upstream answered another request");
            return;
        }
        streamed = call.getStreamed() && status == OK;
        if (streamed) {
            reply.head(status, contentType, fingerprint);
        }
    }

    @Override
    public void onBodyPart(byte[] content) {
        if (done.get()) {
            return;
        }
        if (streamed) {
            passEvents(content);
            return;
        }
        whole.writeBytes(content);
        if (whole.size() > MAXIMUM_WHOLE_BYTES) {
            fail(Reason.BAD_ANSWER, "the answer is larger than " + MAXIMUM_WHOLE_BYTES + " bytes");
        }
    }

    @Override
    public void onComplete() {
        if (done.get()) {
            return;
        }
        if (!streamed) {
            passWhole(new KeptAnswer(status, contentType, whole.toByteArray()));
        } else if (endMarkSeen && !events.hasIncompleteEvent()) {
            finish(Verdict.answered(), KeptAnswer.NONE);
        } else {
            fail(Reason.BAD_ANSWER, "the draft was cut off");
        }
    }

    @Override
    public void onNotSent(String detail) {
        finish(Verdict.notRun(Reason.UNREACHABLE, detail, RETRY_AFTER), KeptAnswer.NONE);
    }

    @Override
    public void onFailure(String detail) {
        fail(Reason.CONNECTION_LOST, detail);
    }

    private void passEvents(byte[] content) {
        for (String event : events.add(content)) {
            boolean last = event.startsWith(END_MARK);
            if (!last && !event.contains(fingerprint)) {
                fail(Reason.BAD_ANSWER, "an event is from other weights");
                return;
            }
            endMarkSeen = endMarkSeen || last;
            if (!reply.part(EventSplitter.bytesOf(event))) {
                fail(Reason.SLOW_CALLER, "the entry did not take the answer");
                return;
            }
        }
    }

    private void passWhole(KeptAnswer answer) {
        boolean draft = !fingerprint.isEmpty() && answer.status() == OK;
        if (draft && !new String(answer.body(), StandardCharsets.UTF_8).contains(fingerprint)) {
            fail(Reason.BAD_ANSWER, "the draft is from other weights");
            return;
        }
        reply.head(answer.status(), answer.contentType(), fingerprint);
        reply.part(answer.body());
        finish(Verdict.answered(), answer);
    }

    private void fail(Reason reason, String detail) {
        finish(Verdict.mayHaveRun(reason, detail), KeptAnswer.NONE);
    }

    private void finish(Verdict verdict, KeptAnswer answer) {
        if (!done.compareAndSet(false, true)) {
            return;
        }
        ending.ended(verdict, answer);
        exchange.ifPresent(Exchange::close);
        stopTimer();
    }

    private void stopTimer() {
        timer.ifPresent(running -> running.cancel(false));
    }
}
