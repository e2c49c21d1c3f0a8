package org.galenahinge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Chooses the replica for a request. Immutable; time is a parameter.
 *
 * <p>Requests with the same prompt prefix are sent to the same replica by rendezvous hashing, unless its load exceeds
 * the bound; then the next replica in rank order is used. Only replicas with exactly the acceptable weights are
 * candidates. A choice scans all replicas and sorts those of the target.
 */
public final class ReplicaTable {
    /** A replica whose load reaches this multiple of the mean load is passed over for the next one in rank order. */
    private static final double MAXIMUM_LOAD_FACTOR = 1.25;

    /** A replica with requests in flight and more than this multiple of the median latency is avoided. */
    private static final double SLOW_LATENCY_FACTOR = 3;

    private static final ReplicaTable EMPTY = new ReplicaTable(Map.of());

    private final Map<String, Replica> replicas;

    private ReplicaTable(Map<String, Replica> replicas) {
        this.replicas = replicas;
    }

    /**
     * Returns a table without replicas.
     *
     * @return the empty table
     */
    public static ReplicaTable empty() {
        return EMPTY;
    }

    /**
     * Records a report of a slot process, and adds its replica if it is new.
     *
     * @param report the report
     * @return the new table
     */
    public ReplicaTable recordReport(Replica.Report report) {
        Replica initial =
                new Replica(report.vm(), report.target(), "", "", false, 0, 0, 0, Math.max(1, report.capacity()), 0, 0);
        Replica before = replicas.getOrDefault(report.vm(), initial);
        return put(before.withReport(report));
    }

    /**
     * Marks a replica as not ready because the connection to it was lost, which says nothing about the requests in
     * flight there.
     *
     * @param vm name of the replica's VM
     * @return the new table
     */
    public ReplicaTable markUnreachable(String vm) {
        return change(
                vm,
                replica -> replica.withReport(new Replica.Report(
                        vm,
                        replica.target(),
                        replica.weightsKey(),
                        replica.fingerprint(),
                        false,
                        0,
                        replica.capacity())));
    }

    /**
     * Removes a replica, unless this entry has requests in flight there.
     *
     * @param vm name of the replica's VM
     * @return the new table
     */
    public ReplicaTable removeIfIdle(String vm) {
        Replica replica = replicas.get(vm);
        if (replica == null || replica.ownInFlight() > 0) {
            return this;
        }
        Map<String, Replica> remaining = new HashMap<>(replicas);
        remaining.remove(vm);
        return new ReplicaTable(remaining);
    }

    /**
     * Records that a request was sent to a replica.
     *
     * @param vm name of the replica's VM
     * @return the new table
     */
    public ReplicaTable recordStart(String vm) {
        return change(vm, Replica::withRequestStarted);
    }

    /**
     * Records that a request at a replica ended.
     *
     * @param vm name of the replica's VM
     * @return the new table
     */
    public ReplicaTable recordEnd(String vm) {
        return change(vm, Replica::withRequestEnded);
    }

    /**
     * Records the time to the first byte of a response.
     *
     * @param vm name of the replica's VM
     * @param latencyNanos the time, in nanoseconds
     * @return the new table
     */
    public ReplicaTable recordLatency(String vm, long latencyNanos) {
        return change(vm, replica -> replica.withLatency((double) latencyNanos));
    }

    /**
     * Marks a replica as suspect after a failure, so that it is avoided for a while.
     *
     * @param vm name of the replica's VM
     * @param untilNanos time until which it is avoided, in nanoseconds
     * @return the new table
     */
    public ReplicaTable markSuspect(String vm, long untilNanos) {
        return change(vm, replica -> replica.withSuspectUntil(untilNanos));
    }

    /**
     * Chooses a replica for a request.
     *
     * @param requirements what the request requires
     * @param nowNanos the time, in nanoseconds
     * @return the choice and its candidates
     */
    public Choice choose(Requirements requirements, long nowNanos) {
        Objects.requireNonNull(requirements, "requirements");
        List<Replica> eligible = replicas.values().stream()
                .filter(replica -> replica.ready() && requirements.accepts(replica))
                .sorted(Comparator.comparingLong(replica -> requirements.rankOf(replica.vm())))
                .toList();
        if (eligible.isEmpty()) {
            return new Choice(Optional.empty(), List.of(), ChoiceReason.NONE_ABLE);
        }
        List<Replica> trusted = trusted(eligible, nowNanos);
        if (!requirements.prefixAffinity()) {
            return new Choice(Optional.of(leastLoaded(trusted)), eligible, ChoiceReason.LEAST_LOADED);
        }
        double bound = loadBound(eligible);
        for (Replica replica : trusted) {
            if (replica.load() < Math.min(bound, replica.capacity())) {
                ChoiceReason reason =
                        replica.equals(trusted.get(0)) ? ChoiceReason.PREFIX : ChoiceReason.PREFIX_LOAD_BOUND;
                return new Choice(Optional.of(replica), eligible, reason);
            }
        }
        return new Choice(Optional.of(leastLoaded(trusted)), eligible, ChoiceReason.LEAST_LOADED);
    }

    private static Replica leastLoaded(List<Replica> replicas) {
        return replicas.stream()
                .min(Comparator.comparingDouble(replica -> (double) replica.load() / replica.capacity()))
                .orElseThrow();
    }

    /**
     * Finds a replica.
     *
     * @param vm name of the replica's VM
     * @return the replica, or empty if it is unknown
     */
    public Optional<Replica> find(String vm) {
        return Optional.ofNullable(replicas.get(vm));
    }

    /**
     * Returns all replicas.
     *
     * @return an immutable list, in no particular order
     */
    public List<Replica> all() {
        return List.copyOf(replicas.values());
    }

    private static List<Replica> trusted(List<Replica> eligible, long nowNanos) {
        double median = medianLatency(eligible);
        List<Replica> trusted = new ArrayList<>();
        for (Replica replica : eligible) {
            boolean suspect = replica.suspectUntilNanos() - nowNanos > 0;
            boolean slow =
                    median > 0 && replica.ownInFlight() > 0 && replica.latencyNanos() > SLOW_LATENCY_FACTOR * median;
            if (!suspect && !slow) {
                trusted.add(replica);
            }
        }
        return trusted.isEmpty() ? eligible : trusted;
    }

    private static double medianLatency(List<Replica> eligible) {
        double[] known = eligible.stream()
                .mapToDouble(Replica::latencyNanos)
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return known.length < 3 ? 0 : known[known.length / 2];
    }

    private static double loadBound(List<Replica> eligible) {
        int total = eligible.stream().mapToInt(Replica::load).sum() + 1;
        return Math.max(1, Math.ceil(MAXIMUM_LOAD_FACTOR * total / eligible.size()));
    }

    private ReplicaTable change(String vm, UnaryOperator<Replica> operator) {
        Replica replica = replicas.get(vm);
        return replica == null ? this : put(operator.apply(replica));
    }

    private ReplicaTable put(Replica replica) {
        Map<String, Replica> next = new HashMap<>(replicas);
        next.put(replica.vm(), replica);
        return new ReplicaTable(next);
    }

    /**
     * What a request requires of a replica.
     *
     * @param target the model or service
     * @param weightsKeys keys of the acceptable weights, preferred first; empty for a plain service
     * @param prefixHash hash of the request's prompt prefix
     * @param excluded VMs that have already rejected this request
     * @param prefixAffinity whether to choose by prompt prefix; otherwise the least loaded replica is chosen
     */
    public record Requirements(
            String target, List<String> weightsKeys, long prefixHash, Set<String> excluded, boolean prefixAffinity) {
        /** Copies the collections. */
        public Requirements {
            weightsKeys = List.copyOf(weightsKeys);
            excluded = Set.copyOf(excluded);
        }

        boolean accepts(Replica replica) {
            return replica.target().equals(target)
                    && !excluded.contains(replica.vm())
                    && (weightsKeys.isEmpty() || weightsKeys.contains(replica.weightsKey()));
        }

        long rankOf(String vm) {
            return Rendezvous.hash(vm, prefixHash);
        }
    }

    /**
     * The chosen replica and the reason.
     *
     * @param replica the chosen replica, empty if no replica is eligible
     * @param candidates the eligible replicas, in rank order
     * @param reason the reason for the choice
     */
    public record Choice(Optional<Replica> replica, List<Replica> candidates, ChoiceReason reason) {}

    /** The reason for a choice. */
    public enum ChoiceReason {
        /** The replica ranks first for the prompt prefix, among those that are not avoided. */
        PREFIX,
        /** The replicas that rank before it have reached the load bound or their capacity. */
        PREFIX_LOAD_BOUND,
        /** It has the least load: the prefix does not count, or every replica has reached its bound. */
        LEAST_LOADED,
        /** No replica is eligible. */
        NONE_ABLE
    }
}
