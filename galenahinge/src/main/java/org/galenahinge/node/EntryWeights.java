package org.galenahinge.node;

import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.supply.LoadSchedule;
import org.galenahinge.supply.SupplyException;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.NamedVersion;
import org.galenahinge.wire.generated.WeightsOffer;

/** Reads weights from an entry. */
final class EntryWeights implements WeightsSource {
    /** How long an entry keeps a request for a chunk that is on its way. */
    static final Duration CHUNK_WAIT = Duration.ofMillis(700);

    private static final Duration MARGIN = Duration.ofMillis(900);
    private static final long MAXIMUM_BYTES = 8L << 20;
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    private final NetworkThreads threads;
    private final WireAddress address;

    EntryWeights(NetworkThreads threads, WireAddress address) {
        this.threads = Objects.requireNonNull(threads, "threads");
        this.address = Objects.requireNonNull(address, "address");
    }

    /** What an entry says of the weights of a service, with the entries that it knows to be up. */
    record Heard(Optional<WeightsDigests> digests, Duration age, LoadSchedule plan, List<String> nodes) {
        Heard {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * Asks which weights a service's engines are to hold.
     *
     * @param service the service
     * @param upstream where the asker's engine listens
     * @param knownVersion the version that the asker knows, 0 for none
     * @param wait how long to wait for a newer one
     * @return what the entry says
     */
    CompletionStage<Heard> wanted(String service, WireAddress upstream, long knownVersion, Duration wait) {
        String path = "/weights?service=" + service + "&upstream=" + upstream + "&known=" + knownVersion + "&wait="
                + wait.toMillis();
        return get(path, wait.plus(MARGIN)).thenApply(EntryWeights::parse);
    }

    @Override
    public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
        String path = "/manifest?model=" + weights.model() + "&version=" + weights.version() + "&wait="
                + CHUNK_WAIT.toMillis();
        return get(path, CHUNK_WAIT.plus(MARGIN))
                .thenApply(bytes -> parse(bytes)
                        .digests()
                        .filter(digests -> digests.weights().equals(weights))
                        .orElseThrow(() -> new SupplyException("the entry does not know the version")));
    }

    @Override
    public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
        String path = "/chunk?model=" + weights.model() + "&version=" + weights.version() + "&number=" + number
                + "&wait=" + CHUNK_WAIT.toMillis();
        return get(path, CHUNK_WAIT.plus(MARGIN));
    }

    @Override
    public boolean isOrigin() {
        return false;
    }

    @Override
    public String name() {
        return address.toString();
    }

    static byte[] write(Optional<WeightsDigests> digests, Duration age, LoadSchedule plan, List<String> nodes) {
        WeightsOffer.Builder offer =
                WeightsOffer.newBuilder().setAgeMillis(age.toMillis()).addAllNodes(nodes);
        offer.setPlace(plan.position());
        plan.versions()
                .forEach(named -> offer.addNamed(NamedVersion.newBuilder()
                        .setVersion(named.version())
                        .setAgeMillis(named.age().toMillis())));
        digests.ifPresent(known -> {
            offer.setModel(known.weights().model()).setVersion(known.weights().version());
            known.digests().forEach(digest -> offer.addDigests(ByteString.copyFrom(HEX.decode(digest))));
        });
        return offer.build().toByteArray();
    }

    private static Heard parse(byte[] bytes) {
        try {
            WeightsOffer offer = WeightsOffer.parseFrom(bytes);
            Optional<WeightsDigests> digests = offer.getModel().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new WeightsDigests(
                            new WeightsVersion(offer.getModel(), offer.getVersion()),
                            offer.getDigestsList().stream()
                                    .map(digest -> HEX.encode(digest.toByteArray()))
                                    .toList()));
            List<LoadSchedule.NamedVersion> named = offer.getNamedList().stream()
                    .map(version -> new LoadSchedule.NamedVersion(
                            version.getVersion(), Duration.ofMillis(version.getAgeMillis())))
                    .toList();
            LoadSchedule plan = new LoadSchedule(named, offer.getPlace());
            return new Heard(digests, Duration.ofMillis(offer.getAgeMillis()), plan, offer.getNodesList());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new SupplyException("the entry's answer cannot be read: " + e.getMessage());
        }
    }

    private CompletionStage<byte[]> get(String path, Duration timeout) {
        return CompleteResponse.fetch(threads, address.toHttpUri(), Exchange.Request.get(path), timeout, MAXIMUM_BYTES)
                .thenApply(answer ->
                        answer.bodyIfOk(status -> new SupplyException("entry " + address + " answered " + status)));
    }
}
