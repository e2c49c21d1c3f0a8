package org.galenahinge.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.placement.UpstreamLoad.LoadReport;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.SlotLoad;

/** Turns what a slot process says of its upstream into a datagram and back. */
final class LoadCodec {
    private LoadCodec() {}

    /**
     * A report with the upstream that it is about.
     *
     * @param address where the upstream listens
     * @param bornMillis when it started, in milliseconds since 1970; 0 where unknown
     * @param report the report
     */
    record Load(WireAddress address, long bornMillis, LoadReport report) {
        Load {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(report, "report");
        }
    }

    static byte[] write(Load load) {
        LoadReport report = load.report();
        SlotLoad.Builder datagram = SlotLoad.newBuilder()
                .setAddress(load.address().toString())
                .setBornMillis(load.bornMillis())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setContextTokens(report.contextTokens())
                .setPace(report.pace())
                .setLoading(report.loading());
        report.untilReload().ifPresent(left -> datagram.setTurnKnown(true).setUntilTurnMillis(left.toMillis()));
        report.weights().ifPresent(held -> datagram.setModel(held.model()).setVersion(held.version()));
        return datagram.build().toByteArray();
    }

    static Optional<Load> read(ByteBuffer bytes) {
        try {
            SlotLoad datagram = SlotLoad.parseFrom(bytes);
            Optional<WeightsVersion> weights = datagram.getModel().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new WeightsVersion(datagram.getModel(), datagram.getVersion()));
            LoadReport report = new LoadReport(
                    datagram.getRunning(),
                    datagram.getWaiting(),
                    datagram.getContextTokens(),
                    datagram.getPace(),
                    datagram.getLoading(),
                    datagram.getTurnKnown()
                            ? Optional.of(Duration.ofMillis(datagram.getUntilTurnMillis()))
                            : Optional.empty(),
                    weights);
            return Optional.of(new Load(WireAddress.parse(datagram.getAddress()), datagram.getBornMillis(), report));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
