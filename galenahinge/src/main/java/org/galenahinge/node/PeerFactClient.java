package org.galenahinge.node;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactReadException;
import org.galenahinge.facts.FactReadException.Cause;
import org.galenahinge.facts.FactSource;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.http.ResponseObserver;
import org.galenahinge.http.ResponseTimeout;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Reads facts from another entry over HTTP. */
final class PeerFactClient implements FactSource {
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(350);
    private static final Duration MINIMUM_BEGIN = Duration.ofMillis(500);
    private static final Duration MAXIMUM_PAUSE = Duration.ofMillis(600);
    private static final Duration MAXIMUM_TRANSFER_TIME = Duration.ofSeconds(6);
    private static final long MAXIMUM_BYTES = 16L << 20;

    private final NetworkThreads threads;
    private final WireAddress address;
    private final String zone;
    private final StoreDistances distances;
    private final Consumer<List<String>> onNodes;

    /**
     * Creates a client.
     *
     * @param threads the threads that serve its connections
     * @param address the address of the other entry
     * @param zone the failure domain of this entry
     * @param distances how far failure domains are from the store, which both entries tell each other
     * @param onNodes receives the addresses, as text, of the entries that the other entry considers up
     */
    PeerFactClient(
            NetworkThreads threads,
            WireAddress address,
            String zone,
            StoreDistances distances,
            Consumer<List<String>> onNodes) {
        this.threads = Objects.requireNonNull(threads, "threads");
        this.address = Objects.requireNonNull(address, "address");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.distances = Objects.requireNonNull(distances, "distances");
        this.onNodes = Objects.requireNonNull(onNodes, "onNodes");
    }

    @Override
    public CompletionStage<ReadResult> read(FactCursor after, Duration wait, ResponseObserver observer) {
        String path = "/facts?after=" + after.position().revision() + "&epoch="
                + after.position().epoch() + "&log=" + after.logId() + "&sequence=" + after.sequence() + "&wait="
                + wait.toMillis() + distanceQuery();
        return CompleteResponse.fetch(
                        threads,
                        address.toHttpUri(),
                        Exchange.Request.get(path),
                        timeout(wait),
                        MAXIMUM_BYTES,
                        observer)
                .handle((response, error) -> {
                    if (error != null) {
                        throw new FactReadException(Cause.SILENT, String.valueOf(error.getMessage()));
                    }
                    return parse(response.bodyIfOk(status -> new FactReadException(Cause.REFUSED, "status " + status)));
                });
    }

    /** Returns how long the response may take to a request that waits for a change. */
    static ResponseTimeout timeout(Duration wait) {
        Duration begin = wait.plus(RESPONSE_MARGIN);
        return new ResponseTimeout(
                begin.compareTo(MINIMUM_BEGIN) > 0 ? begin : MINIMUM_BEGIN,
                MAXIMUM_PAUSE,
                wait.plus(MAXIMUM_TRANSFER_TIME));
    }

    @Override
    public String name() {
        return address.toString();
    }

    private String distanceQuery() {
        return distances
                .find(zone)
                .map(micros -> "&zone=" + URLEncoder.encode(zone, StandardCharsets.UTF_8) + "&distance=" + micros)
                .orElse("");
    }

    private ReadResult parse(byte[] bytes) {
        try {
            FactReadingCodec.Reading reading = FactReadingCodec.decode(bytes);
            onNodes.accept(reading.nodes());
            distances.told(reading.distances());
            return reading.result();
        } catch (IOException e) {
            throw new CompletionException(new FactReadException(Cause.MALFORMED, String.valueOf(e.getMessage())));
        }
    }
}
