package org.galenahinge.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenahinge.quarantine.Crash;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.PromptPart;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.CrashMessage;
import org.galenahinge.wire.generated.CrashRecord;

/** Encodes crashes of engines as datagrams between entries, and decodes them. */
final class CrashCodec {
    /** A datagram of this size is not fragmented on common links. */
    private static final int MAXIMUM_DATAGRAM_BYTES = 1_200;

    private CrashCodec() {}

    /**
     * A datagram from another entry.
     *
     * @param requestsAll whether the sender asks for all crashes that this node knows
     * @param sender where the sender listens for the response
     * @param crashes the crashes that the sender knows
     */
    record Received(boolean requestsAll, WireAddress sender, List<AgedCrash> crashes) {
        Received {
            crashes = List.copyOf(crashes);
        }
    }

    /** Encodes a request for all crashes that the receiver knows. */
    static byte[] encodeRequest(WireAddress sender) {
        return CrashMessage.newBuilder()
                .setSender(sender.toString())
                .setRequestsAll(true)
                .build()
                .toByteArray();
    }

    /** Encodes crashes as as few datagrams as they fit into. */
    static List<byte[]> encode(WireAddress sender, List<AgedCrash> crashes) {
        List<byte[]> datagrams = new ArrayList<>();
        CrashMessage.Builder message = CrashMessage.newBuilder().setSender(sender.toString());
        int bytes = 0;
        for (AgedCrash crash : crashes) {
            CrashRecord encoded = recordOf(crash);
            if (bytes > 0 && bytes + encoded.getSerializedSize() > MAXIMUM_DATAGRAM_BYTES) {
                datagrams.add(message.build().toByteArray());
                message.clearCrashes();
                bytes = 0;
            }
            message.addCrashes(encoded);
            bytes += encoded.getSerializedSize();
        }
        if (bytes > 0) {
            datagrams.add(message.build().toByteArray());
        }
        return datagrams;
    }

    /** Decodes a datagram; returns empty when it is malformed. */
    static Optional<Received> decode(ByteBuffer bytes) {
        try {
            CrashMessage message = CrashMessage.parseFrom(bytes);
            List<AgedCrash> crashes =
                    message.getCrashesList().stream().map(CrashCodec::crashOf).toList();
            return Optional.of(new Received(message.getRequestsAll(), WireAddress.parse(message.getSender()), crashes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static CrashRecord recordOf(AgedCrash aged) {
        return CrashRecord.newBuilder()
                .setUpstream(aged.crash().upstream())
                .setAgeMillis(aged.age().toMillis())
                .addAllSuspects(ids(aged.crash().suspects()))
                .addAllCleared(ids(aged.crash().cleared()))
                .build();
    }

    private static AgedCrash crashOf(CrashRecord encoded) {
        Crash crash =
                new Crash(encoded.getUpstream(), parts(encoded.getSuspectsList()), parts(encoded.getClearedList()));
        return new AgedCrash(crash, Duration.ofMillis(encoded.getAgeMillis()));
    }

    private static List<Long> ids(Set<PromptPart> parts) {
        return parts.stream().map(PromptPart::id).toList();
    }

    private static Set<PromptPart> parts(Collection<Long> ids) {
        return ids.stream().map(PromptPart::new).collect(Collectors.toSet());
    }
}
