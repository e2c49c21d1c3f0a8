package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;

/**
 * Translates between the HTTP headers of callers and upstreams and the gateway's own types. Stateless; makes no
 * decisions.
 */
public interface RequestTranslator {
    /**
     * Reads the metadata of a request from its headers. A header that cannot be parsed counts as absent.
     *
     * @param headers the caller's headers
     * @return the metadata
     */
    RequestMetadata readRequest(HttpHeaders headers);

    /**
     * Converts the headers of a caller to those for an upstream.
     *
     * @param headers a copy of the caller's headers without hop-by-hop headers, changed in place
     * @param forwarding what the system adds
     */
    void setUpstreamHeaders(HttpHeaders headers, ForwardingHeaders forwarding);

    /**
     * Reads the metadata of an upstream's response from its headers.
     *
     * @param response the head of the response
     * @return the metadata
     */
    UpstreamResponse readResponse(HttpResponse response);

    /**
     * Sets the header that tells a caller when to retry a rejected request.
     *
     * @param headers the headers of the rejection, changed in place
     * @param delay the time from now until the retry
     */
    void setRetryAfter(HttpHeaders headers, Duration delay);
}
