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
 * Sends the answer of one call back to the entry that it came from.
 *
 * @param link the link to the entry
 * @param correlation the exchange on that link
 * @param requestId the request
 */
record CallReply(WireConnection link, long correlation, String requestId) {
    boolean head(int status, String contentType, String fingerprint) {
        CallHead head = CallHead.newBuilder()
                .setRequestId(requestId)
                .setStatus(status)
                .setContentType(contentType)
                .setFingerprint(fingerprint)
                .build();
        return link.reply(correlation, Frame.newBuilder().setCallHead(head));
    }

    boolean part(byte[] content) {
        CallPart part = CallPart.newBuilder()
                .setContent(UnsafeByteOperations.unsafeWrap(content))
                .build();
        return link.reply(correlation, Frame.newBuilder().setCallPart(part));
    }

    void end(Verdict verdict, int inFlight, int queued) {
        CallEnd end = Verdicts.toWire(requestId, verdict)
                .setInFlight(inFlight)
                .setQueued(queued)
                .build();
        link.reply(correlation, Frame.newBuilder().setCallEnd(end));
    }

    void whole(KeptAnswer answer, int inFlight, int queued) {
        boolean sent = head(answer.status(), answer.contentType(), "") && part(answer.body());
        if (sent) {
            end(Verdict.answered(), inFlight, queued);
        }
    }
}
