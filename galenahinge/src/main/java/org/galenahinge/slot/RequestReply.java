package org.galenahinge.slot;

import com.google.protobuf.UnsafeByteOperations;
import java.util.Objects;
import java.util.function.Predicate;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.Verdicts;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallEnd;
import org.galenahinge.wire.generated.CallHead;
import org.galenahinge.wire.generated.CallPart;
import org.galenahinge.wire.generated.Frame;

/**
 * Sends the response to one request to the entry that the request came from. A response of which a frame could not be sent
 * never ends with the verdict "answered".
 */
final class RequestReply {
    private final Predicate<Frame.Builder> sender;
    private final String requestId;
    private volatile boolean incomplete;

    /**
     * Creates a reply.
     *
     * @param sender sends a frame; returns false when the connection is closed or its write buffer is full
     * @param requestId the request's identifier
     */
    RequestReply(Predicate<Frame.Builder> sender, String requestId) {
        this.sender = Objects.requireNonNull(sender, "sender");
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    /** Creates a reply in an exchange that the entry opened. */
    static RequestReply of(WireConnection connection, long correlation, String requestId) {
        return new RequestReply(frame -> connection.reply(correlation, frame), requestId);
    }

    /** Returns false when the connection is closed or its write buffer is full: nothing was sent. */
    boolean sendHead(int status, String contentType, String fingerprint) {
        CallHead head = CallHead.newBuilder()
                .setRequestId(requestId)
                .setStatus(status)
                .setContentType(contentType)
                .setFingerprint(fingerprint)
                .build();
        return send(Frame.newBuilder().setCallHead(head));
    }

    /** Returns false when the connection is closed or its write buffer is full: nothing was sent. */
    boolean sendBodyPart(byte[] content) {
        CallPart part = CallPart.newBuilder()
                .setContent(UnsafeByteOperations.unsafeWrap(content))
                .build();
        return send(Frame.newBuilder().setCallPart(part));
    }

    void sendEnd(Verdict verdict, int inFlight, int queued) {
        CallEnd end = Verdicts.toWire(requestId, verdictOfSent(verdict))
                .setInFlight(inFlight)
                .setQueued(queued)
                .build();
        send(Frame.newBuilder().setCallEnd(end));
    }

    /** Sends a cached response with the verdict "answered". */
    void sendComplete(CachedResponse response, int inFlight, int queued) {
        sendHead(response.status(), response.contentType(), "");
        sendBodyPart(response.body());
        sendEnd(Verdict.answered(), inFlight, queued);
    }

    private boolean send(Frame.Builder frame) {
        boolean sent = sender.test(frame);
        if (!sent) {
            incomplete = true;
        }
        return sent;
    }

    private Verdict verdictOfSent(Verdict verdict) {
        return incomplete && verdict instanceof Verdict.Answered
                ? Verdict.mayHaveRun(Reason.CONNECTION_LOST, "a part of the response could not be sent to the entry")
                : verdict;
    }
}
