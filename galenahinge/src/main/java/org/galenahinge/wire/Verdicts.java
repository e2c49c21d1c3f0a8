package org.galenahinge.wire;

import java.time.Duration;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.generated.CallEnd;
import org.galenahinge.wire.generated.VerdictKind;

/** Encodes verdicts as the frame that ends a request, and decodes them. */
public final class Verdicts {
    private Verdicts() {}

    /**
     * Encodes a verdict as the body of the frame that ends a request.
     *
     * @param requestId the request that ends
     * @param verdict the verdict
     * @return the frame's body, to which the sender's load may be added
     */
    public static CallEnd.Builder toWire(String requestId, Verdict verdict) {
        CallEnd.Builder end = CallEnd.newBuilder().setRequestId(requestId);
        if (verdict instanceof Verdict.NotRun notRun) {
            return end.setVerdict(VerdictKind.NOT_RUN)
                    .setReason(notRun.reason().label())
                    .setDetail(notRun.detail())
                    .setRetryAfterMillis(notRun.retryAfter().toMillis());
        }
        if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
            return end.setVerdict(VerdictKind.MAY_HAVE_RUN)
                    .setReason(mayHaveRun.reason().label())
                    .setDetail(mayHaveRun.detail());
        }
        return end.setVerdict(VerdictKind.ANSWERED);
    }

    /**
     * Decodes the verdict of the frame that ended a request. An unknown kind of verdict becomes "may have run".
     *
     * @param end the frame's body
     * @return the verdict
     */
    public static Verdict fromWire(CallEnd end) {
        Reason reason = Reason.of(end.getReason());
        return switch (end.getVerdict()) {
            case ANSWERED -> Verdict.answered();
            case NOT_RUN -> Verdict.notRun(reason, end.getDetail(), Duration.ofMillis(end.getRetryAfterMillis()));
            case MAY_HAVE_RUN, UNRECOGNIZED -> Verdict.mayHaveRun(reason, end.getDetail());
        };
    }
}
