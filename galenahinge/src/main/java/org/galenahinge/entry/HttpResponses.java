package org.galenahinge.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Objects;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Response;
import org.galenahinge.request.Verdict;

/** Builds HTTP responses. Those to a request carry its verdict and its id as headers. */
final class HttpResponses {
    static final String REQUEST_ID = "Galenahinge-Request-Id";
    static final String VERDICT = "Galenahinge-Verdict";
    static final String REASON = "Galenahinge-Reason";
    static final String FINGERPRINT = "Galenahinge-Fingerprint";
    static final String REPLICA = "Galenahinge-Replica";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ContentType EVENT_STREAM = MediaTypes.TEXT_EVENT_STREAM.toContentType();

    private HttpResponses() {}

    /** Converts a response: the body for the verdict "answered", else an error document. */
    static HttpResponse of(String requestId, boolean streamed, Response response) {
        Objects.requireNonNull(response, "response");
        if (!(response.verdict() instanceof Verdict.Answered)) {
            return failure(requestId, response.verdict());
        }
        HttpResponse httpResponse = HttpResponse.create()
                .withStatus(response.status())
                .addHeader(RawHeader.create(REQUEST_ID, requestId))
                .addHeader(RawHeader.create(VERDICT, response.verdict().label()))
                .addHeader(RawHeader.create(REPLICA, response.vm()));
        if (!response.fingerprint().isEmpty()) {
            httpResponse = httpResponse.addHeader(RawHeader.create(FINGERPRINT, response.fingerprint()));
        }
        boolean events = streamed && response.status() == 200;
        ContentType type = events ? EVENT_STREAM : ContentTypes.APPLICATION_JSON;
        return httpResponse.withEntity(HttpEntities.createChunked(type, response.body()));
    }

    /** Builds the error response to a request that did not run or may have run, in the JSON format of model servers. */
    static HttpResponse failure(String requestId, Verdict verdict) {
        Reason reason = reasonOf(verdict);
        ObjectNode error = JSON.createObjectNode();
        error.putObject("error")
                .put("message", detailOf(verdict))
                .put("type", verdict.label())
                .put("code", reason.label());
        HttpResponse httpResponse = json(reason.status(), error)
                .addHeader(RawHeader.create(REQUEST_ID, requestId))
                .addHeader(RawHeader.create(VERDICT, verdict.label()))
                .addHeader(RawHeader.create(REASON, reason.label()));
        if (verdict instanceof Verdict.NotRun notRun) {
            double seconds = notRun.retryAfter().toMillis() / 1_000.0;
            httpResponse = httpResponse
                    .addHeader(RawHeader.create("Retry-After", Long.toString((long) Math.ceil(seconds))))
                    .addHeader(RawHeader.create(
                            "Retry-After-Ms", Long.toString(notRun.retryAfter().toMillis())));
        }
        return httpResponse;
    }

    static HttpResponse of(HttpDocument document) {
        ContentType type = document.contentType().startsWith("text/plain")
                ? ContentTypes.TEXT_PLAIN_UTF8
                : ContentTypes.APPLICATION_JSON;
        return HttpResponse.create().withStatus(document.status()).withEntity(type, document.body());
    }

    static HttpResponse json(int status, Object document) {
        try {
            return HttpResponse.create()
                    .withStatus(status)
                    .withEntity(ContentTypes.APPLICATION_JSON, JSON.writeValueAsString(document) + "\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static HttpResponse notFound(String path) {
        ObjectNode error = JSON.createObjectNode();
        error.putObject("error")
                .put("message", "no resource at " + path)
                .put("type", "not-run")
                .put("code", Reason.UNKNOWN_TARGET.label().toLowerCase(Locale.ROOT));
        return json(404, error).addHeader(RawHeader.create(VERDICT, "not-run"));
    }

    private static Reason reasonOf(Verdict verdict) {
        if (verdict instanceof Verdict.NotRun notRun) {
            return notRun.reason();
        }
        return verdict instanceof Verdict.MayHaveRun mayHaveRun ? mayHaveRun.reason() : Reason.INTERNAL;
    }

    private static String detailOf(Verdict verdict) {
        if (verdict instanceof Verdict.NotRun notRun) {
            return notRun.detail();
        }
        return verdict instanceof Verdict.MayHaveRun mayHaveRun ? mayHaveRun.detail() : "";
    }
}
