package org.galenahinge.wire;

import org.galenahinge.wire.generated.Frame;

/** Handles the events of connections. Called on the connection's thread; must not block. */
public interface WireHandler {
    /**
     * Handles a connection that was opened.
     *
     * @param connection the connection
     */
    void opened(WireConnection connection);

    /**
     * Handles a frame that is not a response in an exchange that this side opened.
     *
     * @param connection the connection
     * @param frame the frame
     */
    void received(WireConnection connection, Frame frame);

    /**
     * Handles a connection that was closed or lost.
     *
     * @param connection the connection
     */
    void closed(WireConnection connection);
}
