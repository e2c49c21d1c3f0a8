package org.galenahinge.request;

import java.util.Objects;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Holds the answer to a request. The verdict of a streamed answer is that of its head: a stream that breaks later
 * fails, and is never ended as if it were whole.
 *
 * @param verdict whether the request may have run
 * @param status the HTTP status
 * @param contentType the content type
 * @param fingerprint the weights that a draft was made with, empty for others
 * @param vm the VM that answered, empty when none did
 * @param body the body
 */
public record Answer(
        Verdict verdict,
        int status,
        String contentType,
        String fingerprint,
        String vm,
        Source<ByteString, NotUsed> body) {
    /** Checks the parts. */
    public Answer {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates an answer without a body of the upstream: the verdict says it all.
     *
     * @param verdict a refusal or an unknown outcome
     * @param vm the VM that said so, empty when none did
     * @return the answer
     */
    public static Answer of(Verdict verdict, String vm) {
        return new Answer(verdict, statusOf(verdict), "", "", vm, Source.empty());
    }

    /**
     * Adds something to do once the body has ended, in whatever way.
     *
     * @param action runs exactly once if the body is read
     * @return the answer with the action
     */
    public Answer whenEnded(Runnable action) {
        Source<ByteString, NotUsed> watched = body.watchTermination((used, done) -> {
            done.whenComplete((Done value, Throwable error) -> action.run());
            return used;
        });
        return new Answer(verdict, status, contentType, fingerprint, vm, watched);
    }

    private static int statusOf(Verdict verdict) {
        if (verdict instanceof Verdict.NotRun notRun) {
            return notRun.reason().status();
        }
        if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
            return mayHaveRun.reason().status();
        }
        throw new IllegalArgumentException("an answered request has the upstream's status");
    }
}
