package org.galenahinge.gateway;

import java.util.Objects;
import org.galenahinge.http.HttpConnection;

/** A request that was sent on a connection to an upstream, which may not have read all of it. */
final class UnreadRequest implements BufferBudget.Holder {
    private final HttpConnection connection;
    private final Runnable abort;

    /**
     * Creates an unread request.
     *
     * @param connection the connection on which the request was sent
     * @param abort ends the attempt and closes the connection
     */
    UnreadRequest(HttpConnection connection, Runnable abort) {
        this.connection = Objects.requireNonNull(connection, "connection");
        this.abort = Objects.requireNonNull(abort, "abort");
    }

    @Override
    public long unreadBytes() {
        return connection.unwrittenBytes();
    }

    @Override
    public void closeForBudget() {
        abort.run();
    }

    @Override
    public void resume() {
        // A request is written at once, and nothing follows it.
    }
}
