package org.galenahinge.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.galenahinge.concurrent.ManualTimers;

/** Links of little bandwidth in simulated time. The transfers on a link share it in equal parts. */
final class SharedLinks {
    private static final Duration STEP = Duration.ofMillis(5);

    private final ManualTimers timers;
    private final List<Transfer> transfers = new ArrayList<>();

    SharedLinks(ManualTimers timers) {
        this.timers = timers;
        timers.schedule(STEP, this::step);
    }

    /** A link in one direction, by its bandwidth. Its identity is that of the object. */
    static final class Link {
        private double bytesPerStep;
        private long carriedBytes;

        Link(double megabitsPerSecond) {
            bytesPerStep = megabitsPerSecond * 1e6 / 8 * STEP.toMillis() / 1_000;
        }

        void narrow(double factor) {
            bytesPerStep /= factor;
        }

        long carriedBytes() {
            return carriedBytes;
        }
    }

    /** Bytes on their way over all links of a path. */
    final class Transfer {
        private final List<Link> path;
        private final Runnable onBytes;
        private final Runnable onComplete;
        private double remaining;

        private Transfer(long bytes, List<Link> path, Runnable onBytes, Runnable onComplete) {
            this.remaining = bytes;
            this.path = List.copyOf(path);
            this.onBytes = onBytes;
            this.onComplete = onComplete;
        }

        void cancel() {
            transfers.remove(this);
        }
    }

    /**
     * Begins a transfer.
     *
     * @param onBytes runs whenever some bytes have arrived
     * @param onComplete runs once all have arrived
     */
    Transfer begin(long bytes, List<Link> path, Runnable onBytes, Runnable onComplete) {
        Transfer transfer = new Transfer(bytes, path, onBytes, onComplete);
        transfers.add(transfer);
        return transfer;
    }

    /** Keeps a link busy with other traffic for ever. */
    void fill(Link link, int connections) {
        for (int connection = 0; connection < connections; connection++) {
            begin(Long.MAX_VALUE, List.of(link), () -> {}, () -> {});
        }
    }

    private void step() {
        timers.schedule(STEP, this::step);
        Map<Link, Integer> users = new HashMap<>();
        transfers.forEach(transfer -> transfer.path.forEach(link -> users.merge(link, 1, Integer::sum)));
        for (Transfer transfer : List.copyOf(transfers)) {
            if (transfers.contains(transfer)) {
                advance(transfer, users);
            }
        }
    }

    private void advance(Transfer transfer, Map<Link, Integer> users) {
        double bytes = transfer.remaining;
        for (Link link : transfer.path) {
            bytes = Math.min(bytes, link.bytesPerStep / users.getOrDefault(link, 1));
        }
        double carried = bytes;
        transfer.path.forEach(link -> link.carriedBytes += Math.round(carried));
        transfer.remaining -= bytes;
        if (transfer.remaining > 0) {
            transfer.onBytes.run();
            return;
        }
        transfers.remove(transfer);
        transfer.onComplete.run();
    }
}
