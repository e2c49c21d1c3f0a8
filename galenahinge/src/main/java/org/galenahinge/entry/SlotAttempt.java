package org.galenahinge.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
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
 * Sends one attempt of a request to a slot process and receives its response.
 *
 * <p>A streamed response is forwarded part by part, with at most {@value #MAXIMUM_QUEUED_PARTS} parts and
 * {@value #MAXIMUM_QUEUED_BYTES} bytes that the caller has not read yet. Any other response is buffered until it is
 * complete, up to {@value #MAXIMUM_BUFFERED_BYTES} bytes.
 */
final class SlotAttempt implements WireConnection.ExchangeListener {
    private static final int MAXIMUM_QUEUED_PARTS = 4_096;
    private static final int MAXIMUM_QUEUED_BYTES = 1 << 20;
    private static final int MAXIMUM_BUFFERED_BYTES = 4 << 20;
    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(500);

    private final ActorSystem<?> system;
    private final Request request;
    private final String vm;
    private final WireConnection connection;
    private final ActiveAttempts active;
    private final Listener listener;
    private final long startedNanos = System.nanoTime();
    private final CompletableFuture<Response> response = new CompletableFuture<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger queuedBytes = new AtomicInteger();
    private volatile long correlation;
    private volatile Optional<Cancellable> timer = Optional.empty();
    private Optional<CallHead> head = Optional.empty();
    private Optional<BoundedSourceQueue<ByteString>> stream = Optional.empty();
    private ByteString buffered = ByteString.emptyByteString();

    private SlotAttempt(
            ActorSystem<?> system,
            Request request,
            String vm,
            WireConnection connection,
            ActiveAttempts active,
            Listener listener) {
        this.system = system;
        this.request = request;
        this.vm = vm;
        this.connection = connection;
        this.active = active;
        this.listener = listener;
    }

    /** Receives the progress of an attempt. */
    interface Listener {
        /** The head of the response arrived, {@code latencyNanos} after the attempt started. */
        void firstByteReceived(String vm, long latencyNanos);

        /**
         * The attempt ended.
         *
         * @param load active and queued requests at the slot process as it reported them, 0 when it did not
         */
        void ended(Request request, String vm, Verdict verdict, int load);
    }

    /**
     * Sends a request.
     *
     * @param system runs the streams and the timeout
     * @param request the request
     * @param vm the VM of the slot process
     * @param connection the connection to it
     * @param weightsKey the weights that must produce the response, empty for a plain service
     * @param active holds the attempt until it ends
     * @param listener receives the progress
     * @return the response, also when the attempt fails: its verdict then says so
     */
    static CompletionStage<Response> send(
            ActorSystem<?> system,
            Request request,
            String vm,
            WireConnection connection,
            String weightsKey,
            ActiveAttempts active,
            Listener listener) {
        SlotAttempt attempt = new SlotAttempt(
                system,
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(vm, "vm"),
                Objects.requireNonNull(connection, "connection"),
                Objects.requireNonNull(active, "active"),
                Objects.requireNonNull(listener, "listener"));
        attempt.start(weightsKey);
        return attempt.response;
    }

    private void start(String weightsKey) {
        Duration remaining = Duration.ofNanos(request.deadlineNanos() - startedNanos);
        if (remaining.isNegative() || remaining.isZero()) {
            rejectUnsent(Reason.DEADLINE, "the deadline passed before the request was sent");
            return;
        }
        if (!active.add(this)) {
            rejectUnsent(Reason.DRAINING, "this entry is stopping");
            return;
        }
        CallStart.Builder start = CallStart.newBuilder()
                .setRequestId(request.requestId())
                .setPath(request.path())
                .setBody(request.body())
                .setOrganisation(request.organisation())
                .setPriority(request.priority().code())
                .setTimeoutMillis(Math.max(1, remaining.toMillis()))
                .setWeightsKey(weightsKey)
                .setStreamed(request.streamed());
        request.permit().map(Permit::text).ifPresent(start::setPermit);
        correlation = connection.open(Frame.newBuilder().setCallStart(start), this);
        if (correlation == 0) {
            rejectUnsent(Reason.UNREACHABLE, "the connection to the VM is closed or full");
            return;
        }
        Cancellable scheduled = system.scheduler()
                .scheduleOnce(remaining.plus(TIMEOUT_MARGIN), this::timedOut, system.executionContext());
        timer = Optional.of(scheduled);
        if (ended.get()) {
            scheduled.cancel();
        }
    }

    /**
     * Ends an attempt that was not sent. An earlier attempt with the same permit may have run; only the slot process
     * knows.
     */
    private void rejectUnsent(Reason reason, String detail) {
        boolean retryWithPermit = request.permit().isPresent() && !request.firstAttempt();
        end(
                retryWithPermit
                        ? Verdict.mayHaveRun(reason, detail)
                        : Verdict.notRun(reason, detail, Duration.ofMillis(100)),
                0);
    }

    @Override
    public synchronized void responseReceived(Frame frame) {
        switch (frame.getBodyCase()) {
            case CALL_HEAD -> handleHead(frame.getCallHead());
            case CALL_PART ->
                handlePart(ByteString.fromByteBuffer(
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
        end(Verdict.mayHaveRun(Reason.CONNECTION_LOST, "the connection to the VM was lost"), 0);
    }

    /** Ends the attempt because the process ends. */
    void processEnds() {
        end(Verdict.mayHaveRun(Reason.DRAINING, "this entry stopped before the response was complete"), 0);
    }

    private void timedOut() {
        end(Verdict.mayHaveRun(Reason.TIMEOUT, "no complete response in time"), 0);
    }

    private void handleHead(CallHead received) {
        if (!received.getRequestId().equals(request.requestId())) {
            end(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the response belongs to another request"), 0);
            return;
        }
        listener.firstByteReceived(vm, System.nanoTime() - startedNanos);
        head = Optional.of(received);
        if (request.streamed() && received.getStatus() == 200) {
            openStream(received);
        }
    }

    private void openStream(CallHead received) {
        Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> pair =
                Source.<ByteString>queue(MAXIMUM_QUEUED_PARTS).preMaterialize(system);
        stream = Optional.of(pair.first());
        Source<ByteString, NotUsed> body = pair.second()
                .map(part -> {
                    queuedBytes.addAndGet(-part.size());
                    return part;
                })
                .watchTermination((used, done) -> {
                    done.whenComplete((value, error) -> callerDisconnected());
                    return used;
                });
        response.complete(new Response(
                Verdict.answered(),
                received.getStatus(),
                received.getContentType(),
                received.getFingerprint(),
                vm,
                body));
    }

    private void handlePart(ByteString part) {
        if (stream.isPresent()) {
            boolean fits = queuedBytes.addAndGet(part.size()) <= MAXIMUM_QUEUED_BYTES;
            if (!fits || stream.get().offer(part).equals(QueueOfferResult.dropped())) {
                end(Verdict.mayHaveRun(Reason.SLOW_CALLER, "the caller reads too slowly"), 0);
            }
            return;
        }
        buffered = buffered.concat(part);
        if (buffered.length() > MAXIMUM_BUFFERED_BYTES) {
            end(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the response is too large"), 0);
        }
    }

    private void callerDisconnected() {
        end(Verdict.mayHaveRun(Reason.CONNECTION_LOST, "the caller disconnected"), 0);
    }

    private synchronized void end(Verdict verdict, int load) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        active.remove(this);
        connection.end(correlation);
        timer.ifPresent(Cancellable::cancel);
        listener.ended(request, vm, verdict, load);
        if (!(verdict instanceof Verdict.Answered)) {
            cancelAtSlot();
        }
        if (stream.isPresent()) {
            endStream(stream.get(), verdict);
        } else if (verdict instanceof Verdict.Answered && head.isPresent()) {
            CallHead received = head.get();
            response.complete(new Response(
                    verdict,
                    received.getStatus(),
                    received.getContentType(),
                    received.getFingerprint(),
                    vm,
                    Source.single(buffered)));
        } else if (verdict instanceof Verdict.Answered) {
            response.complete(Response.of(Verdict.mayHaveRun(Reason.BAD_ANSWER, "the response has no head"), vm));
        } else {
            response.complete(Response.of(verdict, vm));
        }
    }

    private void cancelAtSlot() {
        if (correlation != 0 && connection.isOpen()) {
            connection.send(Frame.newBuilder()
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

    /** Aborts a streamed response, so that the caller sees an error and not a truncated response. */
    static final class InterruptedStreamException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InterruptedStreamException(Verdict verdict) {
            super(verdict.toString(), null, false, false);
        }
    }
}
