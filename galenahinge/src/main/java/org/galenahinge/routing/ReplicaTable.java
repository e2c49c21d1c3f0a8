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
 * Decides which replica a request goes to. Immutable; time is a parameter.
 *
 * <p>Requests with the same prompt prefix go to the same replica by rendezvous hashing, unless that replica holds
 * more than its bounded share of the load; then the next in rank takes it. Only replicas with exactly the wanted
 * weights are candidates. Cost of a choice: O(replicas of the target).
 */
public final class ReplicaTable {
    /** How far above the mean load a replica may be before its requests go to the next one. */
    private static final double LOAD_BOUND = 1.25;

    private static final double SLOW_FACTOR = 3;
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
     * Takes in what a slot process reported.
     *
     * @param report the report
     * @return the table afterwards
     */
    public ReplicaTable report(Replica.Report report) {
        Replica fresh =
                new Replica(report.vm(), report.target(), "", "", false, 0, 0, 0, Math.max(1, report.capacity()), 0, 0);
        Replica before = replicas.getOrDefault(report.vm(), fresh);
        return put(before.reported(report));
    }

    /**
     * Marks a replica as not ready because its link went down. That proves nothing about its calls.
     *
     * @param vm the replica's VM
     * @return the table afterwards
     */
    public ReplicaTable unreachable(String vm) {
        return change(
                vm,
                replica -> replica.reported(new Replica.Report(
                        vm,
                        replica.target(),
                        replica.weightsKey(),
                        replica.fingerprint(),
                        false,
                        0,
                        replica.capacity())));
    }

    /**
     * Forgets a replica that has no calls of ours.
     *
     * @param vm the replica's VM
     * @return the table afterwards
     */
    public ReplicaTable forget(String vm) {
        Replica replica = replicas.get(vm);
        if (replica == null || replica.ownInFlight() > 0) {
            return this;
        }
        Map<String, Replica> left = new HashMap<>(replicas);
        left.remove(vm);
        return new ReplicaTable(left);
    }

    /**
     * Counts a call that was sent to a replica.
     *
     * @param vm the replica's VM
     * @return the table afterwards
     */
    public ReplicaTable started(String vm) {
        return change(vm, Replica::started);
    }

    /**
     * Counts a call that ended at a replica.
     *
     * @param vm the replica's VM
     * @return the table afterwards
     */
    public ReplicaTable finished(String vm) {
        return change(vm, Replica::finished);
    }

    /**
     * Takes in the time to the first byte of a call.
     *
     * @param vm the replica's VM
     * @param latencyNanos the time, in nanoseconds
     * @return the table afterwards
     */
    public ReplicaTable measured(String vm, long latencyNanos) {
        return change(vm, replica -> replica.measured((double) latencyNanos));
    }

    /**
     * Avoids a replica for a while after a failure there.
     *
     * @param vm the replica's VM
     * @param untilNanos until when, in nanoseconds
     * @return the table afterwards
     */
    public ReplicaTable suspect(String vm, long untilNanos) {
        return change(vm, replica -> replica.suspect(untilNanos));
    }

    /**
     * Chooses a replica.
     *
     * @param demand what the request needs
     * @param nowNanos the time, in nanoseconds
     * @return the choice, with what was weighed
     */
    public Choice choose(Demand demand, long nowNanos) {
        Objects.requireNonNull(demand, "demand");
        List<Replica> able = replicas.values().stream()
                .filter(replica -> replica.ready() && demand.accepts(replica))
                .sorted(Comparator.comparingLong(replica -> demand.rankOf(replica.vm())))
                .toList();
        if (able.isEmpty()) {
            return new Choice(Optional.empty(), List.of(), Why.NONE_ABLE);
        }
        List<Replica> trusted = trusted(able, nowNanos);
        if (!demand.byPrefix()) {
            return new Choice(Optional.of(leastLoaded(trusted)), able, Why.LEAST_LOADED);
        }
        double bound = loadBound(able);
        for (Replica replica : trusted) {
            if (replica.load() < Math.min(bound, replica.capacity())) {
                Why why = replica.equals(trusted.get(0)) ? Why.PREFIX : Why.PREFIX_LOAD_BOUND;
                return new Choice(Optional.of(replica), able, why);
            }
        }
        return new Choice(Optional.of(leastLoaded(trusted)), able, Why.LEAST_LOADED);
    }

    private static Replica leastLoaded(List<Replica> replicas) {
        return replicas.stream()
                .min(Comparator.comparingDouble(replica -> (double) replica.load() / replica.capacity()))
                .orElseThrow();
    }

    /**
     * Finds a replica.
     *
     * @param vm the replica's VM
     * @return the replica, if it is known
     */
    public Optional<Replica> find(String vm) {
        return Optional.ofNullable(replicas.get(vm));
    }

    /**
     * Returns all replicas.
     *
     * @return a new list
     */
    public List<Replica> all() {
        return List.copyOf(replicas.values());
    }

    private static List<Replica> trusted(List<Replica> able, long nowNanos) {
        double median = medianLatency(able);
        List<Replica> trusted = new ArrayList<>();
        for (Replica replica : able) {
            boolean suspect = replica.suspectUntilNanos() - nowNanos > 0;
            boolean slow = median > 0 && replica.ownInFlight() > 0 && replica.latencyNanos() > SLOW_FACTOR * median;
            if (!suspect && !slow) {
                trusted.add(replica);
            }
        }
        return trusted.isEmpty() ? able : trusted;
    }

    private static double medianLatency(List<Replica> able) {
        double[] known = able.stream()
                .mapToDouble(Replica::latencyNanos)
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return known.length < 3 ? 0 : known[known.length / 2];
    }

    private static double loadBound(List<Replica> able) {
        int total = able.stream().mapToInt(Replica::load).sum() + 1;
        return Math.max(1, Math.ceil(LOAD_BOUND * total / able.size()));
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
     * What a request needs of a replica.
     *
     * @param target the model or service
     * @param weightsKeys the weights that are acceptable, best first; empty for a plain service
     * @param prefixHash the hash of the request's prompt prefix
     * @param excluded VMs that already refused this request
     * @param byPrefix whether the prefix counts; else the least loaded replica is chosen
     */
    public record Demand(
            String target, List<String> weightsKeys, long prefixHash, Set<String> excluded, boolean byPrefix) {
        /** Copies the collections. */
        public Demand {
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
     * The outcome of a choice.
     *
     * @param replica the replica chosen, if any is able
     * @param candidates the replicas that were able, in rank order
     * @param why why this one
     */
    public record Choice(Optional<Replica> replica, List<Replica> candidates, Why why) {}

    /** Why a replica was chosen. */
    public enum Why {
        /** It ranks first for the prompt prefix. */
        PREFIX,
        /** Those that rank before it hold more than their share of the load. */
        PREFIX_LOAD_BOUND,
        /** All hold more than their share; it holds the least. */
        LEAST_LOADED,
        /** No replica is able. */
        NONE_ABLE
    }
}
