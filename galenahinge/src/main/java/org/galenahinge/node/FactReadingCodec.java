package org.galenahinge.node;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactSource.ReadResult;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.wire.generated.FactReading;
import org.galenahinge.wire.generated.StoreDistance;

/** Encodes what one entry reads from another one. Items that are large are compressed, once for all that read the same. */
final class FactReadingCodec {
    private static final int COMPRESSED_FROM_BYTES = 1_024;

    private FactReadingCodec() {}

    /**
     * What a reader receives.
     *
     * @param result the facts
     * @param nodes the addresses, as text, of the entries that the sender considers up
     * @param distances how far failure domains are from the store, in microseconds
     */
    record Reading(ReadResult result, List<String> nodes, Map<String, Long> distances) {
        Reading {
            nodes = List.copyOf(nodes);
            distances = Map.copyOf(distances);
        }
    }

    /**
     * How up to date a sender is.
     *
     * @param age the age of its facts
     * @param arriving whether newer facts are on their way to it
     */
    record Freshness(Duration age, boolean arriving) {}

    /**
     * Encodes what does not depend on when it is sent.
     *
     * @param changes the changes that a reader does not know
     * @return a message without the age and the nodes
     */
    static FactReading prepare(FactLog.Changes changes) {
        FactReading.Builder items = FactReading.newBuilder();
        changes.items().forEach(item -> items.addItems(FactItemCodec.encode(item)));
        byte[] encoded = items.build().toByteArray();
        FactReading.Builder reading = encoded.length < COMPRESSED_FROM_BYTES
                ? items
                : FactReading.newBuilder().setCompressedItems(ByteString.copyFrom(Compression.compress(encoded)));
        return reading.setRevision(changes.cursor().position().revision())
                .setEpoch(changes.cursor().position().epoch())
                .setLog(changes.cursor().logId())
                .setSequence(changes.cursor().sequence())
                .setWhole(changes.snapshot())
                .build();
    }

    static byte[] encode(FactReading prepared, Freshness freshness, List<String> nodes, Map<String, Long> distances) {
        FactReading.Builder reading = prepared.toBuilder()
                .setAgeMillis(freshness.age().toMillis())
                .setArriving(freshness.arriving())
                .addAllNodes(nodes);
        distances.forEach((zone, micros) ->
                reading.addDistances(StoreDistance.newBuilder().setZone(zone).setMicros(micros)));
        return reading.build().toByteArray();
    }

    /**
     * Decodes a response.
     *
     * @param bytes the response
     * @return what it says
     * @throws IOException when it is malformed
     */
    static Reading decode(byte[] bytes) throws IOException {
        FactReading reading = FactReading.parseFrom(bytes);
        FactReading entries = reading.getCompressedItems().isEmpty()
                ? reading
                : FactReading.parseFrom(
                        Compression.decompress(reading.getCompressedItems().toByteArray()));
        List<FactItem> items =
                entries.getItemsList().stream().map(FactItemCodec::decode).toList();
        FactCursor cursor = new FactCursor(
                new StorePosition(reading.getEpoch(), reading.getRevision()), reading.getLog(), reading.getSequence());
        Duration age = Duration.ofMillis(reading.getAgeMillis());
        Map<String, Long> distances = reading.getDistancesList().stream()
                .collect(Collectors.toMap(StoreDistance::getZone, StoreDistance::getMicros, Math::min));
        return new Reading(
                new ReadResult(items, reading.getWhole(), cursor, age, reading.getArriving()),
                reading.getNodesList(),
                distances);
    }
}
