package org.galenahinge.node;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactReadException;
import org.galenahinge.facts.FactReadException.Cause;
import org.galenahinge.facts.FactSource;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.FactEntry;
import org.galenahinge.wire.generated.FactReading;

/** Reads facts from an entry that passes them on. */
final class PeerFacts implements FactSource {
    private static final Duration MARGIN = Duration.ofMillis(350);
    private static final long MAXIMUM_BYTES = 16L << 20;

    private final NetworkThreads threads;
    private final WireAddress address;
    private final boolean packed;
    private final Consumer<List<String>> nodesHeard;

    PeerFacts(NetworkThreads threads, WireAddress address, boolean packed, Consumer<List<String>> nodesHeard) {
        this.threads = Objects.requireNonNull(threads, "threads");
        this.address = Objects.requireNonNull(address, "address");
        this.packed = packed;
        this.nodesHeard = Objects.requireNonNull(nodesHeard, "nodesHeard");
    }

    @Override
    public CompletionStage<ReadResult> read(long after, Duration wait) {
        String path = "/facts?after=" + after + "&wait=" + wait.toMillis() + "&packed=" + packed;
        return CompleteResponse.fetch(
                        threads, address.toHttpUri(), Exchange.Request.get(path), wait.plus(MARGIN), MAXIMUM_BYTES)
                .handle((answer, error) -> {
                    if (error != null) {
                        throw new FactReadException(Cause.SILENT, String.valueOf(error.getMessage()));
                    }
                    return parse(answer.bodyIfOk(status -> new FactReadException(Cause.REFUSED, "status " + status)));
                });
    }

    @Override
    public String name() {
        return address.toString();
    }

    private ReadResult parse(byte[] bytes) {
        try {
            FactReading reading = FactReading.parseFrom(packed ? Packing.unpack(bytes) : bytes);
            nodesHeard.accept(reading.getNodesList());
            List<FactItem> items =
                    reading.getItemsList().stream().map(PeerFacts::item).toList();
            return new ReadResult(
                    items, reading.getWhole(), reading.getRevision(), Duration.ofMillis(reading.getAgeMillis()));
        } catch (IOException e) {
            throw new CompletionException(new FactReadException(Cause.MALFORMED, String.valueOf(e.getMessage())));
        }
    }

    private static FactItem item(FactEntry entry) {
        return entry.getRemoved()
                ? FactItem.removed(entry.getKey(), entry.getRevision())
                : FactItem.written(entry.getKey(), entry.getValue().toByteArray(), entry.getRevision());
    }
}
