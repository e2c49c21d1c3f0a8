package org.galenahinge.request;

import java.util.Objects;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * The response to a request. The verdict of a streamed response is fixed when its head arrives: a stream that breaks
 * later fails and never ends as if it were complete.
 *
 * @param verdict whether the request may have run
 * @param status the HTTP status
 * @param contentType the content type
 * @param fingerprint identifies the weights that produced a model's response, empty for a plain service
 * @param vm the VM that responded, empty when none did
 * @param body the body
 */
public record Response(
        Verdict verdict,
        int status,
        String contentType,
        String fingerprint,
        String vm,
        Source<ByteString, NotUsed> body) {
    public Response {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates a response with an empty body and the HTTP status of the verdict's reason.
     *
     * @param verdict {@link Verdict.NotRun} or {@link Verdict.MayHaveRun}
     * @param vm the VM that gave the verdict, empty when none did
     * @return the response
     * @throws IllegalArgumentException if the verdict is {@link Verdict.Answered}
     */
    public static Response of(Verdict verdict, String vm) {
        return new Response(verdict, statusOf(verdict), "", "", vm, Source.empty());
    }

    /**
     * Adds an action that runs once the body has completed, failed or been cancelled.
     *
     * @param action runs exactly once if the body is read
     * @return a copy with the action
     */
    public Response whenEnded(Runnable action) {
        Source<ByteString, NotUsed> watched = body.watchTermination((used, done) -> {
            done.whenComplete((Done value, Throwable error) -> action.run());
            return used;
        });
        return new Response(verdict, status, contentType, fingerprint, vm, watched);
    }

    private static int statusOf(Verdict verdict) {
        if (verdict instanceof Verdict.NotRun notRun) {
            return notRun.reason().status();
        }
        if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
            return mayHaveRun.reason().status();
        }
        throw new IllegalArgumentException("an answered request has the status of the upstream's response");
    }
}
