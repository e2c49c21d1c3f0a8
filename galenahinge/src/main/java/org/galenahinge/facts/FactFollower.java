package org.galenahinge.facts;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;

/**
 * Keeps the facts of this node fresh: reads the store itself where it is a watcher, and other nodes where it is not. A
 * node that hears nothing fresh for {@link #STALE_AFTER} reads the store by itself, whoever else should.
 *
 * <p>Belongs to one thread. Each source has at most one read under way, so a silent one cannot hold up the other.
 */
public final class FactFollower {
    /** How old the facts may be before a node that others read from stops relying on its source. */
    public static final Duration STALE_AFTER = Duration.ofMillis(1_100);

    /** How much longer the other nodes wait, so that one read of the store can serve them all. */
    public static final Duration PATIENCE = Duration.ofMillis(250);

    private static final Duration STORE_WAIT = Duration.ofMillis(800);
    private static final Duration PEER_WAIT = Duration.ofSeconds(1);
    private static final Duration STORE_BATCH = Duration.ofMillis(100);
    /** How long a node goes on reading by itself after its source failed it, so that it does not go stale again. */
    private static final Duration ACTING_FOR = Duration.ofSeconds(5);

    /** Facts older than this when they can be read again mean that the store was away, and entries may have lapsed. */
    private static final Duration AWAY_AFTER = Duration.ofMillis(2_500);

    private static final Duration OLD_ANSWER_PAUSE = Duration.ofMillis(60);
    private static final Duration CHECK_EVERY = Duration.ofMillis(100);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(80);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(800);
    private static final int JITTER_MILLIS = 120;

    private final FactStore store;
    private final Peers peers;
    private final FactLog facts;
    private final Listener fresh;
    private final Timers timers;
    private final EventLog log;
    private final Random random;
    private final Source storeSource = new Source(STORE_WAIT, true);
    private final Source peerSource = new Source(PEER_WAIT, false);
    private Runnable storeReturned = () -> {};
    private Runnable refreshed = () -> {};
    private boolean loaded;
    private boolean stale = true;
    private long freshAtNanos;
    private long jitterNanos;
    private long actingUntilNanos;
    private Optional<FactStore> keptPeer = Optional.empty();
    private long keptUntilNanos;

    /** Hears of items. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Hears of items that are new to this node.
         *
         * @param items the items, by revision; may be none
         * @param olderBy how long before now they may have been published, where reading had been interrupted; zero
         *     where they were heard at once
         */
        void heard(List<FactItem> items, Duration olderBy);
    }

    /** Knows the other nodes. */
    public interface Peers {
        /**
         * Tells whether this node is one of those that read the store for others.
         *
         * @return whether it is a watcher
         */
        boolean isWatcher();

        /**
         * Tells whether other nodes read from this one.
         *
         * @return whether it passes facts on as a duty
         */
        boolean isSource();

        /**
         * Returns the node to read from.
         *
         * @param failures how many reads in a row have failed, so that another node can be named
         * @return the node, or empty when none is known
         */
        Optional<FactStore> source(int failures);
    }

    private FactFollower(
            FactStore store, Peers peers, FactLog facts, Listener fresh, Timers timers, EventLog log, long seed) {
        this.store = store;
        this.peers = peers;
        this.facts = facts;
        this.fresh = fresh;
        this.timers = timers;
        this.log = log;
        this.random = new Random(seed);
        this.freshAtNanos = timers.nanoTime();
        this.actingUntilNanos = freshAtNanos;
    }

    /**
     * Creates a follower that reads nothing yet.
     *
     * @param store reads the store
     * @param peers knows the other nodes
     * @param facts joins what is read
     * @param fresh hears of items that are new
     * @param timers the clock
     * @param log where lost and regained sources are written
     * @param seed the seed of the jitter
     * @return the follower
     */
    public static FactFollower create(
            FactStore store, Peers peers, FactLog facts, Listener fresh, Timers timers, EventLog log, long seed) {
        return new FactFollower(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(peers, "peers"),
                Objects.requireNonNull(facts, "facts"),
                Objects.requireNonNull(fresh, "fresh"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"),
                seed);
    }

    /**
     * Sets what runs when facts can be read again after the store was away for all that this node could ask.
     *
     * @param action the action
     */
    public void onReturn(Runnable action) {
        storeReturned = Objects.requireNonNull(action, "action");
    }

    /**
     * Sets what runs whenever the facts are known to be fresh again, changed or not.
     *
     * @param action the action
     */
    public void onRefresh(Runnable action) {
        refreshed = Objects.requireNonNull(action, "action");
    }

    /** Begins to read. */
    public void begin() {
        check();
    }

    /**
     * Tells whether all facts have been read once.
     *
     * @return whether anything is known
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Tells whether the facts are older than others should rely on.
     *
     * @return whether they are old, or not known at all
     */
    public boolean isStale() {
        return !loaded || age().compareTo(STALE_AFTER) > 0;
    }

    /**
     * Returns how old the facts are.
     *
     * @return the time since the store is known to have held nothing newer
     */
    public Duration age() {
        return Duration.ofNanos(Math.max(0, timers.nanoTime() - freshAtNanos));
    }

    /** Does what is due: starts the reads that are wanted now, then comes back. */
    private void check() {
        noteStaleness();
        readWanted();
        timers.schedule(CHECK_EVERY, this::check);
    }

    private void readWanted() {
        boolean doubtful = !loaded || age().compareTo(staleAfter()) > 0;
        long now = timers.nanoTime();
        if (loaded && doubtful) {
            actingUntilNanos = now + ACTING_FOR.toNanos();
        }
        boolean watcher = peers.isWatcher();
        boolean acting = !loaded || now - actingUntilNanos < 0 || (!watcher && peerSource.failures > 0);
        if (watcher || acting) {
            start(storeSource, Optional.of(store));
        }
        if (!watcher || acting) {
            start(peerSource, peer(now));
        }
    }

    private Optional<FactStore> peer(long now) {
        if (keptPeer.isPresent() && now - keptUntilNanos < 0 && peerSource.failures == 0) {
            return keptPeer;
        }
        return peers.source(peerSource.failures);
    }

    /** A node whose own facts are old is as little use as one that fails: another is asked, and kept when it is better. */
    private void judge(Source source, FactStore from, Duration age) {
        if (source != peerSource) {
            source.failures = 0;
            return;
        }
        if (age.compareTo(STALE_AFTER) > 0) {
            source.failures++;
            return;
        }
        if (source.failures > 0) {
            keptPeer = Optional.of(from);
            keptUntilNanos = timers.nanoTime() + ACTING_FOR.toNanos();
        }
        source.failures = 0;
    }

    private void start(Source source, Optional<FactStore> from) {
        if (source.busy || from.isEmpty() || timers.nanoTime() - source.notBeforeNanos < 0) {
            return;
        }
        source.busy = true;
        long after = loaded && !source.historyGone ? facts.revision() : 0;
        from.get().read(after, source.wait).whenComplete((reading, error) -> {
            source.busy = false;
            if (error == null) {
                succeeded(source, from.get(), reading);
            } else {
                failed(source, from.get(), error);
            }
            readWanted();
        });
    }

    private void succeeded(Source source, FactStore from, FactStore.Reading reading) {
        if (source.failures > 0) {
            log.event(Category.LIFECYCLE, "facts_source_regained")
                    .with("source", from.name())
                    .with("failures", source.failures)
                    .write();
        }
        judge(source, from, reading.age());
        source.historyGone = false;
        Duration pause = pauseAfter(source, reading);
        source.notBeforeNanos = timers.nanoTime() + pause.toNanos();
        if (!pause.isZero()) {
            timers.schedule(pause, this::readWanted);
        }
        List<FactItem> news = reading.whole()
                ? facts.joinListing(reading.items(), reading.revision())
                : facts.join(reading.items(), reading.revision());
        if (!loaded) {
            log.event(Category.LIFECYCLE, "facts_loaded")
                    .with("source", from.name())
                    .with("items", reading.items().size())
                    .with("revision", reading.revision())
                    .with("age_ms", reading.age().toMillis())
                    .write();
        }
        Duration olderBy = loaded && stale ? age() : Duration.ZERO;
        loaded = true;
        boolean away = age().compareTo(AWAY_AFTER) > 0;
        long asOf = timers.nanoTime() - reading.age().toNanos();
        if (asOf - freshAtNanos > 0) {
            freshAtNanos = asOf;
        }
        if (away && age().compareTo(AWAY_AFTER) < 0) {
            storeReturned.run();
        }
        // Entries that lapsed meanwhile come with this very reading: the grace must stand first.
        noteStaleness();
        fresh.heard(news, olderBy);
        refreshed.run();
    }

    private static Duration pauseAfter(Source source, FactStore.Reading reading) {
        if (source.failures > 0) {
            return OLD_ANSWER_PAUSE;
        }
        return source.store && !reading.items().isEmpty() ? STORE_BATCH : Duration.ZERO;
    }

    private void failed(Source source, FactStore from, Throwable error) {
        source.failures++;
        FactReadException.Cause cause = error instanceof FactReadException read
                ? read.reason()
                : error.getCause() instanceof FactReadException nested
                        ? nested.reason()
                        : FactReadException.Cause.MALFORMED;
        if (cause == FactReadException.Cause.HISTORY_GONE) {
            source.historyGone = true;
        }
        long backoff =
                Math.min(LONGEST_BACKOFF.toMillis(), FIRST_BACKOFF.toMillis() << Math.min(source.failures - 1, 5));
        long jittered = backoff / 2 + random.nextInt((int) backoff / 2 + 1);
        long pause = source.historyGone && source.failures == 1 ? 0 : jittered;
        source.notBeforeNanos = timers.nanoTime() + Duration.ofMillis(pause).toNanos();
        timers.schedule(Duration.ofMillis(pause), this::readWanted);
        log.event(Category.LIFECYCLE, "facts_source_failed")
                .with("source", from.name())
                .with("failures", source.failures)
                .with("cause", cause.name())
                .with("detail", String.valueOf(error.getMessage()))
                .with("age_ms", age().toMillis())
                .with("retry_ms", pause)
                .write();
    }

    private Duration staleAfter() {
        Duration base = peers.isSource() ? STALE_AFTER : STALE_AFTER.plus(PATIENCE);
        return base.plusNanos(jitterNanos);
    }

    private void noteStaleness() {
        boolean now = !loaded || age().compareTo(staleAfter()) > 0;
        if (now == stale) {
            return;
        }
        stale = now;
        jitterNanos = Duration.ofMillis(random.nextInt(JITTER_MILLIS)).toNanos();
        log.event(Category.LIFECYCLE, now ? "facts_stale" : "facts_fresh")
                .with("age_ms", age().toMillis())
                .with("revision", facts.revision())
                .write();
    }

    private static final class Source {
        private final Duration wait;
        private final boolean store;
        private boolean busy;
        private boolean historyGone;
        private int failures;
        private long notBeforeNanos;

        Source(Duration wait, boolean store) {
            this.wait = wait;
            this.store = store;
            this.notBeforeNanos = Long.MIN_VALUE / 2;
        }
    }
}
