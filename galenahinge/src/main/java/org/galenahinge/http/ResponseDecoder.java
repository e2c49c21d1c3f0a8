package org.galenahinge.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Objects;

/** Decodes the responses on a connection that carries one request at a time. Used by one network thread. */
final class ResponseDecoder extends HttpResponseDecoder {
    private HttpMethod method = HttpMethod.GET;

    ResponseDecoder(int maximumStatusLineBytes, int maximumHeaderBytes, int maximumBodyPartBytes) {
        super(maximumStatusLineBytes, maximumHeaderBytes, maximumBodyPartBytes);
    }

    /** Sets the method of the request whose response comes next; it determines whether the response has a body. */
    void expectResponseTo(HttpMethod newMethod) {
        method = Objects.requireNonNull(newMethod, "newMethod");
    }

    /** Returns whether bytes that were received have not been decoded yet. */
    boolean hasBytesLeft() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether a response to the current request may have a body, by its status and the request's method. */
    boolean mayHaveBody(HttpResponse response) {
        return !isContentAlwaysEmpty(response);
    }

    /** Fails for a status line without a valid status; the decoder reports that and decodes nothing more. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        StatusCode.faultOf(initialLine[1]).ifPresent(fault -> {
            throw new IllegalArgumentException(fault);
        });
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean informational = ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return (method.equals(HttpMethod.HEAD) && !informational) || super.isContentAlwaysEmpty(message);
    }
}
