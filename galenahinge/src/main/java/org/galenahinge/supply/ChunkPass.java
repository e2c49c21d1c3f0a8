package org.galenahinge.supply;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;

/**
 * One way through all chunks of a version: each is read back from beside the engine, and fetched and laid there where it
 * does not agree. A step that fails is tried again for as long as the pass is current. Belongs to one thread.
 */
final class ChunkPass {
    private static final int CHUNKS_AT_ONCE = 3;
    private static final Duration RETRY = Duration.ofMillis(80);

    private final WeightsDigests digests;
    private final Means means;
    private final Predicate<ChunkPass> current;
    private final Consumer<ChunkPass> passed;
    private final long startedNanos;
    private final Deque<Integer> left = new ArrayDeque<>();
    private int underWay;
    private int fetched;
    private int failures;

    /**
     * What a pass works with.
     *
     * @param engine the engine on the own VM
     * @param sources names where chunks come from, by how many steps in a row have failed
     * @param timers the clock
     * @param log where failed steps are written
     * @param fetched counts chunks that were fetched
     * @param spoilt counts chunks that did not agree with their digests
     */
    record Means(
            EngineControl engine,
            Function<Integer, Optional<WeightsSource>> sources,
            Timers timers,
            EventLog log,
            Counter fetched,
            Counter spoilt) {}

    ChunkPass(WeightsDigests digests, Means means, Predicate<ChunkPass> current, Consumer<ChunkPass> passed) {
        this.digests = digests;
        this.means = means;
        this.current = current;
        this.passed = passed;
        this.startedNanos = means.timers().nanoTime();
        for (int number = 0; number < digests.size(); number++) {
            left.add(number);
        }
    }

    void begin() {
        advance();
    }

    WeightsDigests digests() {
        return digests;
    }

    /** How many chunks had to be fetched. */
    int fetched() {
        return fetched;
    }

    Duration took() {
        return Duration.ofNanos(means.timers().nanoTime() - startedNanos);
    }

    private boolean isCurrent() {
        return current.test(this);
    }

    private void advance() {
        while (isCurrent() && underWay < CHUNKS_AT_ONCE && !left.isEmpty()) {
            underWay++;
            checkStaged(left.poll());
        }
        if (isCurrent() && underWay == 0 && left.isEmpty()) {
            passed.accept(this);
        }
    }

    private void checkStaged(int number) {
        means.engine().staged(digests.weights().model(), number).whenComplete((content, error) -> {
            if (error != null) {
                again(number, "staged chunk " + number + ": " + error.getMessage());
            } else if (content.isPresent() && digests.isIntact(number, content.get())) {
                done();
            } else {
                fetch(number);
            }
        });
    }

    private void fetch(int number) {
        Optional<WeightsSource> source = isCurrent() ? means.sources().apply(failures) : Optional.empty();
        if (source.isEmpty()) {
            again(number, "no source for chunk " + number);
            return;
        }
        source.get().chunk(digests.weights(), number).whenComplete((content, error) -> {
            if (error != null) {
                again(number, "chunk " + number + " from " + source.get().name() + ": " + error.getMessage());
            } else if (!digests.isIntact(number, content)) {
                means.spoilt().inc();
                again(number, "chunk " + number + " from " + source.get().name() + " is spoilt");
            } else {
                stage(number, content);
            }
        });
    }

    private void stage(int number, byte[] content) {
        if (!isCurrent()) {
            return;
        }
        means.engine().stage(digests.weights().model(), number, content).whenComplete((nothing, error) -> {
            if (error != null) {
                again(number, "staging chunk " + number + ": " + error.getMessage());
                return;
            }
            failures = 0;
            fetched++;
            means.fetched().inc();
            done();
        });
    }

    private void done() {
        underWay--;
        advance();
    }

    private void again(int number, String detail) {
        failures++;
        means.log()
                .event(Category.FAILURE, "weights_step_failed")
                .with("version", digests.weights().version())
                .with("failures", failures)
                .with("detail", detail)
                .write();
        means.timers().schedule(RETRY, () -> {
            left.addFirst(number);
            done();
        });
    }
}
