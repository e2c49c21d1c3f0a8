package org.galenahinge.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.placement.LoadReport;
import org.galenahinge.placement.SlotShare;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.SlotLoad;

/** Encodes the load reports of slot processes as datagrams, and decodes them. */
final class LoadCodec {
    private LoadCodec() {}

    /**
     * A load report with the upstream that it describes.
     *
     * @param address the address of the upstream
     * @param incarnationMillis the incarnation of the upstream: its start time in milliseconds since 1970, 0 when
     *     unknown
     * @param report the load report
     * @param namedVersions the versions named lately of which the slot process knows the age
     */
    record UpstreamReport(
            WireAddress address, long incarnationMillis, LoadReport report, List<AgedVersion> namedVersions) {
        UpstreamReport {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(report, "report");
            namedVersions = List.copyOf(namedVersions);
        }
    }

    /** Encodes a report for each of several receivers, whose positions in the share of free slots differ. */
    static List<byte[]> encodeShared(UpstreamReport upstreamReport, List<SlotShare> shares) {
        SlotLoad common = message(upstreamReport);
        return shares.stream()
                .map(share -> common.toBuilder()
                        .setSharePosition(share.position())
                        .setShareReceivers(share.receivers())
                        .setShareWithheld(share.withheld())
                        .build()
                        .toByteArray())
                .toList();
    }

    private static SlotLoad message(UpstreamReport upstreamReport) {
        LoadReport report = upstreamReport.report();
        SlotLoad.Builder datagram = SlotLoad.newBuilder()
                .setAddress(upstreamReport.address().toString())
                .setBornMillis(upstreamReport.incarnationMillis())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setContextTokens(report.contextTokens())
                .setPace(report.pace())
                .setLoading(report.loading());
        report.untilReload()
                .ifPresent(untilLoad -> datagram.setTurnKnown(true).setUntilTurnMillis(untilLoad.toMillis()));
        upstreamReport.namedVersions().forEach(version -> datagram.addNamed(VersionGossip.encode(version)));
        report.weights().ifPresent(held -> datagram.setModel(held.model()).setVersion(held.version()));
        return datagram.build();
    }

    /** Decodes a datagram; returns empty when it is malformed. */
    static Optional<UpstreamReport> decode(ByteBuffer bytes) {
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
                    weights,
                    new SlotShare(
                            datagram.getSharePosition(), datagram.getShareReceivers(), datagram.getShareWithheld()));
            List<AgedVersion> namedVersions = datagram.getNamedList().stream()
                    .filter(VersionGossip::isValid)
                    .map(VersionGossip::decode)
                    .toList();
            return Optional.of(new UpstreamReport(
                    WireAddress.parse(datagram.getAddress()), datagram.getBornMillis(), report, namedVersions));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
