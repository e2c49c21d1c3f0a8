package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Takes the answer to one request. Calls after the end, or after the caller has left, do nothing. */
interface CallerReply {
    /**
     * Sends a whole answer.
     *
     * @param status the status code
     * @param headers the headers, without those on length and connection
     * @param body the body, which is released
     */
    void whole(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Begins an answer whose parts follow.
     *
     * @param status the status code
     * @param headers the headers, without those on length and connection
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Sends a part.
     *
     * @param content the bytes, which are released
     */
    void part(ByteBuf content);

    /** Ends an answer that is complete. */
    void end();

    /** Ends an answer that is not complete, so that the caller sees that it is not. */
    void breakOff();

    /**
     * Tells whether more may be sent without piling up.
     *
     * @return whether the caller keeps up
     */
    boolean isWritable();
}
