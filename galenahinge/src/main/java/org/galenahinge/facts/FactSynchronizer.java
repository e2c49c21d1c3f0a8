package org.galenahinge.facts;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.galenahinge.concurrent.Moment;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.http.ResponseObserver;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;

/**
 * Keeps the facts of this node up to date. A watcher reads the store, any other node reads from another node. A node
 * whose facts are outdated asks a second node beside a slow or unresponsive one, and reads the store itself when its
 * {@link StoreTurn turn} has come.
 *
 * <p>Belongs to one thread. The store, the node that this one reads from and the second node each have at most one read in
 * progress, so that an unresponsive one does not delay reads from the others.
 */
public final class FactSynchronizer {
    /** The age of the facts at which a relay stops relying on its source alone. */
    public static final Duration STALE_AFTER = Duration.ofMillis(1_100);

    /** Added to {@link #STALE_AFTER} for nodes that are no relays, so that one read of the store can serve them all. */
    public static final Duration NON_RELAY_DELAY = Duration.ofMillis(250);

    /** How long after its last bytes a response still counts as being on its way. */
    private static final Duration ARRIVING_FOR = Duration.ofMillis(400);

    /** A response that takes longer than this to arrive is slow. */
    private static final Duration SLOW_TRANSFER = Duration.ofMillis(400);

    /** Changes are large if they are more than this part of all items. */
    private static final int LARGE_SHARE = 2;

    /** Stands for the age of items that may have been published at any time before. */
    public static final Duration AGE_UNKNOWN = Duration.ofDays(1);

    private static final Duration STORE_WAIT = Duration.ofMillis(800);
    private static final Duration PEER_WAIT = Duration.ofSeconds(1);
    private static final Duration RESPONSE_TIME = Duration.ofMillis(350);
    private static final Duration STORE_BATCH_INTERVAL = Duration.ofMillis(100);
    /**
     * How long a node with stale facts reads from both the store and a peer, so that its facts do not become stale
     * again at once. Also how long it stays with a peer that replaced a failing one.
     */
    private static final Duration FALLBACK_PERIOD = Duration.ofSeconds(5);

    /**
     * If facts are older than this when a read succeeds again, the store was unavailable, and upstream records may have
     * expired meanwhile.
     */
    private static final Duration STORE_OUTAGE_AFTER = Duration.ofMillis(2_500);

    /**
     * How long a node that starts waits for another node before it relies on what it read from the store, which may have been
     * restored from an older copy: others may know better.
     */
    private static final Duration MAXIMUM_PEER_WAIT_AT_START = Duration.ofMillis(700);

    /** How long a node that starts waits for another node before it reads the store as well. */
    private static final Duration STORE_DELAY_AT_START = Duration.ofMillis(300);

    private static final int MAXIMUM_PEER_FAILURES_AT_START = 3;

    /** How long after a restore the store no longer holds the records of upstreams that have ended: they expire before. */
    private static final Duration RECORDS_SETTLED_AFTER = Duration.ofSeconds(10);

    private static final int MAXIMUM_CHOICES = 3;
    private static final Duration STALE_RESULT_PAUSE = Duration.ofMillis(60);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(80);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(800);
    private static final int MAXIMUM_JITTER_MILLIS = 120;

    private final FactSource store;
    private final Peers peers;
    private final FactLog facts;
    private final Listener listener;
    private final Timers timers;
    private final EventLog log;
    private final Random random;
    private final SourceState storeState = new SourceState(STORE_WAIT, true);
    private final SourceState peerState = new SourceState(PEER_WAIT, false);
    /** Reads from another node while one that this node relies on does not respond, or slowly, and the facts are outdated. */
    private final SourceState otherPeerState = new SourceState(PEER_WAIT, false);

    private final StoreTurn turn;
    private Runnable storeRecovered = () -> {};
    private Runnable refreshed = () -> {};
    private boolean loaded;
    private boolean stale = true;
    private long factsAsOfNanos;
    private Moment responded;
    private long staleJitterNanos;
    private long fallbackUntilNanos;
    private Optional<FactSource> preferredPeer = Optional.empty();
    private long preferredUntilNanos;
    private boolean peerAnswered;
    private long startedNanos;
    private long comparePeersUntilNanos;
    private long settledNanos;
    private FactCursor peerCursor = FactCursor.START;

    /** Receives items that changed. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called after each successful read with the items that are new to this node, and once more if those that it has not
         * witnessed are among others.
         *
         * @param items the items ordered by revision, possibly none
         * @param maximumAge the maximum time since their publication if reading had been interrupted, {@link #AGE_UNKNOWN} if
         *     they may have been published at any time before, zero otherwise
         */
        void itemsChanged(List<FactItem> items, Duration maximumAge);
    }

    /** Knows the roles of the nodes that share facts. */
    public interface Peers {
        /**
         * Tells whether this node reads the store for the others.
         *
         * @return whether it is a watcher
         */
        boolean isWatcher();

        /**
         * Tells when it is the turn of this node to read the store, if those that others read from cannot.
         *
         * @return 0 for a relay, on which others rely for their facts; 1 for the node that stands in for it, and so on
         */
        int storeTurn();

        /**
         * Called when this node has connected to the store.
         *
         * @param taken the time that took
         */
        default void storeConnected(Duration taken) {}

        /**
         * Tells whether this node should connect to the store only to find out how long that takes.
         *
         * @return whether it should, until {@link #storeConnected} has been called
         */
        default boolean mustMeasureStore() {
            return false;
        }

        /**
         * Called when a node has not responded to a read in time.
         *
         * @param source reads from that node
         */
        default void peerSilent(FactSource source) {}

        /**
         * Returns the node to read from.
         *
         * @param failures the number of consecutive failed reads, so that another node can be chosen
         * @return the node, or empty if none is known
         */
        Optional<FactSource> peer(int failures);
    }

    private FactSynchronizer(
            FactSource store, Peers peers, FactLog facts, Listener listener, Timers timers, EventLog log, long seed) {
        this.store = store;
        this.peers = peers;
        this.facts = facts;
        this.listener = listener;
        this.timers = timers;
        this.log = log;
        this.random = new Random(seed);
        this.factsAsOfNanos = timers.nanoTime();
        this.responded = Moment.now(timers);
        this.fallbackUntilNanos = factsAsOfNanos;
        this.turn = new StoreTurn(FALLBACK_PERIOD, factsAsOfNanos);
        this.comparePeersUntilNanos = factsAsOfNanos;
    }

    /**
     * Creates a synchronizer; it reads nothing before {@link #start}.
     *
     * @param store reads the store
     * @param peers knows the roles of the nodes and chooses the node to read from
     * @param facts merges and holds the items read
     * @param listener receives the items that are new
     * @param timers the clock
     * @param log where failed and recovered fact sources are logged
     * @param seed the seed of the jitter
     * @return the synchronizer
     */
    public static FactSynchronizer create(
            FactSource store, Peers peers, FactLog facts, Listener listener, Timers timers, EventLog log, long seed) {
        return new FactSynchronizer(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(peers, "peers"),
                Objects.requireNonNull(facts, "facts"),
                Objects.requireNonNull(listener, "listener"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"),
                seed);
    }

    /**
     * Sets the action that runs when upstream records may have expired or been lost: reads succeed again after neither the
     * store nor any peer delivered up-to-date facts, or the store has been restored from an older copy.
     *
     * @param action the action
     */
    public void onStoreRecovered(Runnable action) {
        storeRecovered = Objects.requireNonNull(action, "action");
    }

    /**
     * Sets the action that runs after each successful read, whether or not facts changed.
     *
     * @param action the action
     */
    public void onRefresh(Runnable action) {
        refreshed = Objects.requireNonNull(action, "action");
    }

    /** Starts reading. */
    public void start() {
        startedNanos = timers.nanoTime();
        runPeriodicCheck();
    }

    /**
     * Tells whether a snapshot of all facts has been read, from the store and from another node, if one responds.
     *
     * @return whether the facts can be relied on
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Tells whether the facts are too old for other nodes to rely on.
     *
     * @return whether they are older than {@link #STALE_AFTER}, or not loaded yet
     */
    public boolean isStale() {
        return !loaded || age().compareTo(STALE_AFTER) > 0;
    }

    /**
     * Returns the age of the facts.
     *
     * @return the time since the latest moment at which the store is known to have held nothing newer, never negative
     */
    public Duration age() {
        return Duration.ofNanos(Math.max(0, timers.nanoTime() - factsAsOfNanos));
    }

    /**
     * Returns how old the facts may be, if that can be told.
     *
     * @return the time since the latest moment at which the store is known to have held nothing newer; empty before a
     *     snapshot has been read, and after the VM may have been suspended, until a read succeeds
     */
    public Optional<Duration> confirmedAge() {
        boolean isKnown = loaded && Moment.now(timers).clocksAgreeSince(responded);
        return isKnown ? Optional.of(age()) : Optional.empty();
    }

    /**
     * Tells whether newer facts are on their way to this node.
     *
     * @return whether a response arrives that is not complete yet
     */
    public boolean isArriving() {
        long now = timers.nanoTime();
        return Stream.of(storeState, peerState, otherPeerState)
                .anyMatch(state -> state.busy && state.firstBytes.isPresent() && isArriving(state, now));
    }

    /** Schedules the next check, then starts the reads that are due. */
    private void runPeriodicCheck() {
        timers.schedule(CHECK_INTERVAL, this::runPeriodicCheck);
        if (!loaded && facts.position().isKnown()) {
            loadIfPeersWereAsked();
        }
        updateStaleness();
        startDueReads();
    }

    private void startDueReads() {
        long now = timers.nanoTime();
        if (loaded && isOutdated()) {
            fallbackUntilNanos = now + FALLBACK_PERIOD.toNanos();
        }
        boolean watcher = peers.isWatcher();
        boolean fallback = !loaded || now - fallbackUntilNanos < 0 || (!watcher && peerState.failures > 0);
        boolean measures = loaded && peers.mustMeasureStore();
        if (watcher || measures || (fallback && mayReadStore(now))) {
            startRead(storeState, Optional.of(store));
        }
        if (!watcher || fallback || now - comparePeersUntilNanos < 0) {
            startRead(peerState, currentPeer(now));
        }
        if (loaded && !watcher && peerState.busy && isOutdated()) {
            startRead(otherPeerState, otherPeer());
        }
    }

    private boolean mayReadStore(long now) {
        if (!loaded) {
            return mayReadStoreAtStart(now);
        }
        StoreTurn.Facts held = new StoreTurn.Facts(age(), staleAfter(), isArriving(peerState, now));
        return turn.hasCome(peers.storeTurn(), held, now);
    }

    /**
     * Tells whether a node that has just started reads the store. Many may start at the same moment, and what all of them need
     * is at another node, compressed, if there is one.
     */
    private boolean mayReadStoreAtStart(long now) {
        boolean isPeerLate = now - startedNanos >= STORE_DELAY_AT_START.toNanos() && !isArriving(peerState, now);
        return isPeerLate || peerState.failures > 0 || peers.peer(0).isEmpty();
    }

    private Optional<FactSource> currentPeer(long now) {
        if (preferredPeer.isPresent() && now - preferredUntilNanos < 0 && peerState.failures == 0) {
            return preferredPeer;
        }
        return peers.peer(peerState.failures);
    }

    /** Returns a node other than the one that is being read, if one of the next few choices is another. */
    private Optional<FactSource> otherPeer() {
        int failures = peerState.failures + otherPeerState.failures + 1;
        return IntStream.range(failures, failures + MAXIMUM_CHOICES)
                .mapToObj(peers::peer)
                .flatMap(Optional::stream)
                .filter(source -> !source.name().equals(peerState.sourceName))
                .findFirst();
    }

    /**
     * Counts a peer with stale facts as failing, so that the next read goes to another peer. A peer that delivers
     * current facts after failures is preferred for a while.
     */
    private void updateFailures(SourceState state, FactSource source, FactSource.ReadResult result) {
        if (state.store) {
            state.failures = 0;
            return;
        }
        if (result.age().compareTo(STALE_AFTER) > 0) {
            state.failures++;
            state.forgetBytes();
            if (result.arriving()) {
                turn.othersRead(timers.nanoTime());
            }
            return;
        }
        turn.end(timers.nanoTime());
        if (state.failures > 0 || state == otherPeerState) {
            preferredPeer = Optional.of(source);
            preferredUntilNanos = timers.nanoTime() + FALLBACK_PERIOD.toNanos();
        }
        state.failures = 0;
    }

    private void startRead(SourceState state, Optional<FactSource> source) {
        if (state.busy || source.isEmpty() || timers.nanoTime() - state.notBeforeNanos < 0) {
            return;
        }
        state.busy = true;
        state.read = Moment.now(timers);
        state.firstBytes = Optional.empty();
        state.sourceName = source.get().name();
        // A node whose facts are outdated asks another one what is known now, and does not wait for a change.
        boolean asksAtOnce = loaded && !state.store && !peers.isWatcher() && isOutdated();
        state.wait = asksAtOnce ? Duration.ZERO : state.longestWait;
        read(source.get(), cursor(state), state.wait, observer(state)).whenComplete((result, error) -> {
            state.busy = false;
            Throwable failure = error != null ? error : rejection(state, result).orElse(null);
            if (failure == null) {
                onReadSucceeded(state, source.get(), result);
            } else {
                onReadFailed(state, source.get(), failure);
            }
            startDueReads();
        });
    }

    /** Reads from a source; one that cannot begin to read fails like one that sends no response. */
    private static CompletionStage<FactSource.ReadResult> read(
            FactSource source, FactCursor cursor, Duration wait, ResponseObserver observer) {
        try {
            return source.read(cursor, wait, observer);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private ResponseObserver observer(SourceState state) {
        return new ResponseObserver() {
            @Override
            public void bytesArrived() {
                FactSynchronizer.this.bytesArrived(state);
            }

            @Override
            public void connected(Duration taken) {
                if (state.store) {
                    peers.storeConnected(taken);
                }
            }
        };
    }

    private void bytesArrived(SourceState state) {
        if (!state.busy) {
            return;
        }
        Moment now = Moment.now(timers);
        state.lastBytesNanos = now.nanos();
        if (state.firstBytes.isEmpty()) {
            state.firstBytes = Optional.of(now);
        }
    }

    /** Tells whether a response is on its way, so that the same bytes need not be sent by another source as well. */
    private static boolean isArriving(SourceState state, long now) {
        return now - state.lastBytesNanos < ARRIVING_FOR.toNanos();
    }

    /**
     * Tells whether a read of the store took so long that the changes since then are probably more than all there is: each
     * version of a large item is a change.
     */
    private boolean isBehind(SourceState state, FactSource.ReadResult result) {
        if (result.snapshot() || state.firstBytes.isEmpty()) {
            return false;
        }
        Duration taken =
                Duration.ofNanos(timers.nanoTime() - state.firstBytes.get().nanos());
        if (taken.compareTo(SLOW_TRANSFER) <= 0) {
            return false;
        }
        long bytes =
                result.items().stream().mapToLong(item -> item.value().length).sum();
        return bytes * LARGE_SHARE > facts.presentBytes();
    }

    /**
     * Tells whether this node may have missed many versions of a large item, because the nodes that read the store for it have
     * failed and its own turn is late.
     */
    private boolean mayBeFarBehind() {
        return loaded
                && isOutdated()
                && peers.storeTurn() > StoreTurn.STAND_IN
                && facts.largestBytes() * LARGE_SHARE > facts.presentBytes();
    }

    private FactCursor cursor(SourceState state) {
        boolean needsSnapshot = state.historyGone
                || state.isBehind
                || !facts.position().isKnown()
                || (state.store && mayHaveSettled())
                || (state.store && mayBeFarBehind());
        if (needsSnapshot) {
            return FactCursor.START;
        }
        return state.store
                ? FactCursor.at(facts.position())
                : new FactCursor(facts.position(), peerCursor.logId(), peerCursor.sequence());
    }

    /**
     * Finds out why a result cannot be merged: it was read before the store was restored, or it names only the changes
     * since then.
     */
    private Optional<FactReadException> rejection(SourceState state, FactSource.ReadResult result) {
        long epoch = result.cursor().position().epoch();
        if (!facts.position().isKnown()) {
            return Optional.empty();
        }
        if (state.store && epoch < facts.position().epoch()) {
            return Optional.of(new FactReadException(
                    FactReadException.Cause.REFUSED, "the response is older than the restored store"));
        }
        if (!result.snapshot() && epoch > facts.position().epoch()) {
            return Optional.of(
                    new FactReadException(FactReadException.Cause.HISTORY_GONE, "the store has been restored"));
        }
        return Optional.empty();
    }

    private void onReadSucceeded(SourceState state, FactSource source, FactSource.ReadResult result) {
        if (state.failures > 0) {
            log.event(Category.LIFECYCLE, "facts_source_regained")
                    .with("source", source.name())
                    .with("failures", state.failures)
                    .write();
        }
        state.errors = 0;
        updateFailures(state, source, result);
        state.historyGone = false;
        state.isBehind = state.store && isBehind(state, result);
        Duration pause = pauseAfter(state, result);
        state.notBeforeNanos = timers.nanoTime() + pause.toNanos();
        if (!pause.isZero()) {
            timers.schedule(pause, this::startDueReads);
        }
        StorePosition before = facts.position();
        List<FactItem> changes = merge(state, result);
        boolean restored = before.isKnown() && facts.position().epoch() > before.epoch();
        if (restored) {
            onStoreRestored(source, before);
        }
        boolean mayKnowLess = mayKnowLessThanOthers();
        recordSource(state, result);
        if (!loaded) {
            log.event(Category.LIFECYCLE, "facts_read")
                    .with("source", source.name())
                    .with("items", result.items().size())
                    .with("position", result.cursor().position().toString())
                    .with("age_ms", result.age().toMillis())
                    .write();
        }
        Moment received = Moment.now(timers);
        boolean mayBeAnyAge = mayKnowLess || mayHaveBeenSuspended(state, received);
        Duration maximumAge = mayBeAnyAge ? AGE_UNKNOWN : timeOfInterruption();
        boolean storeWasUnavailable = age().compareTo(STORE_OUTAGE_AFTER) > 0;
        Moment sent = earliestResponse(state, received);
        if (sent.nanos() - responded.nanos() > 0) {
            responded = sent;
        }
        long asOf = sent.nanos() - result.age().toNanos();
        if (asOf - factsAsOfNanos > 0) {
            factsAsOfNanos = asOf;
        }
        // This result may already remove upstream records that expired or were lost, so their grace period must start
        // before the listener runs.
        if (restored || (storeWasUnavailable && age().compareTo(STORE_OUTAGE_AFTER) < 0)) {
            runGuarded(storeRecovered);
        }
        if (!loaded) {
            loadIfPeersWereAsked();
            return;
        }
        updateStaleness();
        publish(changes, before, maximumAge);
    }

    /**
     * Returns when the response to a read was sent, at the earliest: it says what its source knew before its first bytes
     * arrived. If these took longer than the source waits and a response travels, this node may have stood still meanwhile, and
     * the response may have been sent right at the start of the read.
     */
    private static Moment earliestResponse(SourceState state, Moment received) {
        Moment begun = state.firstBytes.orElse(received);
        Duration taken = Duration.ofNanos(begun.nanos() - state.read.nanos());
        boolean mayHaveStoodStill =
                taken.compareTo(state.wait.plus(RESPONSE_TIME)) > 0 || !received.clocksAgreeSince(state.read);
        return mayHaveStoodStill ? state.read : begun;
    }

    /**
     * Tells whether the VM may have been suspended since this read began, or since the last one that succeeded: the monotonic
     * clock may not have counted that time.
     */
    private boolean mayHaveBeenSuspended(SourceState state, Moment received) {
        return !received.clocksAgreeSince(state.read) || !received.clocksAgreeSince(responded);
    }

    /**
     * Tells whether this node may have started on an older copy of the store, so that what it lacks is new to it alone: no other
     * node has responded, and one may still do so.
     */
    private boolean mayKnowLessThanOthers() {
        return !peerAnswered && peers.peer(0).isPresent() && timers.nanoTime() - comparePeersUntilNanos < 0;
    }

    private Duration timeOfInterruption() {
        return loaded && isOutdated() ? age() : Duration.ZERO;
    }

    private boolean isOutdated() {
        return age().compareTo(staleAfter()) > 0;
    }

    private List<FactItem> merge(SourceState state, FactSource.ReadResult result) {
        StorePosition position = result.cursor().position();
        if (!result.snapshot()) {
            return facts.merge(result.items(), position);
        }
        if (state.store && mayHaveSettled()) {
            settledNanos = timers.nanoTime() + RECORDS_SETTLED_AFTER.toNanos();
            return facts.mergeSettledSnapshot(result.items(), position);
        }
        return facts.mergeSnapshot(result.items(), position);
    }

    /** Tells whether the watcher must find out if what was removed before the store was restored exists after all. */
    private boolean mayHaveSettled() {
        return loaded && timers.nanoTime() - settledNanos >= 0 && peers.isWatcher() && facts.hasRetainedRemovals();
    }

    private void recordSource(SourceState state, FactSource.ReadResult result) {
        if (!state.store) {
            peerAnswered = true;
            peerCursor = result.cursor();
        }
    }

    /**
     * The store may hold an older copy. Other nodes may know what it lost, so they are read for a while, also by the
     * watcher; and what was removed may turn out to exist.
     */
    private void distrustStore() {
        long now = timers.nanoTime();
        comparePeersUntilNanos = now + FALLBACK_PERIOD.toNanos();
        settledNanos = now + RECORDS_SETTLED_AFTER.toNanos();
    }

    private void onStoreRestored(FactSource source, StorePosition before) {
        distrustStore();
        log.event(Category.BELIEF, "store_restored")
                .with("source", source.name())
                .with("before", before.toString())
                .with("position", facts.position().toString())
                .with("retained", facts.retained())
                .write();
    }

    /** Relies on what was read once another node has responded, or none does. */
    private void loadIfPeersWereAsked() {
        boolean asked = peerAnswered
                || peerState.failures >= MAXIMUM_PEER_FAILURES_AT_START
                || peers.peer(0).isEmpty()
                || timers.nanoTime() - startedNanos > MAXIMUM_PEER_WAIT_AT_START.toNanos();
        if (!asked) {
            return;
        }
        loaded = true;
        distrustStore();
        log.event(Category.LIFECYCLE, "facts_loaded")
                .with("position", facts.position().toString())
                .with("peer", peerAnswered ? "yes" : "no")
                .with("age_ms", age().toMillis())
                .write();
        updateStaleness();
        publish(facts.present(), facts.position(), AGE_UNKNOWN);
    }

    private void publish(List<FactItem> items, StorePosition completeBefore, Duration maximumAge) {
        Map<Boolean, List<FactItem>> byHeldBefore =
                items.stream().collect(Collectors.partitioningBy(item -> wasHeldBefore(item, completeBefore)));
        List<FactItem> held = byHeldBefore.get(true);
        if (!held.isEmpty()) {
            runGuarded(() -> listener.itemsChanged(held, AGE_UNKNOWN));
        }
        runGuarded(() -> listener.itemsChanged(byHeldBefore.get(false), maximumAge));
        runGuarded(refreshed);
    }

    /**
     * Tells whether another node held an item while this one took its facts for complete. The store was restored from a copy
     * without it then, and when it was published is not known.
     */
    private static boolean wasHeldBefore(FactItem item, StorePosition completeBefore) {
        return item.isRetained() || item.position().compareTo(completeBefore) <= 0;
    }

    /** Runs a listener; one that fails must not end the reading, nor keep the others from running. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            log.event(Category.FAILURE, "facts_listener_failed")
                    .with("detail", e.toString())
                    .with("position", facts.position().toString())
                    .write();
        }
    }

    private static Duration pauseAfter(SourceState state, FactSource.ReadResult result) {
        if (state.failures > 0) {
            return STALE_RESULT_PAUSE;
        }
        return state.store && !result.items().isEmpty() ? STORE_BATCH_INTERVAL : Duration.ZERO;
    }

    private void onReadFailed(SourceState state, FactSource source, Throwable error) {
        state.failures++;
        state.forgetBytes();
        FactReadException.Cause cause = error instanceof FactReadException read
                ? read.reason()
                : error.getCause() instanceof FactReadException nested
                        ? nested.reason()
                        : FactReadException.Cause.MALFORMED;
        if (cause == FactReadException.Cause.HISTORY_GONE) {
            state.historyGone = true;
        }
        if (cause == FactReadException.Cause.SILENT && !state.store) {
            peers.peerSilent(source);
        }
        state.errors++;
        long backoff =
                Math.min(MAXIMUM_BACKOFF.toMillis(), INITIAL_BACKOFF.toMillis() << Math.min(state.errors - 1, 5));
        long jittered = backoff / 2 + random.nextInt((int) backoff / 2 + 1);
        long pause = state.historyGone && state.failures == 1 ? 0 : jittered;
        state.notBeforeNanos = timers.nanoTime() + Duration.ofMillis(pause).toNanos();
        timers.schedule(Duration.ofMillis(pause), this::startDueReads);
        log.event(Category.LIFECYCLE, "facts_source_failed")
                .with("source", source.name())
                .with("failures", state.failures)
                .with("cause", cause.name())
                .with("detail", String.valueOf(error.getMessage()))
                .with("age_ms", age().toMillis())
                .with("retry_ms", pause)
                .write();
    }

    private Duration staleAfter() {
        Duration base = peers.storeTurn() == 0 ? STALE_AFTER : STALE_AFTER.plus(NON_RELAY_DELAY);
        return base.plusNanos(staleJitterNanos);
    }

    private void updateStaleness() {
        boolean nowStale = !loaded || isOutdated();
        if (nowStale == stale) {
            return;
        }
        stale = nowStale;
        staleJitterNanos =
                Duration.ofMillis(random.nextInt(MAXIMUM_JITTER_MILLIS)).toNanos();
        log.event(Category.LIFECYCLE, nowStale ? "facts_stale" : "facts_fresh")
                .with("age_ms", age().toMillis())
                .with("position", facts.position().toString())
                .write();
    }

    private static final class SourceState {
        private final Duration longestWait;
        private final boolean store;
        private Duration wait;
        private boolean busy;
        private boolean historyGone;
        private boolean isBehind;
        private String sourceName = "";
        private int failures;
        private int errors;
        private long notBeforeNanos;
        private long lastBytesNanos;
        private Optional<Moment> firstBytes = Optional.empty();
        private Moment read = new Moment(0, Instant.EPOCH);

        SourceState(Duration longestWait, boolean store) {
            this.longestWait = longestWait;
            this.wait = longestWait;
            this.store = store;
            this.notBeforeNanos = Long.MIN_VALUE / 2;
            forgetBytes();
        }

        void forgetBytes() {
            lastBytesNanos = Long.MIN_VALUE / 2;
        }
    }
}
