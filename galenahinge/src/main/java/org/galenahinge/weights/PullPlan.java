package org.galenahinge.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import org.galenahinge.routing.Rendezvous;

/**
 * Decides which chunks a VM pulls next, and from which source. Deterministic: the time is a parameter and the random
 * choices are seeded.
 *
 * <p>For each chunk, rendezvous hashing selects a regional fetcher in every region and ranks the regions. The fetchers
 * of the first {@link PullLimits#originCopies} regions pull the chunk from the origin; every other fetcher pulls it
 * from one of those, so a chunk enters a region once. Inside a region each VM pulls the chunks that its neighbours
 * hold, the rarest first. When there is no progress for the stall timeout, the next VM in rank takes over from an
 * unresponsive fetcher.
 *
 * <p>Not thread-safe. Cost: O(chunks x members of the local region) for each change of the members, O(missing chunks)
 * for each call of {@link #nextPulls}.
 */
public final class PullPlan {
    /** How many VMs of a region are ranked as possible fetchers of a chunk. */
    private static final int FETCHER_CANDIDATES = 4;

    private final String self;
    private final List<Long> chunkKeys;
    private final PullLimits limits;
    private final Random random;
    private final BitSet held = new BitSet();
    private final Map<String, BitSet> neighbourChunks = new HashMap<>();
    private final Map<Integer, List<PullInProgress>> pullsInProgress = new HashMap<>();
    private final Map<String, Integer> pullCountBySource = new HashMap<>();
    private final Map<String, Long> avoidUntilNanos = new HashMap<>();
    private final Map<String, Long> busyUntilNanos = new HashMap<>();
    private final int[] chunkOrder;
    private Map<String, List<String>> regions = Map.of();
    private String localRegion = "";
    private Ranks[] ranks = new Ranks[0];
    private List<String> neighbours = List.of();
    private long lastProgressNanos;

    private PullPlan(String self, List<Long> chunkKeys, PullLimits limits, long seed, long nowNanos) {
        this.self = self;
        this.chunkKeys = chunkKeys;
        this.limits = limits;
        this.random = new Random(seed);
        this.lastProgressNanos = nowNanos;
        this.chunkOrder = shuffledIndexes(chunkKeys.size(), random);
    }

    /**
     * Creates a plan in which no chunk is held and no members are set.
     *
     * @param self the name of the local VM
     * @param chunkHashes the hashes of the chunks, in hexadecimal; other methods identify a chunk by its index here
     * @param limits the limits on concurrent pulls
     * @param seed the seed for the order of equally good pulls
     * @param nowNanos the current time, in nanoseconds
     * @return the plan
     */
    public static PullPlan create(String self, List<String> chunkHashes, PullLimits limits, long seed, long nowNanos) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(limits, "limits");
        List<Long> keys = chunkHashes.stream().map(Rendezvous::key).toList();
        return new PullPlan(self, keys, limits, seed, nowNanos);
    }

    /**
     * Sets the members: the VMs of the group that are believed to be up.
     *
     * @param members the VMs; the local VM may be absent
     */
    public void setMembers(List<Member> members) {
        Map<String, List<String>> byRegion = new TreeMap<>();
        for (Member member : members) {
            byRegion.computeIfAbsent(member.region(), region -> new ArrayList<>())
                    .add(member.vm());
            if (member.vm().equals(self)) {
                localRegion = member.region();
            }
        }
        regions = byRegion;
        ranks = new Ranks[chunkKeys.size()];
        neighbours = chooseNeighbours(byRegion.getOrDefault(localRegion, List.of()));
        neighbourChunks.keySet().retainAll(neighbours);
    }

    /**
     * Returns the VMs of the local region whose chunks this VM follows.
     *
     * @return at most {@link PullLimits#maximumNeighbours} names
     */
    public List<String> neighbours() {
        return neighbours;
    }

    /**
     * Returns this VM's share of the chunks that the local region fetches from the origin. Every VM of the region
     * computes the same shares, so together they use the region's links to other regions fully and no more.
     *
     * @return from 0 to 1, and 0 if the region fetches nothing from the origin
     */
    public double shareOfOriginChunks() {
        int regionChunks = 0;
        int ownChunks = 0;
        for (int chunk = 0; chunk < ranks.length; chunk++) {
            Ranks rank = ranksOf(chunk);
            if (fetchingRegions(rank).contains(localRegion)) {
                regionChunks++;
                ownChunks += rank.localVms().get(0).equals(self) ? 1 : 0;
            }
        }
        return regionChunks == 0 ? 0 : ownChunks / (double) regionChunks;
    }

    /**
     * Sets the chunks that a neighbour holds. Ignored if the VM is not a neighbour.
     *
     * @param vm the neighbour
     * @param chunks the indexes of the chunks that it holds
     */
    public void setNeighbourChunks(String vm, BitSet chunks) {
        if (neighbours.contains(vm)) {
            neighbourChunks.put(vm, (BitSet) chunks.clone());
        }
    }

    /**
     * Records that a VM is unreachable: ends the pulls from it and avoids it for the failure backoff.
     *
     * @param vm the VM
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordUnreachable(String vm, long nowNanos) {
        neighbourChunks.remove(vm);
        avoid(vm, nowNanos);
        Source lost = new Source.Peer(vm);
        for (int chunk : List.copyOf(pullsInProgress.keySet())) {
            endPull(chunk, lost);
        }
    }

    /**
     * Records that the local VM holds a verified chunk.
     *
     * @param chunk the index of the chunk
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordHeld(int chunk, long nowNanos) {
        held.set(chunk);
        lastProgressNanos = nowNanos;
    }

    /**
     * Ends a pull, whether it succeeded or not.
     *
     * @param pull the pull
     */
    public void endPull(Pull pull) {
        endPull(pull.chunk(), pull.source());
    }

    /**
     * Ends a pull whose source sent a corrupt chunk, rejected the request or timed out. A peer is avoided for the
     * failure backoff; the origin is not.
     *
     * @param pull the pull
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordFailure(Pull pull, long nowNanos) {
        endPull(pull);
        if (pull.source() instanceof Source.Peer peer) {
            avoid(peer.vm(), nowNanos);
            removeNeighbourChunk(peer.vm(), pull.chunk());
        }
    }

    /**
     * Ends a pull whose source has the chunk but is busy. A peer gets no pulls for the busy backoff.
     *
     * @param pull the pull
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordBusy(Pull pull, long nowNanos) {
        endPull(pull);
        if (pull.source() instanceof Source.Peer peer) {
            busyUntilNanos.put(peer.vm(), nowNanos + limits.busyBackoffNanos());
        }
    }

    /**
     * Returns whether the local VM holds all chunks.
     *
     * @return whether the local copy is complete
     */
    public boolean isComplete() {
        return held.cardinality() == chunkKeys.size();
    }

    /**
     * Returns the chunks that the local VM holds.
     *
     * @return the indexes of the chunks, as a copy
     */
    public BitSet heldChunks() {
        return (BitSet) held.clone();
    }

    /**
     * Decides which pulls to start now. Each pull counts as in progress until it is reported by {@link #endPull},
     * {@link #recordFailure}, {@link #recordBusy} or {@link #recordUnreachable}.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the pulls to start
     */
    public List<Pull> nextPulls(long nowNanos) {
        List<Pull> pulls = new ArrayList<>();
        if (isComplete() || ranks.length == 0) {
            return pulls;
        }
        addFetcherPulls(pulls, nowNanos);
        addNeighbourPulls(pulls, nowNanos);
        addEndgameDuplicates(pulls, nowNanos);
        return pulls;
    }

    private void addFetcherPulls(List<Pull> pulls, long nowNanos) {
        long elapsedStallTimeouts = (nowNanos - lastProgressNanos) / limits.stallTimeoutNanos();
        for (int chunk : chunkOrder) {
            if (originPulls() >= limits.maximumOriginPulls() && waitingPulls() >= limits.maximumWaitingPulls()) {
                return;
            }
            if (held.get(chunk) || pullsInProgress.containsKey(chunk) || isHeldByNeighbour(chunk)) {
                continue;
            }
            int rank = ownRank(chunk, nowNanos);
            if (rank >= 0 && rank <= elapsedStallTimeouts) {
                addFetcherPull(pulls, chunk, elapsedStallTimeouts, nowNanos);
            }
        }
    }

    private void addFetcherPull(List<Pull> pulls, int chunk, long elapsedStallTimeouts, long nowNanos) {
        String fetcher = fetcherFor(chunk, nowNanos);
        boolean direct = fetcher.equals(self) || fetcher.isEmpty() || elapsedStallTimeouts > FETCHER_CANDIDATES;
        if (direct && originPulls() < limits.maximumOriginPulls()) {
            start(pulls, new Pull(chunk, new Source.Origin(), false), nowNanos);
        } else if (!direct && waitingPulls() < limits.maximumWaitingPulls()) {
            start(pulls, new Pull(chunk, new Source.Peer(fetcher), true), nowNanos);
        }
    }

    private void addNeighbourPulls(List<Pull> pulls, long nowNanos) {
        while (peerPulls() < limits.maximumPeerPulls()) {
            Pull rarest = rarestPull(nowNanos);
            if (rarest == null) {
                return;
            }
            start(pulls, rarest, nowNanos);
        }
    }

    private Pull rarestPull(long nowNanos) {
        Pull best = null;
        int fewest = Integer.MAX_VALUE;
        for (int chunk : chunkOrder) {
            if (held.get(chunk) || pullsInProgress.containsKey(chunk)) {
                continue;
            }
            int holders = countHolders(chunk);
            if (holders == 0 || holders >= fewest) {
                continue;
            }
            String source = leastBusyHolder(chunk, nowNanos);
            if (source != null) {
                best = new Pull(chunk, new Source.Peer(source), false);
                fewest = holders;
            }
        }
        return best;
    }

    /**
     * When few chunks are missing and all of them are in progress, requests the late ones from a second source, so that
     * one slow source does not delay completion.
     */
    private void addEndgameDuplicates(List<Pull> pulls, long nowNanos) {
        int missing = chunkKeys.size() - held.cardinality();
        if (missing > limits.endgameChunks() || missing > pullsInProgress.size()) {
            return;
        }
        for (int chunk : List.copyOf(pullsInProgress.keySet())) {
            List<PullInProgress> started = pullsInProgress.get(chunk);
            boolean late = nowNanos - started.get(0).startedNanos() > limits.duplicateAfterNanos();
            if (held.get(chunk) || started.size() > 1 || !late) {
                continue;
            }
            String source = leastBusyHolder(chunk, nowNanos);
            if (source != null && !started.get(0).source().equals(new Source.Peer(source))) {
                start(pulls, new Pull(chunk, new Source.Peer(source), false), nowNanos);
            }
        }
    }

    private void start(List<Pull> pulls, Pull pull, long nowNanos) {
        if (held.get(pull.chunk())) {
            throw new IllegalStateException("chunk " + pull.chunk() + " is already held and must not be pulled again");
        }
        pullsInProgress
                .computeIfAbsent(pull.chunk(), chunk -> new ArrayList<>(2))
                .add(new PullInProgress(pull.source(), pull.waitForChunk(), nowNanos));
        pullCountBySource.merge(pull.source().label(), 1, Integer::sum);
        pulls.add(pull);
    }

    private void endPull(int chunk, Source source) {
        List<PullInProgress> started = pullsInProgress.get(chunk);
        if (started == null) {
            return;
        }
        if (started.removeIf(pull -> pull.source().equals(source))) {
            pullCountBySource.merge(source.label(), -1, Integer::sum);
        }
        if (started.isEmpty()) {
            pullsInProgress.remove(chunk);
        }
    }

    private int originPulls() {
        return pullCountBySource.getOrDefault(Source.Origin.LABEL, 0);
    }

    private int waitingPulls() {
        return countPulls(true);
    }

    private int peerPulls() {
        return countPulls(false) - originPulls();
    }

    private int countPulls(boolean waitForChunk) {
        int count = 0;
        for (List<PullInProgress> started : pullsInProgress.values()) {
            for (PullInProgress pull : started) {
                count += pull.waitForChunk() == waitForChunk ? 1 : 0;
            }
        }
        return count;
    }

    private boolean isHeldByNeighbour(int chunk) {
        return countHolders(chunk) > 0;
    }

    private int countHolders(int chunk) {
        int holders = 0;
        for (BitSet chunks : neighbourChunks.values()) {
            holders += chunks.get(chunk) ? 1 : 0;
        }
        return holders;
    }

    private String leastBusyHolder(int chunk, long nowNanos) {
        String best = null;
        int fewest = limits.maximumPullsPerPeer();
        for (Map.Entry<String, BitSet> entry : neighbourChunks.entrySet()) {
            boolean available = !isAvoided(entry.getKey(), nowNanos) && !isBusy(entry.getKey(), nowNanos);
            if (!entry.getValue().get(chunk) || !available) {
                continue;
            }
            int inProgress = pullCountBySource.getOrDefault(entry.getKey(), 0);
            if (inProgress < fewest || (inProgress == fewest && best != null && random.nextBoolean())) {
                fewest = inProgress;
                best = entry.getKey();
            }
        }
        return best;
    }

    private int ownRank(int chunk, long nowNanos) {
        int rank = 0;
        for (String vm : ranksOf(chunk).localVms()) {
            if (vm.equals(self)) {
                return rank;
            }
            rank += isAvoided(vm, nowNanos) ? 0 : 1;
        }
        return -1;
    }

    /**
     * Returns the VM from which this VM pulls a chunk that must enter its region: itself if it pulls from the origin,
     * empty if every candidate is avoided.
     */
    private String fetcherFor(int chunk, long nowNanos) {
        Ranks rank = ranksOf(chunk);
        List<String> fetching = fetchingRegions(rank);
        if (fetching.contains(localRegion)) {
            return self;
        }
        String region = fetching.get(Math.floorMod(Rendezvous.key(localRegion), fetching.size()));
        for (String vm : ranked(regions.get(region), chunk)) {
            if (!isAvoided(vm, nowNanos)) {
                return vm;
            }
        }
        return "";
    }

    private List<String> fetchingRegions(Ranks rank) {
        return rank.regions()
                .subList(0, Math.min(limits.originCopies(), rank.regions().size()));
    }

    private Ranks ranksOf(int chunk) {
        if (ranks[chunk] == null) {
            List<String> byRank = new ArrayList<>(regions.keySet());
            byRank.sort(Comparator.comparingLong(region -> Rendezvous.hash(region, chunkKeys.get(chunk))));
            List<String> localVms = ranked(regions.getOrDefault(localRegion, List.of()), chunk);
            ranks[chunk] = new Ranks(byRank, localVms);
        }
        return ranks[chunk];
    }

    private List<String> ranked(List<String> vms, int chunk) {
        return vms.stream()
                .sorted(Comparator.comparingLong(vm -> Rendezvous.hash(vm, chunkKeys.get(chunk))))
                .limit(FETCHER_CANDIDATES)
                .toList();
    }

    private List<String> chooseNeighbours(List<String> region) {
        long key = Rendezvous.key(self);
        return region.stream()
                .filter(vm -> !vm.equals(self))
                .sorted(Comparator.comparingLong(vm -> Rendezvous.hash(vm, key)))
                .limit(limits.maximumNeighbours())
                .toList();
    }

    private void avoid(String vm, long nowNanos) {
        avoidUntilNanos.put(vm, nowNanos + limits.failureBackoffNanos());
    }

    private boolean isAvoided(String vm, long nowNanos) {
        return isAfter(avoidUntilNanos.get(vm), nowNanos);
    }

    /** A busy source is up, so unlike an avoided one it keeps its rank as regional fetcher. */
    private boolean isBusy(String vm, long nowNanos) {
        return isAfter(busyUntilNanos.get(vm), nowNanos);
    }

    private static boolean isAfter(Long untilNanos, long nowNanos) {
        return untilNanos != null && untilNanos - nowNanos > 0;
    }

    private void removeNeighbourChunk(String vm, int chunk) {
        BitSet chunks = neighbourChunks.get(vm);
        if (chunks != null) {
            chunks.clear(chunk);
        }
    }

    private static int[] shuffledIndexes(int size, Random random) {
        int[] numbers = new int[size];
        for (int index = 0; index < size; index++) {
            int other = random.nextInt(index + 1);
            numbers[index] = numbers[other];
            numbers[other] = index;
        }
        return numbers;
    }

    private record Ranks(List<String> regions, List<String> localVms) {}

    private record PullInProgress(Source source, boolean waitForChunk, long startedNanos) {}

    /**
     * A VM of the group.
     *
     * @param vm the name of the VM
     * @param region the region of the VM
     */
    public record Member(String vm, String region) {}

    /**
     * The transfer of one chunk from one source.
     *
     * @param chunk the index of the chunk
     * @param source the source
     * @param waitForChunk whether the source holds the request back until it has the chunk, instead of rejecting it
     */
    public record Pull(int chunk, Source source, boolean waitForChunk) {}

    /** A chunk source. */
    public sealed interface Source {
        /**
         * Returns the name of the source in logs.
         *
         * @return {@code origin}, or the name of the VM
         */
        String label();

        /** The origin of the weights. */
        record Origin() implements Source {
            static final String LABEL = "origin";

            @Override
            public String label() {
                return LABEL;
            }
        }

        /**
         * Another VM of the group.
         *
         * @param vm the name of the VM
         */
        record Peer(String vm) implements Source {
            @Override
            public String label() {
                return vm;
            }
        }
    }
}
