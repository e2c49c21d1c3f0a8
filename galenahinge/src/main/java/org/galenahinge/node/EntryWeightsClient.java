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
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.WeightsOffer;

/** HTTP client that reads weights from an entry, and encodes and decodes the entry's responses. */
final class EntryWeightsClient implements WeightsSource {
    /** The maximum time that an entry holds a request for a manifest or chunk that it does not have yet. */
    static final Duration CHUNK_WAIT = Duration.ofMillis(700);

    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(900);
    private static final long MAXIMUM_BYTES = 8L << 20;
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    private final NetworkThreads threads;
    private final WireAddress address;

    EntryWeightsClient(NetworkThreads threads, WireAddress address) {
        this.threads = Objects.requireNonNull(threads, "threads");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * An entry's response on the weights of a service.
     *
     * @param digests the digests of the version that the engines must load; empty when the entry knows no other than the
     *     one that the request named
     * @param plan when the engine may stop serving in order to load
     * @param nodes the addresses, as text, of the entries that the entry considers up
     */
    record ServiceWeights(Optional<WeightsDigests> digests, LoadSchedule plan, List<String> nodes) {
        ServiceWeights {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * Requests the weights that the engines of a service must load.
     *
     * @param service the name of the service
     * @param upstream the address of the engine to load them
     * @param knownVersion the version that is already known, 0 for none
     * @param wait the maximum time that the entry waits for another version
     * @return the entry's response, or a {@link SupplyException}
     */
    CompletionStage<ServiceWeights> serviceWeights(
            String service, WireAddress upstream, long knownVersion, Duration wait) {
        String path = "/weights?service=" + service + "&upstream=" + upstream + "&known=" + knownVersion + "&wait="
                + wait.toMillis();
        return get(path, wait.plus(RESPONSE_MARGIN)).thenApply(EntryWeightsClient::decode);
    }

    @Override
    public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
        String path = "/manifest?model=" + weights.model() + "&version=" + weights.version() + "&wait="
                + CHUNK_WAIT.toMillis();
        return get(path, CHUNK_WAIT.plus(RESPONSE_MARGIN))
                .thenApply(bytes -> decode(bytes)
                        .digests()
                        .filter(digests -> digests.weights().equals(weights))
                        .orElseThrow(() -> new SupplyException("the entry does not know the version")));
    }

    @Override
    public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
        String path = "/chunk?model=" + weights.model() + "&version=" + weights.version() + "&number=" + number
                + "&wait=" + CHUNK_WAIT.toMillis();
        return get(path, CHUNK_WAIT.plus(RESPONSE_MARGIN));
    }

    @Override
    public boolean isOrigin() {
        return false;
    }

    @Override
    public String name() {
        return address.toString();
    }

    /** Encodes the response to a request for a manifest or for the weights of a service. */
    static byte[] encode(Optional<WeightsDigests> digests, LoadSchedule plan, List<String> nodes) {
        WeightsOffer.Builder offer = WeightsOffer.newBuilder().addAllNodes(nodes);
        offer.setPlace(plan.position());
        plan.versions()
                .forEach(named -> offer.addNamedBuilder()
                        .setVersion(named.version())
                        .setAgeMillis(named.maximumAge().toMillis())
                        .setAgeUnknown(!named.isAgeKnown()));
        digests.ifPresent(known -> {
            offer.setModel(known.weights().model()).setVersion(known.weights().version());
            offer.setChunks(known.size());
            known.digests().forEach(digest -> offer.addDigests(ByteString.copyFrom(HEX.decode(digest))));
        });
        return offer.build().toByteArray();
    }

    static ServiceWeights decode(byte[] bytes) {
        try {
            WeightsOffer offer = WeightsOffer.parseFrom(bytes);
            if (offer.getDigestsCount() != offer.getChunks()) {
                throw new SupplyException("the entry's response has " + offer.getDigestsCount() + " digests of "
                        + offer.getChunks() + " chunks");
            }
            Optional<WeightsDigests> digests = offer.getModel().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new WeightsDigests(
                            new WeightsVersion(offer.getModel(), offer.getVersion()),
                            offer.getDigestsList().stream()
                                    .map(digest -> HEX.encode(digest.toByteArray()))
                                    .toList()));
            List<NamedVersion> named = offer.getNamedList().stream()
                    .map(version -> new NamedVersion(
                            version.getVersion(), Duration.ofMillis(version.getAgeMillis()), !version.getAgeUnknown()))
                    .toList();
            LoadSchedule plan = new LoadSchedule(named, offer.getPlace());
            return new ServiceWeights(digests, plan, offer.getNodesList());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new SupplyException("the entry's response is malformed: " + e.getMessage());
        }
    }

    private CompletionStage<byte[]> get(String path, Duration timeout) {
        return CompleteResponse.fetch(threads, address.toHttpUri(), Exchange.Request.get(path), timeout, MAXIMUM_BYTES)
                .thenApply(response -> response.bodyIfOk(
                        status -> new SupplyException("entry " + address + " responded with status " + status)));
    }
}
