package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response to one request. Method calls after its end, or after the caller has disconnected, do nothing. */
interface ResponseWriter {
    /**
     * Writes a complete response.
     *
     * @param status the status code
     * @param headers the headers, without those for length and connection
     * @param body the body; its reference is released
     */
    void writeComplete(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Writes the head of a response whose body follows in parts.
     *
     * @param status the status code
     * @param headers the headers, without those for length and connection
     */
    void writeHead(int status, HttpHeaders headers);

    /**
     * Writes a part of the body.
     *
     * @param content the bytes; their reference is released
     */
    void writePart(ByteBuf content);

    /** Ends a complete response. */
    void finish();

    /** Closes the connection in the middle of a response, so that the caller sees that the response is incomplete. */
    void abort();

    /**
     * Returns whether the caller reads fast enough for more to be written without filling buffers.
     *
     * @return whether the connection's write buffer has room
     */
    boolean isWritable();
}
