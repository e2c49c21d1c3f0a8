package org.galenahinge.node;

import java.time.Duration;
import java.util.List;
import org.galenahinge.wire.generated.GossipRecord;

/** Records of one kind that the entries exchange. Merging them must not depend on order, loss or repetition. */
interface GossipSource {
    /** Returns the records of which this node has learnt something new. */
    List<GossipRecord> changedWithin(Duration since, long nowNanos);

    /** Returns all records, which are bounded in number. */
    List<GossipRecord> all(long nowNanos);

    /** Merges a record of another entry; ignores those of other kinds, and those with values out of range. */
    void receive(GossipRecord gossiped, long nowNanos);
}
