package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.galenahinge.engine.EventSplitter;
import org.galenahinge.gateway.UnstartedAttempts.UnstartedAttempt;
import org.galenahinge.http.HttpConnection;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.RetryPolicy.Outcome;
import org.galenahinge.quarantine.RequestTrait;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.upstream.WeightsVersion;

/** One attempt to run a request at one upstream. Used by the gateway's thread only. */
final class Attempt implements HttpConnection.Listener, HttpConnection.ConnectListener, UnstartedAttempt {
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final int MAXIMUM_BUFFERED_BYTES = 256 << 10;
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;
    private static final Duration MINIMUM_STREAM_STALL_TIMEOUT = Duration.ofMillis(1_300);
    private static final double STALL_TIMEOUT_PER_PREDICTED_LATENCY = 2.5;
    private static final double STALL_TIMEOUT_SHARE_OF_REMAINING_TIME = 0.5;

    /** A part that crashes upstreams does so when they begin to write; one that writes on for so long has borne it. */
    private static final Duration CRASH_TIME = Duration.ofSeconds(1);

    private final ForwardedRequest request;
    private final PlacementCandidate candidate;
    private final UpstreamPool pool;
    private final double predictedMillis;
    private final OptionalLong exactVersion;
    private final long startedNanos;
    private final ProgressWatch progress;
    private final long placedVersion;
    private final ByteArrayOutputStream passedOn = new ByteArrayOutputStream();
    private final EventSplitter splitter = new EventSplitter(MAXIMUM_EVENT_BYTES);
    private final PausedReading paused;
    private Optional<UnreadRequest> unread = Optional.empty();
    private Optional<HttpConnection> connection = Optional.empty();
    private CompositeByteBuf buffered = Unpooled.compositeBuffer(64);
    private HttpHeaders headers = new DefaultHttpHeaders();
    private int status;
    private boolean notRun;
    private OptionalDouble requestLimit = OptionalDouble.empty();
    private boolean streaming;
    private boolean endsWithConnection;
    private boolean forwardingBody;
    private boolean done;
    private boolean sent;
    private boolean reused;
    private OptionalLong turnLapseNanos = OptionalLong.empty();
    private int events;
    private long firstEventNanos;
    private boolean partsProven;
    private int bytesWithoutEvent;
    private long firstByteNanos;

    Attempt(
            ForwardedRequest request,
            PlacementCandidate candidate,
            UpstreamPool pool,
            double predictedMillis,
            OptionalLong exactVersion) {
        this.request = request;
        this.candidate = candidate;
        this.pool = pool;
        this.predictedMillis = predictedMillis;
        this.exactVersion = exactVersion;
        this.startedNanos = request.gateway().timers().nanoTime();
        this.paused = new PausedReading(request.gateway().timers());
        this.progress = new ProgressWatch(request.gateway().timers(), this::mayRetryElsewhere, this::abort);
        this.placedVersion = Math.max(exactVersion.orElse(0L), believedVersion(candidate));
    }

    /**
     * Sends the request, on a new connection if none is given.
     *
     * @param pooled a connection of the pool
     * @param turnLapse when the turn lapses that the request has at an upstream with a limit, in nanoseconds
     */
    void start(Optional<HttpConnection> pooled, OptionalLong turnLapse) {
        reused = pooled.isPresent();
        turnLapseNanos = turnLapse;
        if (pooled.isPresent()) {
            onConnected(pooled.get());
        } else {
            pool.open(this);
        }
    }

    @Override
    public void onConnected(HttpConnection open) {
        if (done) {
            pool.release(open);
            return;
        }
        if (!request.gateway().isAvailable(candidate.upstream())) {
            request.mayReturnTo(candidate.upstream());
            endUnsent(
                    open,
                    Outcome.NOT_SENT,
                    "the failure domain " + candidate.upstream().zone()
                            + " was evacuated before the connection was open");
            return;
        }
        if (candidate.load().pause().isActive(now())) {
            endUnsent(open, Outcome.NOT_SENT, "the upstream has named a time after which it wants requests");
            return;
        }
        // A pooled connection carries the request at the moment of its placement.
        if (!reused && isOutdated()) {
            endUnsent(
                    open, Outcome.NOT_SENT, "the weights of the upstream were outdated before its connection was open");
            return;
        }
        if (!request.gateway().limits().maySend(candidate.upstream(), turnLapseNanos)) {
            request.mayReturnTo(candidate.upstream());
            endUnsent(open, Outcome.NOT_SENT, "the upstream is cold, and this node has no turn there");
            return;
        }
        if (!request.tryCountAttempt()) {
            endUnsent(open, Outcome.NOT_RUN, "the retry budget is exhausted");
            return;
        }
        connection = Optional.of(open);
        sent = true;
        request.gateway().unstartedAttempts().add(this);
        open.send(head(), Unpooled.wrappedBuffer(request.callerRequest().body()), this);
        trackUnread(open);
        progress.abandonStalled(stallTimeout());
        if (request.route().kind().isStream() && request.route().kind().isIdempotent()) {
            progress.abandonUnresponsive(() -> candidate.load().isReportOverdue(now()));
        }
    }

    @Override
    public void onConnectFailed(String detail) {
        if (done) {
            return;
        }
        candidate.load().recordEnd(this, false, now());
        end(Outcome.NOT_SENT, "cannot connect: " + detail);
    }

    @Override
    public void onHead(HttpResponse response) {
        UpstreamResponse metadata = request.gateway().translator().readResponse(response);
        status = response.status().code();
        requestLimit = metadata.requestLimit();
        notRun = metadata.notRun() || status == MISDIRECTED_REQUEST;
        recordFirstByte();
        if (metadata.leaving()) {
            request.gateway().recordLeaving(candidate.upstream());
        }
        if (status == SERVICE_UNAVAILABLE) {
            // Counts for the upstream, whichever request the response belongs to.
            metadata.retryAfter().ifPresent(time -> request.gateway().recordRetryAfter(candidate, time));
        }
        if (mayBelongToAnotherRequest(metadata)) {
            abort("the response may belong to another request");
            return;
        }
        request.gateway().recordLimit(candidate.upstream(), requestLimit);
        if (isSuccess() && !metadata.signed()) {
            abort("the response has no signature");
            return;
        }
        endsWithConnection = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
        HopHeaders.copy(response.headers(), headers);
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        streaming = isSuccess() && request.route().kind().isStream() && type.startsWith("text/event-stream");
        if (request.response().hasBegun() && !(streaming && mayContinue(response))) {
            endWithoutContinuation();
            return;
        }
        if (!streaming) {
            request.gateway().unstartedAttempts().remove(this);
        }
    }

    @Override
    public void onBodyPart(ByteBuf content) {
        if (streaming) {
            forwardEvents(content);
        } else if (forwardingBody) {
            progress.recordProgress();
            request.response().writePart(content.retain());
        } else {
            progress.recordProgress();
            buffer(content);
        }
        if (!done && !request.response().isWritable()) {
            connection.ifPresent(open -> {
                open.setReading(false);
                paused.begin();
            });
        }
    }

    @Override
    public void onComplete() {
        if (streaming) {
            endStream();
            return;
        }
        releaseConnection();
        if (forwardingBody) {
            recordComplete();
            complete(true);
            request.response().finish();
            request.attemptAnswered(this, status);
            return;
        }
        finishBuffered();
    }

    @Override
    public void onFailure(String detail) {
        connection = Optional.empty();
        if (paused.mayHaveCausedClose()) {
            endForSlowCaller();
            return;
        }
        recordLostConnection();
        candidate.load().recordEnd(this, false, now());
        end(Outcome.UNKNOWN, detail);
    }

    /** Cancels the attempt; closing the connection notifies the upstream. */
    void cancel() {
        if (done) {
            return;
        }
        candidate.load().discard(this);
        complete(false);
    }

    /** Closes the connection, so that the upstream drops the request, and has it retried elsewhere if that is allowed. */
    @Override
    public void withdraw(long required) {
        closeConnection();
        candidate.load().discard(this);
        request.gateway().metrics().withdrawn();
        end(Outcome.UNKNOWN, "no event was received before weights older than version " + required + " were outdated");
    }

    void resume() {
        if (paused.end()) {
            progress.recordProgress();
        }
        connection.ifPresent(open -> open.setReading(true));
    }

    String upstreamId() {
        return candidate.upstream().id();
    }

    /** Returns the request that it runs, as a whole. */
    RequestTrait identity() {
        return request.traits().identity();
    }

    boolean isSent() {
        return sent;
    }

    /** Returns the limit that the upstream named in its response, in requests a second. */
    OptionalDouble requestLimit() {
        return requestLimit;
    }

    @Override
    public Optional<String> model() {
        return request.callerRequest().metadata().prompt().map(PromptShape::model);
    }

    /** An engine goes back to older weights only by a restart, which ends its connections. */
    @Override
    public long knownVersion() {
        return Math.max(placedVersion, believedVersion(request.gateway().current(candidate)));
    }

    /** Returns how many events of its stream were passed on. */
    int events() {
        return events;
    }

    long ageMillis() {
        return Duration.ofNanos(now() - startedNanos).toMillis();
    }

    long firstByteMillis() {
        return firstByteNanos == 0
                ? -1
                : Duration.ofNanos(firstByteNanos - startedNanos).toMillis();
    }

    long predictedMillis() {
        return (long) predictedMillis;
    }

    /** Whether the upstream's weights might be used when the request was placed, and may not be any more. */
    private boolean isOutdated() {
        OptionalLong minimum = model().map(request.gateway()::minimumVersion).orElse(OptionalLong.empty());
        return knownVersion() < minimum.orElse(0L);
    }

    /** Returns the version of the needed model that an upstream is believed to have, 0 for none. */
    private long believedVersion(PlacementCandidate upstream) {
        return upstream.weights(now())
                .filter(weights -> model().filter(weights.model()::equals).isPresent())
                .map(WeightsVersion::version)
                .orElse(0L);
    }

    private DefaultHttpRequest head() {
        CallerRequest original = request.callerRequest();
        HttpHeaders forwarded = new DefaultHttpHeaders(false);
        HopHeaders.copy(original.headers(), forwarded);
        request.gateway()
                .translator()
                .setUpstreamHeaders(forwarded, request.forwardingHeaders(upstreamId(), exactVersion));
        if (original.body().length > 0 || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            forwarded.set(HttpHeaderNames.CONTENT_LENGTH, original.body().length);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.uri(), forwarded);
    }

    /**
     * Whether the response may be one to an earlier request that the upstream sends again. Without an id, only a
     * rejection on a new connection is certainly a response to this request. A caller may use an id twice.
     */
    private boolean mayBelongToAnotherRequest(UpstreamResponse metadata) {
        String expectedId = request.callerRequest().requestId();
        if (metadata.requestId().isPresent()) {
            boolean mayBeRepeated = notRun && reused && pool.hasRejected(expectedId);
            return mayBeRepeated || !metadata.requestId().get().equals(expectedId);
        }
        boolean isCertainRejection = notRun && !reused;
        return !expectedId.isEmpty() && !isCertainRejection;
    }

    private boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }

    /** Whether the events of the response may follow those that another upstream has sent with status 200. */
    private boolean mayContinue(HttpResponse response) {
        return status == OK && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    /** Ends an attempt to continue a stream without awaiting the body of the response, which is never passed on. */
    private void endWithoutContinuation() {
        closeConnection();
        String detail = "the upstream responded with status " + status + " and did not continue the stream";
        if (notRun) {
            candidate.load().recordRejection(this, now());
            end(Outcome.NOT_RUN, detail);
            return;
        }
        candidate.load().recordEnd(this, !isFailure(), now());
        end(Outcome.UNKNOWN, detail);
    }

    /** Whether the response is held until it is complete, because the request may be sent to another upstream. */
    private boolean mayBeRetried() {
        return notRun || isFailure();
    }

    private boolean isFailure() {
        return status >= SERVER_ERROR || impliesNotRun();
    }

    private boolean impliesNotRun() {
        return status == 408 || status == MISDIRECTED_REQUEST || status == 429 || status == SERVICE_UNAVAILABLE;
    }

    private void recordFirstByte() {
        if (firstByteNanos == 0) {
            firstByteNanos = now();
            progress.recordProgress();
        }
    }

    private void buffer(ByteBuf content) {
        buffered.addComponent(true, content.retain());
        if (buffered.readableBytes() <= MAXIMUM_BUFFERED_BYTES) {
            return;
        }
        if (mayBeRetried()) {
            abort("the body of a response with status " + status + " is larger than " + MAXIMUM_BUFFERED_BYTES
                    + " bytes");
            return;
        }
        forwardingBody = true;
        request.response().begin(status, headers);
        request.response().writePart(buffered);
        buffered = Unpooled.compositeBuffer(1);
    }

    private void beginStream() {
        if (!request.response().hasBegun()) {
            request.response().begin(status, headers);
        }
    }

    private void forwardEvents(ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.getBytes(content.readerIndex(), bytes);
        List<String> events;
        try {
            events = splitter.add(bytes);
        } catch (IllegalStateException e) {
            abort(e.getMessage());
            return;
        }
        Optional<String> fault = Optional.empty();
        for (String event : events) {
            fault = faultOf(event);
            if (fault.isPresent()) {
                break;
            }
            passOn(event);
        }
        if (this.events > 0) {
            writePassedOn();
        }
        fault.ifPresent(this::abort);
    }

    /** Returns why an event ends the attempt, if it does. */
    private Optional<String> faultOf(String event) {
        bytesWithoutEvent = EventIds.isBare(event) ? bytesWithoutEvent + EventSplitter.lengthOf(event) : 0;
        if (bytesWithoutEvent > MAXIMUM_EVENT_BYTES) {
            return Optional.of("the stream holds more than " + MAXIMUM_EVENT_BYTES + " bytes without an event");
        }
        StreamPosition stream = request.stream();
        boolean follows = event.isBlank()
                || (continuesAnother()
                        ? EventIds.isBare(event) || stream.isContinuedBy(event)
                        : stream.isFollowedBy(event));
        if (!follows) {
            // An upstream that begins anew may crash on the request all the same, after its connection is closed here.
            recordLostConnection();
            return Optional.of(
                    "an event does not follow event " + stream.lastId().orElse(""));
        }
        return Optional.empty();
    }

    /** Whether the next event is the first one after those of another upstream. */
    private boolean continuesAnother() {
        return events == 0 && request.response().hasBegun();
    }

    /** Line ends alone are no event: they begin no response, and are no progress. */
    private void passOn(String event) {
        if (continuesAnother() && EventIds.isBare(event)) {
            return;
        }
        passedOn.writeBytes(EventSplitter.bytesOf(event));
        if (event.isBlank()) {
            return;
        }
        progress.recordProgress();
        if (!EventIds.isBare(event)) {
            request.gateway().unstartedAttempts().remove(this);
        }
        recordSurvival();
        events++;
        candidate.load().recordFirstEvent(this);
        request.stream().recordDelivered(event);
    }

    /** Writes what was received at once as one part. */
    private void writePassedOn() {
        if (passedOn.size() == 0) {
            return;
        }
        beginStream();
        request.response().writePart(Unpooled.wrappedBuffer(passedOn.toByteArray()));
        passedOn.reset();
    }

    private void endStream() {
        // A stream that ends with its connection looks complete also where its engine crashed before the first event.
        // One that is to continue another stream and has no event may have been ended by an upstream that cannot.
        boolean isEmpty =
                events == 0 && (endsWithConnection || request.response().hasBegun());
        if (splitter.hasIncompleteEvent() || isEmpty) {
            releaseConnection();
            recordLostConnection();
            candidate.load().recordEnd(this, false, now());
            end(Outcome.UNKNOWN, "the stream ended " + (isEmpty ? "without" : "within") + " an event");
            return;
        }
        releaseConnection();
        recordComplete();
        complete(true);
        beginStream();
        writePassedOn();
        request.response().finish();
        request.attemptAnswered(this, status);
    }

    private void finishBuffered() {
        if (notRun) {
            candidate.load().recordRejection(this, now());
            pool.recordRejection(request.callerRequest().requestId());
            end(Outcome.NOT_RUN, "the upstream rejected the request with status " + status);
            return;
        }
        candidate.load().recordEnd(this, !isFailure(), now());
        recordComplete();
        if (!isFailure()) {
            forwardBuffered();
            return;
        }
        done = true;
        stopChecks();
        // These statuses suggest that the request did not run. They are not passed on, because the upstream has not
        // stated explicitly that it did not run the request.
        Outcome outcome = impliesNotRun() ? Outcome.UNKNOWN : Outcome.FAILED;
        if (request.attemptFailed(this, outcome, "the upstream responded with status " + status)) {
            forwardBuffered();
        } else {
            buffered.release();
        }
    }

    private void forwardBuffered() {
        complete(true);
        request.response().writeComplete(status, headers, buffered);
        request.attemptAnswered(this, status);
    }

    /** A first event proves nothing: the upstream may crash right after it. One long after it clears the parts of the prompt. */
    private void recordSurvival() {
        if (events == 0) {
            firstEventNanos = now();
        }
        if (!partsProven && now() - firstEventNanos >= CRASH_TIME.toNanos()) {
            partsProven = true;
            request.gateway().crashLedger().recordServed(request.traits().sharedParts(), now());
        }
    }

    /** A response that ends with its connection looks complete also where its upstream crashed. */
    private void recordComplete() {
        List<RequestTrait> served = isSuccess() ? request.traits().all() : List.of(identity());
        if (endsWithConnection) {
            request.gateway().crashDetector().connectionEnded(candidate.upstream(), pool, served);
        } else {
            request.gateway().crashLedger().recordServed(served, now());
        }
    }

    private void recordLostConnection() {
        List<RequestTrait> suspects =
                partsProven ? List.of(identity()) : request.traits().all();
        request.gateway().crashDetector().connectionLost(candidate.upstream(), pool, suspects);
    }

    private void abort(String detail) {
        closeConnection();
        candidate.load().recordEnd(this, false, now());
        end(Outcome.UNKNOWN, detail);
    }

    /** Ends the attempt before anything was sent; its connection remains usable. */
    private void endUnsent(HttpConnection open, Outcome outcome, String detail) {
        pool.release(open);
        candidate.load().discard(this);
        end(outcome, detail);
    }

    private void end(Outcome outcome, String detail) {
        if (done) {
            return;
        }
        done = true;
        stopChecks();
        buffered.release();
        request.attemptFailed(this, outcome, detail);
        request.gateway().serveWaitingAt(upstreamId());
    }

    private void complete(boolean succeeded) {
        if (done) {
            return;
        }
        done = true;
        stopChecks();
        if (succeeded) {
            candidate.load().recordEnd(this, true, now());
            request.gateway().metrics().firstByte(firstByteMillis(), predictedMillis());
        } else {
            closeConnection();
            buffered.release();
        }
        connection = Optional.empty();
        request.gateway().serveWaitingAt(upstreamId());
    }

    private void trackUnread(HttpConnection open) {
        if (done) {
            return;
        }
        BufferBudget budget = request.gateway().bufferBudget();
        UnreadRequest sending = new UnreadRequest(open, () -> abort("the upstream does not read the request"));
        unread = Optional.of(sending);
        budget.add(sending);
        budget.recordWritten(request.callerRequest().body().length);
    }

    /** Ends an attempt whose upstream has closed a response that was not read. The upstream has not failed. */
    private void endForSlowCaller() {
        candidate.load().discard(this);
        done = true;
        stopChecks();
        buffered.release();
        request.endForSlowCaller(this);
        request.gateway().serveWaitingAt(upstreamId());
    }

    private void closeConnection() {
        connection.ifPresent(HttpConnection::close);
        connection = Optional.empty();
    }

    private void releaseConnection() {
        connection.ifPresent(open -> {
            open.setReading(true);
            pool.release(open);
        });
        connection = Optional.empty();
    }

    private Duration stallTimeout() {
        if (request.route().kind().isStream()) {
            long millis = (long) Math.max(
                    MINIMUM_STREAM_STALL_TIMEOUT.toMillis(), predictedMillis * STALL_TIMEOUT_PER_PREDICTED_LATENCY);
            return Duration.ofMillis(millis);
        }
        return Duration.ofMillis((long) (request.remainingTime().toMillis() * STALL_TIMEOUT_SHARE_OF_REMAINING_TIME));
    }

    /** An attempt whose response is not being read, because its caller does not read, has not stalled. */
    private boolean mayRetryElsewhere() {
        return !paused.isPaused() && request.route().kind().isIdempotent() && request.mayRetryElsewhere();
    }

    /** Ends all checks of the progress that the attempt makes. */
    private void stopChecks() {
        unread.ifPresent(request.gateway().bufferBudget()::remove);
        unread = Optional.empty();
        request.gateway().unstartedAttempts().remove(this);
        progress.end();
    }

    private long now() {
        return request.gateway().timers().nanoTime();
    }
}
