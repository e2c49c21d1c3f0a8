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
 * Decides which chunk a VM pulls next, and from where. Time is a parameter and the order is seeded.
 *
 * <p>Rendezvous hashing names for each chunk a gateway in every region, and ranks the regions. The gateways of the
 * first regions draw the chunk from the origin; every other gateway asks one of those for it, so a chunk enters a
 * region once. Inside a region each VM pulls what its neighbours hold, the rarest first. A gateway that goes silent
 * is replaced by the next in rank, by deadline.
 *
 * <p>Belongs to one thread. Cost: O(chunks x members of the own region) once for each membership, O(missing chunks)
 * for each call of {@link #next}.
 */
public final class PullPlan {
    private static final int RANKS_KEPT = 4;

    private final String self;
    private final List<Long> chunkKeys;
    private final PullLimits limits;
    private final Random random;
    private final BitSet held = new BitSet();
    private final Map<String, BitSet> possession = new HashMap<>();
    private final Map<Integer, List<Flight>> flights = new HashMap<>();
    private final Map<String, Integer> outstanding = new HashMap<>();
    private final Map<String, Long> avoidUntilNanos = new HashMap<>();
    private final Map<String, Long> busyUntilNanos = new HashMap<>();
    private final int[] order;
    private Map<String, List<String>> regions = Map.of();
    private String ownRegion = "";
    private Ranks[] ranks = new Ranks[0];
    private List<String> neighbours = List.of();
    private long lastProgressNanos;

    private PullPlan(String self, List<Long> chunkKeys, PullLimits limits, long seed, long nowNanos) {
        this.self = self;
        this.chunkKeys = chunkKeys;
        this.limits = limits;
        this.random = new Random(seed);
        this.lastProgressNanos = nowNanos;
        this.order = shuffled(chunkKeys.size(), random);
    }

    /**
     * Creates a plan in which no chunk is held.
     *
     * @param self the own VM's name
     * @param chunkHashes the chunks' hashes, in hexadecimal
     * @param limits the bounds on what is asked for at once
     * @param seed the seed for the order of equally good pulls
     * @param nowNanos the time, in nanoseconds
     * @return the plan, without members
     */
    public static PullPlan create(String self, List<String> chunkHashes, PullLimits limits, long seed, long nowNanos) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(limits, "limits");
        List<Long> keys = chunkHashes.stream().map(Rendezvous::key).toList();
        return new PullPlan(self, keys, limits, seed, nowNanos);
    }

    /**
     * Takes in who takes part: the VMs of the group that are believed to be up.
     *
     * @param members the VMs, the own one among them or not
     */
    public void members(List<Member> members) {
        Map<String, List<String>> byRegion = new TreeMap<>();
        for (Member member : members) {
            byRegion.computeIfAbsent(member.region(), region -> new ArrayList<>())
                    .add(member.vm());
            if (member.vm().equals(self)) {
                ownRegion = member.region();
            }
        }
        regions = byRegion;
        ranks = new Ranks[chunkKeys.size()];
        neighbours = chooseNeighbours(byRegion.getOrDefault(ownRegion, List.of()));
        possession.keySet().retainAll(neighbours);
    }

    /**
     * Returns the VMs of the own region whose possession this VM follows.
     *
     * @return at most {@link PullLimits#neighbours} names
     */
    public List<String> neighbours() {
        return neighbours;
    }

    /**
     * Returns the part of the chunks that the own region draws from the origin which this VM draws. Every VM of the
     * region computes the same parts, so together they use the region's links to others fully and no more.
     *
     * @return from 0 to 1
     */
    public double shareOfDrawnChunks() {
        int byRegion = 0;
        int bySelf = 0;
        for (int chunk = 0; chunk < ranks.length; chunk++) {
            Ranks rank = ranksOf(chunk);
            if (drawingRegions(rank).contains(ownRegion)) {
                byRegion++;
                bySelf += rank.own().get(0).equals(self) ? 1 : 0;
            }
        }
        return byRegion == 0 ? 0 : bySelf / (double) byRegion;
    }

    /**
     * Takes in what a neighbour holds.
     *
     * @param vm the neighbour
     * @param chunks the numbers of the chunks that it holds
     */
    public void possessed(String vm, BitSet chunks) {
        if (neighbours.contains(vm)) {
            possession.put(vm, (BitSet) chunks.clone());
        }
    }

    /**
     * Takes in that a VM cannot be reached, and ends the pulls from it.
     *
     * @param vm the VM
     * @param nowNanos the time, in nanoseconds
     */
    public void unreachable(String vm, long nowNanos) {
        possession.remove(vm);
        avoid(vm, nowNanos);
        Source lost = new Source.Peer(vm);
        for (int chunk : List.copyOf(flights.keySet())) {
            endFlight(chunk, lost);
        }
    }

    /**
     * Takes in that a verified chunk is held.
     *
     * @param chunk its number
     * @param nowNanos the time, in nanoseconds
     */
    public void received(int chunk, long nowNanos) {
        held.set(chunk);
        lastProgressNanos = nowNanos;
    }

    /**
     * Ends a pull, whatever came of it.
     *
     * @param pull the pull
     */
    public void ended(Pull pull) {
        endFlight(pull.chunk(), pull.source());
    }

    /**
     * Takes in that a source sent a wrong chunk, refused or was too late; it is avoided for a while.
     *
     * @param pull the pull
     * @param nowNanos the time, in nanoseconds
     */
    public void failed(Pull pull, long nowNanos) {
        ended(pull);
        if (pull.source() instanceof Source.Peer peer) {
            avoid(peer.vm(), nowNanos);
            forget(peer.vm(), pull.chunk());
        }
    }

    /**
     * Takes in that a source has the chunk but is busy; it is left alone for a moment.
     *
     * @param pull the pull
     * @param nowNanos the time, in nanoseconds
     */
    public void busy(Pull pull, long nowNanos) {
        ended(pull);
        if (pull.source() instanceof Source.Peer peer) {
            busyUntilNanos.put(peer.vm(), nowNanos + limits.busyNanos());
        }
    }

    /**
     * Tells whether all chunks are held.
     *
     * @return whether the copy is complete
     */
    public boolean isComplete() {
        return held.cardinality() == chunkKeys.size();
    }

    /**
     * Returns the chunks held.
     *
     * @return a copy
     */
    public BitSet held() {
        return (BitSet) held.clone();
    }

    /**
     * Decides what to pull now. Each pull counts as under way until {@link #ended} or {@link #failed}.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the pulls to start
     */
    public List<Pull> next(long nowNanos) {
        List<Pull> pulls = new ArrayList<>();
        if (isComplete() || ranks.length == 0) {
            return pulls;
        }
        addGatewayPulls(pulls, nowNanos);
        addNeighbourPulls(pulls, nowNanos);
        addFinalDuplicates(pulls, nowNanos);
        return pulls;
    }

    private void addGatewayPulls(List<Pull> pulls, long nowNanos) {
        long stalls = (nowNanos - lastProgressNanos) / limits.stallNanos();
        for (int chunk : order) {
            if (originPulls() >= limits.originPulls() && patientPulls() >= limits.patientPulls()) {
                return;
            }
            if (held.get(chunk) || flights.containsKey(chunk) || isSeen(chunk)) {
                continue;
            }
            int rank = rankOfSelf(chunk, nowNanos);
            if (rank >= 0 && rank <= stalls) {
                addGatewayPull(pulls, chunk, stalls, nowNanos);
            }
        }
    }

    private void addGatewayPull(List<Pull> pulls, int chunk, long stalls, long nowNanos) {
        String drawer = drawerFor(chunk, nowNanos);
        boolean direct = drawer.equals(self) || drawer.isEmpty() || stalls > RANKS_KEPT;
        if (direct && originPulls() < limits.originPulls()) {
            start(pulls, new Pull(chunk, new Source.Origin(), false), nowNanos);
        } else if (!direct && patientPulls() < limits.patientPulls()) {
            start(pulls, new Pull(chunk, new Source.Peer(drawer), true), nowNanos);
        }
    }

    private void addNeighbourPulls(List<Pull> pulls, long nowNanos) {
        while (peerPulls() < limits.peerPulls()) {
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
        for (int chunk : order) {
            if (held.get(chunk) || flights.containsKey(chunk)) {
                continue;
            }
            int holders = holdersOf(chunk);
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

    /** Near the end every missing chunk is under way; those under way for long are asked for once more elsewhere. */
    private void addFinalDuplicates(List<Pull> pulls, long nowNanos) {
        int missing = chunkKeys.size() - held.cardinality();
        if (missing > limits.finalChunks() || missing > flights.size()) {
            return;
        }
        for (int chunk : List.copyOf(flights.keySet())) {
            List<Flight> underWay = flights.get(chunk);
            boolean late = nowNanos - underWay.get(0).startedNanos() > limits.duplicateAfterNanos();
            if (held.get(chunk) || underWay.size() > 1 || !late) {
                continue;
            }
            String source = leastBusyHolder(chunk, nowNanos);
            if (source != null && !underWay.get(0).source().equals(new Source.Peer(source))) {
                start(pulls, new Pull(chunk, new Source.Peer(source), false), nowNanos);
            }
        }
    }

    private void start(List<Pull> pulls, Pull pull, long nowNanos) {
        if (held.get(pull.chunk())) {
            throw new IllegalStateException("chunk " + pull.chunk() + " is held and must not be pulled again");
        }
        flights.computeIfAbsent(pull.chunk(), chunk -> new ArrayList<>(2))
                .add(new Flight(pull.source(), pull.patient(), nowNanos));
        outstanding.merge(pull.source().label(), 1, Integer::sum);
        pulls.add(pull);
    }

    private void endFlight(int chunk, Source source) {
        List<Flight> underWay = flights.get(chunk);
        if (underWay == null) {
            return;
        }
        if (underWay.removeIf(flight -> flight.source().equals(source))) {
            outstanding.merge(source.label(), -1, Integer::sum);
        }
        if (underWay.isEmpty()) {
            flights.remove(chunk);
        }
    }

    private int originPulls() {
        return outstanding.getOrDefault(Source.Origin.LABEL, 0);
    }

    private int patientPulls() {
        return countFlights(true);
    }

    private int peerPulls() {
        return countFlights(false) - originPulls();
    }

    private int countFlights(boolean patient) {
        int count = 0;
        for (List<Flight> underWay : flights.values()) {
            for (Flight flight : underWay) {
                count += flight.patient() == patient ? 1 : 0;
            }
        }
        return count;
    }

    private boolean isSeen(int chunk) {
        return holdersOf(chunk) > 0;
    }

    private int holdersOf(int chunk) {
        int holders = 0;
        for (BitSet chunks : possession.values()) {
            holders += chunks.get(chunk) ? 1 : 0;
        }
        return holders;
    }

    private String leastBusyHolder(int chunk, long nowNanos) {
        String best = null;
        int least = limits.pullsPerPeer();
        for (Map.Entry<String, BitSet> entry : possession.entrySet()) {
            boolean free = !isAvoided(entry.getKey(), nowNanos) && !isBusy(entry.getKey(), nowNanos);
            if (!entry.getValue().get(chunk) || !free) {
                continue;
            }
            int busy = outstanding.getOrDefault(entry.getKey(), 0);
            if (busy < least || (busy == least && best != null && random.nextBoolean())) {
                least = busy;
                best = entry.getKey();
            }
        }
        return best;
    }

    private int rankOfSelf(int chunk, long nowNanos) {
        int rank = 0;
        for (String vm : ranksOf(chunk).own()) {
            if (vm.equals(self)) {
                return rank;
            }
            rank += isAvoided(vm, nowNanos) ? 0 : 1;
        }
        return -1;
    }

    /** The VM that this one asks for a chunk that must come from outside its region; itself when that is the origin. */
    private String drawerFor(int chunk, long nowNanos) {
        Ranks rank = ranksOf(chunk);
        List<String> drawing = drawingRegions(rank);
        if (drawing.contains(ownRegion)) {
            return self;
        }
        String region = drawing.get(Math.floorMod(Rendezvous.key(ownRegion), drawing.size()));
        for (String vm : ranked(regions.get(region), chunk)) {
            if (!isAvoided(vm, nowNanos)) {
                return vm;
            }
        }
        return "";
    }

    private List<String> drawingRegions(Ranks rank) {
        return rank.regions()
                .subList(0, Math.min(limits.originCopies(), rank.regions().size()));
    }

    private Ranks ranksOf(int chunk) {
        if (ranks[chunk] == null) {
            List<String> byRank = new ArrayList<>(regions.keySet());
            byRank.sort(Comparator.comparingLong(region -> Rendezvous.hash(region, chunkKeys.get(chunk))));
            List<String> own = ranked(regions.getOrDefault(ownRegion, List.of()), chunk);
            ranks[chunk] = new Ranks(byRank, own);
        }
        return ranks[chunk];
    }

    private List<String> ranked(List<String> vms, int chunk) {
        return vms.stream()
                .sorted(Comparator.comparingLong(vm -> Rendezvous.hash(vm, chunkKeys.get(chunk))))
                .limit(RANKS_KEPT)
                .toList();
    }

    private List<String> chooseNeighbours(List<String> region) {
        long key = Rendezvous.key(self);
        return region.stream()
                .filter(vm -> !vm.equals(self))
                .sorted(Comparator.comparingLong(vm -> Rendezvous.hash(vm, key)))
                .limit(limits.neighbours())
                .toList();
    }

    private void avoid(String vm, long nowNanos) {
        avoidUntilNanos.put(vm, nowNanos + limits.avoidNanos());
    }

    private boolean isAvoided(String vm, long nowNanos) {
        return isLater(avoidUntilNanos.get(vm), nowNanos);
    }

    /** A busy source is alive: nobody steps in for it. */
    private boolean isBusy(String vm, long nowNanos) {
        return isLater(busyUntilNanos.get(vm), nowNanos);
    }

    private static boolean isLater(Long until, long nowNanos) {
        return until != null && until - nowNanos > 0;
    }

    private void forget(String vm, int chunk) {
        BitSet chunks = possession.get(vm);
        if (chunks != null) {
            chunks.clear(chunk);
        }
    }

    private static int[] shuffled(int size, Random random) {
        int[] numbers = new int[size];
        for (int index = 0; index < size; index++) {
            int other = random.nextInt(index + 1);
            numbers[index] = numbers[other];
            numbers[other] = index;
        }
        return numbers;
    }

    private record Ranks(List<String> regions, List<String> own) {}

    private record Flight(Source source, boolean patient, long startedNanos) {}

    /**
     * A VM that takes part.
     *
     * @param vm its name
     * @param region its region
     */
    public record Member(String vm, String region) {}

    /**
     * One pull.
     *
     * @param chunk the chunk's number
     * @param source where from
     * @param patient whether the source keeps the request until it holds the chunk
     */
    public record Pull(int chunk, Source source, boolean patient) {}

    /** Where a chunk is pulled from. */
    public sealed interface Source {
        /**
         * Returns the name for logs.
         *
         * @return {@code origin} or the VM's name
         */
        String label();

        /** The origin of weights. */
        record Origin() implements Source {
            static final String LABEL = "origin";

            @Override
            public String label() {
                return LABEL;
            }
        }

        /**
         * Another VM.
         *
         * @param vm its name
         */
        record Peer(String vm) implements Source {
            @Override
            public String label() {
                return vm;
            }
        }
    }
}
