package org.galenahinge.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.galenahinge.idempotency.Permit;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Request;
import org.galenahinge.request.Response;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.Verdicts;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallCancel;
import org.galenahinge.wire.generated.CallHead;
import org.galenahinge.wire.generated.CallStart;
import org.galenahinge.wire.generated.Frame;

/**
 * Sends one attempt of a call to a slot process and takes its answer.
 *
 * <p>A streamed answer is passed on as it comes; a whole one is held until it is complete. Both are bounded.
 */
final class SlotCall implements WireConnection.ExchangeListener {
    private static final int MAXIMUM_PARTS_WAITING = 4_096;
    private static final int MAXIMUM_WHOLE_BYTES = 4 << 20;
    private static final Duration MARGIN = Duration.ofMillis(500);

    private final ActorSystem<?> system;
    private final Request call;
    private final String vm;
    private final WireConnection link;
    private final Listener listener;
    private final long startedNanos = System.nanoTime();
    private final CompletableFuture<Response> answer = new CompletableFuture<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile long correlation;
    private volatile Optional<Cancellable> timer = Optional.empty();
    private Optional<CallHead> head = Optional.empty();
    private Optional<BoundedSourceQueue<ByteString>> stream = Optional.empty();
    private ByteString whole = ByteString.emptyByteString();

    private SlotCall(ActorSystem<?> system, Request call, String vm, WireConnection link, Listener listener) {
        this.system = system;
        this.call = call;
        this.vm = vm;
        this.link = link;
        this.listener = listener;
    }

    /** Hears how the attempt goes. */
    interface Listener {
        void firstByte(String vm, long latencyNanos);

        void ended(Request call, String vm, Verdict verdict, int load);
    }

    /**
     * Sends a call.
     *
     * @param system runs the streams
     * @param call the call
     * @param vm the VM of the slot process
     * @param link the link to it
     * @param weightsKey the weights that the answer must be from, empty for a plain service
     * @param listener hears how it goes
     * @return the answer
     */
    static CompletionStage<Response> send(
            ActorSystem<?> system, Request call, String vm, WireConnection link, String weightsKey, Listener listener) {
        SlotCall attempt = new SlotCall(
                system,
                Objects.requireNonNull(call, "call"),
                Objects.requireNonNull(vm, "vm"),
                Objects.requireNonNull(link, "link"),
                Objects.requireNonNull(listener, "listener"));
        attempt.start(weightsKey);
        return attempt.answer;
    }

    private void start(String weightsKey) {
        Duration left = Duration.ofNanos(call.deadlineNanos() - startedNanos);
        if (left.isNegative() || left.isZero()) {
            refuse(Reason.DEADLINE, "the deadline passed before the call was sent");
            return;
        }
        CallStart.Builder start = CallStart.newBuilder()
                .setRequestId(call.requestId())
                .setPath(call.path())
                .setBody(call.body())
                .setOrganisation(call.organisation())
                .setPriority(call.priority().code())
                .setTimeoutMillis(Math.max(1, left.toMillis()))
                .setWeightsKey(weightsKey)
                .setStreamed(call.streamed());
        call.permit().map(Permit::text).ifPresent(start::setPermit);
        correlation = link.open(Frame.newBuilder().setCallStart(start), this);
        if (correlation == 0) {
            refuse(Reason.UNREACHABLE, "the link to the VM is closed or full");
            return;
        }
        Cancellable started =
                system.scheduler().scheduleOnce(left.plus(MARGIN), this::timedOut, system.executionContext());
        timer = Optional.of(started);
        if (ended.get()) {
            started.cancel();
        }
    }

    /** A call with a permit may have run on an earlier attempt, which only the slot process could deny. */
    private void refuse(Reason reason, String detail) {
        boolean repeated = call.permit().isPresent() && !call.firstAttempt();
        end(repeated ? Verdict.mayHaveRun(reason, detail) : Verdict.notRun(reason, detail, Duration.ofMillis(100)), 0);
    }

    @Override
    public synchronized void responseReceived(Frame frame) {
        switch (frame.getBodyCase()) {
            case CALL_HEAD -> takeHead(frame.getCallHead());
            case CALL_PART ->
                takePart(ByteString.fromByteBuffer(
                        frame.getCallPart().getContent().asReadOnlyByteBuffer()));
            case CALL_END ->
                end(
                        Verdicts.fromWire(frame.getCallEnd()),
                        frame.getCallEnd().getInFlight() + frame.getCallEnd().getQueued());
            default -> end(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the slot process sent an unexpected frame"), 0);
        }
    }

    @Override
    public void lost() {
        end(Verdict.mayHaveRun(Reason.CONNECTION_LOST, "the link to the VM broke"), 0);
    }

    private void timedOut() {
        end(Verdict.mayHaveRun(Reason.TIMEOUT, "no whole answer in time"), 0);
    }

    private void takeHead(CallHead received) {
        if (!received.getRequestId().equals(call.requestId())) {
            end(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the answer belongs to another request"), 0);
            return;
        }
        listener.firstByte(vm, System.nanoTime() - startedNanos);
        head = Optional.of(received);
        if (call.streamed() && received.getStatus() == 200) {
            openStream(received);
        }
    }

    private void openStream(CallHead received) {
        Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> pair =
                Source.<ByteString>queue(MAXIMUM_PARTS_WAITING).preMaterialize(system);
        stream = Optional.of(pair.first());
        Source<ByteString, NotUsed> body = pair.second().watchTermination((used, done) -> {
            done.whenComplete((value, error) -> callerLeft());
            return used;
        });
        answer.complete(new Response(
                Verdict.answered(),
                received.getStatus(),
                received.getContentType(),
                received.getFingerprint(),
                vm,
                body));
    }

    private void takePart(ByteString part) {
        if (stream.isPresent()) {
            QueueOfferResult result = stream.get().offer(part);
            if (result.equals(QueueOfferResult.dropped())) {
                end(Verdict.mayHaveRun(Reason.SLOW_CALLER, "the caller reads too slowly"), 0);
            }
            return;
        }
        whole = whole.concat(part);
        if (whole.length() > MAXIMUM_WHOLE_BYTES) {
            end(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the answer is too large"), 0);
        }
    }

    private void callerLeft() {
        end(Verdict.mayHaveRun(Reason.CONNECTION_LOST, "the caller went away"), 0);
    }

    private synchronized void end(Verdict verdict, int load) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        link.end(correlation);
        timer.ifPresent(Cancellable::cancel);
        listener.ended(call, vm, verdict, load);
        if (!(verdict instanceof Verdict.Answered)) {
            cancelAtSlot();
        }
        if (stream.isPresent()) {
            endStream(stream.get(), verdict);
        } else if (verdict instanceof Verdict.Answered && head.isPresent()) {
            CallHead received = head.get();
            answer.complete(new Response(
                    verdict,
                    received.getStatus(),
                    received.getContentType(),
                    received.getFingerprint(),
                    vm,
                    Source.single(whole)));
        } else if (verdict instanceof Verdict.Answered) {
            answer.complete(Response.of(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the answer has no head"), vm));
        } else {
            answer.complete(Response.of(verdict, vm));
        }
    }

    private void cancelAtSlot() {
        if (correlation != 0 && link.isOpen()) {
            link.send(Frame.newBuilder()
                    .setCorrelation(correlation)
                    .setCallCancel(CallCancel.getDefaultInstance())
                    .build());
        }
    }

    private static void endStream(BoundedSourceQueue<ByteString> queue, Verdict verdict) {
        if (verdict instanceof Verdict.Answered) {
            queue.complete();
            return;
        }
        queue.fail(new InterruptedStreamException(verdict));
    }

    /** Cuts a streamed answer off, so that the caller sees a broken answer and never a short one. */
    static final class InterruptedStreamException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InterruptedStreamException(Verdict verdict) {
            super(verdict.toString(), null, false, false);
        }
    }
}
