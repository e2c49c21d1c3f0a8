package org.galenahinge.node;

import com.google.protobuf.ByteString;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactRank;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.wire.generated.FactEntry;

/** Encodes items of the store for other nodes, with all that orders them. */
final class FactItemCodec {
    private FactItemCodec() {}

    static FactEntry encode(FactItem item) {
        FactEntry.Builder entry = FactEntry.newBuilder()
                .setKey(item.key())
                .setValue(ByteString.copyFrom(item.value()))
                .setEpoch(item.position().epoch())
                .setRevision(item.revision())
                .setPreviousRevision(item.previousRevision())
                .setRemoved(item.removed());
        item.rank()
                .ifPresent(rank -> entry.setRanked(true)
                        .setLineage(rank.lineage())
                        .setStage(rank.stage())
                        .setPermanent(rank.permanent()));
        return entry.build();
    }

    static FactItem decode(FactEntry entry) {
        StorePosition position = new StorePosition(entry.getEpoch(), entry.getRevision());
        FactItem unordered = entry.getRemoved()
                ? FactItem.removed(entry.getKey(), position)
                : FactItem.written(entry.getKey(), entry.getValue().toByteArray(), position);
        FactItem item = unordered.withPreviousRevision(entry.getPreviousRevision());
        return entry.getRanked()
                ? item.withRank(new FactRank(entry.getLineage(), entry.getStage(), entry.getPermanent()))
                : item;
    }
}
