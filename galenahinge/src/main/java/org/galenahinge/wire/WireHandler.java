package org.galenahinge.wire;

import org.galenahinge.wire.generated.Frame;

/** Handles what arrives on links. Called on the link's thread; must not block. */
public interface WireHandler {
    /**
     * Handles a link that came up.
     *
     * @param link the link
     */
    void opened(WireConnection link);

    /**
     * Handles a frame that is not an answer to one of our exchanges.
     *
     * @param link the link
     * @param frame the frame
     */
    void received(WireConnection link, Frame frame);

    /**
     * Handles a link that went down.
     *
     * @param link the link
     */
    void closed(WireConnection link);
}
