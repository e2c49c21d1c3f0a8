package org.galenahinge.supply;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import org.galenahinge.concurrent.Moment;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;

/**
 * Verifies and stages all chunks of a version once. Each chunk is read back from the engine's staging area; if it is
 * missing or corrupt, it is fetched and staged. Failed steps are retried for as long as this staging is current.
 * Belongs to one thread.
 */
final class ChunkStaging {
    private static final int MAXIMUM_CONCURRENT_CHUNKS = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(80);

    private final WeightsDigests digests;
    private final Resources resources;
    private final Predicate<ChunkStaging> currentCheck;
    private final Consumer<ChunkStaging> onComplete;
    private final IntConsumer onMismatch;
    private final Moment started;
    private final Deque<Integer> remaining = new ArrayDeque<>();
    private int inProgress;
    private boolean complete;
    private int fetched;
    private int failures;

    /**
     * The collaborators and counters of a staging.
     *
     * @param engine the engine on the same VM
     * @param sources chooses the weights source by the number of consecutive failed steps
     * @param timers the clock
     * @param log where failed steps are logged
     * @param fetched counts fetched chunks
     * @param corruptChunks counts chunks that did not match their digests
     */
    record Resources(
            EngineControl engine,
            Function<Integer, Optional<WeightsSource>> sources,
            Timers timers,
            EventLog log,
            Counter fetched,
            Counter corruptChunks) {}

    ChunkStaging(
            WeightsDigests digests,
            Resources resources,
            Predicate<ChunkStaging> currentCheck,
            Consumer<ChunkStaging> onComplete,
            IntConsumer onMismatch) {
        this.digests = digests;
        this.resources = resources;
        this.currentCheck = currentCheck;
        this.onComplete = onComplete;
        this.onMismatch = onMismatch;
        this.started = Moment.now(resources.timers());
        for (int number = 0; number < digests.size(); number++) {
            remaining.add(number);
        }
    }

    void start() {
        startSteps();
    }

    WeightsDigests digests() {
        return digests;
    }

    /** Returns the number of chunks that were fetched. */
    int fetched() {
        return fetched;
    }

    /** Tells whether this staging was created at most so long ago, by both clocks. */
    boolean isStartedWithin(Duration limit) {
        return Moment.now(resources.timers()).isWithin(limit, started);
    }

    private boolean isCurrent() {
        return currentCheck.test(this);
    }

    private void startSteps() {
        while (isCurrent() && inProgress < MAXIMUM_CONCURRENT_CHUNKS && !remaining.isEmpty()) {
            inProgress++;
            verifyStaged(remaining.poll());
        }
        // Where the engine responds at once, the calls of this method are nested, and each one finds all steps done.
        if (!complete && isCurrent() && inProgress == 0 && remaining.isEmpty()) {
            complete = true;
            onComplete.accept(this);
        }
    }

    private void verifyStaged(int number) {
        resources.engine().readStaged(digests.weights().model(), number).whenComplete((content, error) -> {
            if (error != null) {
                retryLater(number, "reading back staged chunk " + number + ": " + error.getMessage());
            } else if (content.isPresent() && digests.isIntact(number, content.get())) {
                stepFinished();
            } else {
                fetch(number);
            }
        });
    }

    private void fetch(int number) {
        Optional<WeightsSource> source = isCurrent() ? resources.sources().apply(failures) : Optional.empty();
        if (source.isEmpty()) {
            retryLater(number, "no weights source for chunk " + number);
            return;
        }
        source.get().chunk(digests.weights(), number).whenComplete((content, error) -> {
            if (error != null) {
                retryLater(number, "chunk " + number + " from " + source.get().name() + ": " + error.getMessage());
            } else if (!digests.isIntact(number, content)) {
                resources.corruptChunks().inc();
                retryLater(number, "chunk " + number + " from " + source.get().name() + " is corrupt");
                if (isCurrent()) {
                    onMismatch.accept(number);
                }
            } else {
                stage(number, content);
            }
        });
    }

    private void stage(int number, byte[] content) {
        if (!isCurrent()) {
            return;
        }
        resources.engine().stage(digests.weights().model(), number, content).whenComplete((ignored, error) -> {
            if (error != null) {
                retryLater(number, "staging chunk " + number + ": " + error.getMessage());
                return;
            }
            failures = 0;
            fetched++;
            resources.fetched().inc();
            stepFinished();
        });
    }

    private void stepFinished() {
        inProgress--;
        startSteps();
    }

    private void retryLater(int number, String detail) {
        failures++;
        resources
                .log()
                .event(Category.FAILURE, "weights_step_failed")
                .with("version", digests.weights().version())
                .with("failures", failures)
                .with("detail", detail)
                .write();
        resources.timers().schedule(RETRY_DELAY, () -> {
            remaining.addFirst(number);
            stepFinished();
        });
    }
}
