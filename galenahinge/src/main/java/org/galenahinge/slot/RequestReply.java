package org.galenahinge.slot;

import com.google.protobuf.UnsafeByteOperations;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.Verdicts;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.CallEnd;
import org.galenahinge.wire.generated.CallHead;
import org.galenahinge.wire.generated.CallPart;
import org.galenahinge.wire.generated.Frame;

/**
 * Sends the response to one request to the entry that the request came from.
 *
 * @param connection the connection to the entry
 * @param correlation the number of the exchange on that connection
 * @param requestId the request's identifier
 */
record RequestReply(WireConnection connection, long correlation, String requestId) {
    /** Returns false when the connection is closed or its write buffer is full: nothing was sent. */
    boolean sendHead(int status, String contentType, String fingerprint) {
        CallHead head = CallHead.newBuilder()
                .setRequestId(requestId)
                .setStatus(status)
                .setContentType(contentType)
                .setFingerprint(fingerprint)
                .build();
        return connection.reply(correlation, Frame.newBuilder().setCallHead(head));
    }

    /** Returns false when the connection is closed or its write buffer is full: nothing was sent. */
    boolean sendBodyPart(byte[] content) {
        CallPart part = CallPart.newBuilder()
                .setContent(UnsafeByteOperations.unsafeWrap(content))
                .build();
        return connection.reply(correlation, Frame.newBuilder().setCallPart(part));
    }

    void sendEnd(Verdict verdict, int inFlight, int queued) {
        CallEnd end = Verdicts.toWire(requestId, verdict)
                .setInFlight(inFlight)
                .setQueued(queued)
                .build();
        connection.reply(correlation, Frame.newBuilder().setCallEnd(end));
    }

    /** Sends a cached response with the verdict "answered". */
    void sendComplete(CachedResponse response, int inFlight, int queued) {
        boolean sent = sendHead(response.status(), response.contentType(), "") && sendBodyPart(response.body());
        if (sent) {
            sendEnd(Verdict.answered(), inFlight, queued);
        }
    }
}
