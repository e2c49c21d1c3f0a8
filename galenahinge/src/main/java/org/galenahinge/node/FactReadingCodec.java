package org.galenahinge.node;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactSource.ReadResult;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.wire.generated.FactReading;

/** Encodes what one entry reads from another one. */
final class FactReadingCodec {
    private FactReadingCodec() {}

    /**
     * What a reader receives.
     *
     * @param result the facts
     * @param nodes the addresses, as text, of the entries that the sender considers up
     */
    record Reading(ReadResult result, List<String> nodes) {
        Reading {
            nodes = List.copyOf(nodes);
        }
    }

    static byte[] encode(FactLog.Changes changes, Duration age, List<String> nodes, boolean compressed) {
        FactReading.Builder reading = FactReading.newBuilder()
                .setRevision(changes.cursor().position().revision())
                .setEpoch(changes.cursor().position().epoch())
                .setLog(changes.cursor().logId())
                .setSequence(changes.cursor().sequence())
                .setWhole(changes.snapshot())
                .setAgeMillis(age.toMillis())
                .addAllNodes(nodes);
        changes.items().forEach(item -> reading.addItems(FactItemCodec.encode(item)));
        byte[] bytes = reading.build().toByteArray();
        return compressed ? Compression.compress(bytes) : bytes;
    }

    static Reading decode(byte[] bytes, boolean compressed) throws IOException {
        FactReading reading = FactReading.parseFrom(compressed ? Compression.decompress(bytes) : bytes);
        List<FactItem> items =
                reading.getItemsList().stream().map(FactItemCodec::decode).toList();
        FactCursor cursor = new FactCursor(
                new StorePosition(reading.getEpoch(), reading.getRevision()), reading.getLog(), reading.getSequence());
        Duration age = Duration.ofMillis(reading.getAgeMillis());
        return new Reading(new ReadResult(items, reading.getWhole(), cursor, age), reading.getNodesList());
    }
}
