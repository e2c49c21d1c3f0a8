package org.galenahinge.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;

/** Knows the names under which callers and upstreams speak to the system. Holds no state and decides nothing. */
public interface CallTranslator {
    /**
     * Reads what a request's head says to the system. A part that cannot be read counts as absent.
     *
     * @param headers the caller's headers
     * @return what they say
     */
    CallHead read(HttpHeaders headers);

    /**
     * Turns a caller's headers into those for an upstream.
     *
     * @param headers a copy of the caller's headers without those on the connection, which is changed
     * @param forwarding what the system says
     */
    void prepare(HttpHeaders headers, Forwarding forwarding);

    /**
     * Reads what an upstream's answer says to the system.
     *
     * @param response the head of the answer
     * @return what it says
     */
    UpstreamAnswer read(HttpResponse response);

    /**
     * Says in a refusal when to come back.
     *
     * @param headers the refusal's headers
     * @param after how long from now
     */
    void refuse(HttpHeaders headers, Duration after);
}
