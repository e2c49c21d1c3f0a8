package org.galenahinge.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.GossipMessage;
import org.galenahinge.wire.generated.GossipRecord;

/** Encodes the datagrams of {@link EntryGossip}, and decodes them. */
final class GossipCodec {
    /** A datagram of this size is not fragmented on common links. */
    private static final int MAXIMUM_DATAGRAM_BYTES = 1_200;

    private GossipCodec() {}

    /**
     * A datagram from another entry.
     *
     * @param requestsAll whether the sender asks for all records that this node knows
     * @param sender where the sender listens for the response
     * @param records the records that the sender knows
     */
    record Received(boolean requestsAll, WireAddress sender, List<GossipRecord> records) {
        Received {
            records = List.copyOf(records);
        }
    }

    /** Encodes a request for all records that the receiver knows. */
    static byte[] encodeRequest(WireAddress sender) {
        return GossipMessage.newBuilder()
                .setSender(sender.toString())
                .setRequestsAll(true)
                .build()
                .toByteArray();
    }

    /** Encodes records as as few datagrams as they fit into, in their order. */
    static List<byte[]> encode(WireAddress sender, List<GossipRecord> records) {
        List<byte[]> datagrams = new ArrayList<>();
        GossipMessage.Builder message = GossipMessage.newBuilder().setSender(sender.toString());
        int bytes = 0;
        for (GossipRecord next : records) {
            if (bytes > 0 && bytes + next.getSerializedSize() > MAXIMUM_DATAGRAM_BYTES) {
                datagrams.add(message.build().toByteArray());
                message.clearRecords();
                bytes = 0;
            }
            message.addRecords(next);
            bytes += next.getSerializedSize();
        }
        if (bytes > 0) {
            datagrams.add(message.build().toByteArray());
        }
        return datagrams;
    }

    /** Decodes a datagram; returns empty when it is malformed. */
    static Optional<Received> decode(ByteBuffer bytes) {
        try {
            GossipMessage message = GossipMessage.parseFrom(bytes);
            return Optional.of(new Received(
                    message.getRequestsAll(), WireAddress.parse(message.getSender()), message.getRecordsList()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
