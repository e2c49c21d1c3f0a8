package org.galenahinge.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Request;
import org.galenahinge.request.Target;
import org.galenahinge.request.Verdict;
import org.galenahinge.routing.Replica;
import org.galenahinge.routing.ReplicaTable;
import org.galenahinge.routing.ReplicaTable.Choice;
import org.galenahinge.routing.ReplicaTable.Requirements;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketGroup.ServiceWorkload;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.SlotState;

/** Chooses a replica for each attempt and counts the active attempts of each replica. State changes on one thread. */
final class RoutingController implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 16_384;
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(30);
    private static final long SUSPECT_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    private final Supplier<TicketState> tickets;
    private final Function<String, Optional<WireConnection>> connections;
    private final DecisionLog decisions;
    private final boolean routeByPrefix;
    private final Controller<Runnable> controller;
    private ReplicaTable table = ReplicaTable.empty();
    private volatile ReplicaTable snapshot = table;

    private RoutingController(
            Supplier<TicketState> tickets,
            Function<String, Optional<WireConnection>> connections,
            DecisionLog decisions,
            boolean routeByPrefix,
            MetricRegistry metrics) {
        this.routeByPrefix = routeByPrefix;
        this.tickets = tickets;
        this.connections = connections;
        this.decisions = decisions;
        this.controller = Controller.start("routing", QUEUE_CAPACITY, TICK_INTERVAL, this::handle, () -> TICK_INTERVAL);
        metrics.gauge("routing.replicas", () -> () -> snapshot.all().size());
    }

    static RoutingController start(
            Supplier<TicketState> tickets,
            Function<String, Optional<WireConnection>> connections,
            DecisionLog decisions,
            boolean routeByPrefix,
            MetricRegistry metrics) {
        return new RoutingController(
                Objects.requireNonNull(tickets, "tickets"),
                Objects.requireNonNull(connections, "connections"),
                Objects.requireNonNull(decisions, "decisions"),
                routeByPrefix,
                metrics);
    }

    /** Chooses a replica and counts the attempt there until {@link #attemptEnded}. */
    CompletionStage<Route> route(Request request, Set<String> excluded) {
        CompletableFuture<Route> route = new CompletableFuture<>();
        if (!controller.offerWork(() -> route.complete(choose(request, excluded)))) {
            route.complete(
                    new Route.Rejected(Verdict.notRun(Reason.QUEUE_FULL, "the routing queue is full", RETRY_AFTER)));
        }
        return route;
    }

    /** Counts an attempt at a VM that was not chosen by {@link #route}, until {@link #attemptEnded}. */
    void attemptStarted(String vm) {
        controller.offer(() -> table = table.recordStart(vm));
    }

    void firstByteReceived(String vm, long latencyNanos) {
        controller.offer(() -> table = table.recordLatency(vm, latencyNanos));
    }

    /** Ends the count of an attempt; a VM that may be failing is suspect for {@link #SUSPECT_DURATION_NANOS}. */
    void attemptEnded(String vm, Verdict verdict) {
        controller.offer(() -> {
            table = table.recordEnd(vm);
            boolean mayBeFailing = verdict instanceof Verdict.MayHaveRun
                    || (verdict instanceof Verdict.NotRun notRun && notRun.reason() == Reason.UNREACHABLE);
            if (mayBeFailing) {
                table = table.markSuspect(vm, System.nanoTime() + SUSPECT_DURATION_NANOS);
            }
        });
    }

    void slotReported(SlotState state) {
        controller.offer(() -> table = table.recordReport(reportOf(state)));
    }

    /** Updates the load (active and queued requests) of a replica that is in the table. */
    void loadReported(String vm, int load) {
        controller.offer(() -> table.find(vm)
                .ifPresent(replica -> table = table.recordReport(new Replica.Report(
                        vm,
                        replica.target(),
                        replica.weightsKey(),
                        replica.fingerprint(),
                        replica.ready(),
                        load,
                        replica.capacity()))));
    }

    void markUnreachable(String vm) {
        controller.offer(() -> table = table.markUnreachable(vm));
    }

    /** Marks a replica as suspect for {@link #SUSPECT_DURATION_NANOS}. */
    void markSuspect(String vm) {
        controller.offer(() -> table = table.markSuspect(vm, System.nanoTime() + SUSPECT_DURATION_NANOS));
    }

    void remove(String vm) {
        controller.offer(() -> table = table.removeIfIdle(vm));
    }

    /** Returns the table as of the last handled event. */
    ReplicaTable table() {
        return snapshot;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(Runnable event) {
        event.run();
        snapshot = table;
    }

    private Route choose(Request request, Set<String> excluded) {
        List<EffectiveGroup> groups = groupsServing(request.target());
        if (groups.isEmpty()) {
            String detail = "no ticket in force assigns '" + request.target().name() + "' to any VM";
            return rejected(request, Verdict.notRun(Reason.UNKNOWN_TARGET, detail, Duration.ZERO));
        }
        Requirements demand = demand(request, groups, excluded);
        Choice choice = table.choose(demand, System.nanoTime());
        List<String> candidates =
                choice.candidates().stream().map(RoutingController::describe).toList();
        Optional<Replica> replica = choice.replica();
        Optional<WireConnection> connection = replica.flatMap(chosen -> connections.apply(chosen.vm()));
        if (replica.isEmpty() || connection.isEmpty()) {
            return rejected(
                    request, Verdict.notRun(Reason.NO_REPLICA, "no replica is ready for this request", RETRY_AFTER));
        }
        Replica chosen = replica.get();
        table = table.recordStart(chosen.vm());
        decisions.record(
                request.requestId(),
                "route",
                candidates,
                chosen.vm(),
                choice.reason().name().toLowerCase(Locale.ROOT) + " " + chosen.weightsKey());
        return new Route.Chosen(chosen.vm(), connection.get(), chosen.weightsKey(), isIdempotent(groups));
    }

    private Route rejected(Request request, Verdict.NotRun verdict) {
        decisions.record(
                request.requestId(), "route", List.of(), "", verdict.reason().label());
        return new Route.Rejected(verdict);
    }

    private List<EffectiveGroup> groupsServing(Target target) {
        return tickets.get().effectiveGroups().stream()
                .filter(group -> serves(group.content(), target))
                .toList();
    }

    private static boolean serves(TicketGroup group, Target target) {
        boolean kindMatches = target instanceof Target.Model
                ? group.workload() instanceof ModelWorkload
                : group.workload() instanceof ServiceWorkload;
        return kindMatches && group.workload().target().equals(target.name());
    }

    private Requirements demand(Request request, List<EffectiveGroup> groups, Set<String> excluded) {
        boolean byPrefix = routeByPrefix && request.target() instanceof Target.Model;
        return new Requirements(
                request.target().name(), acceptableWeights(groups), request.prefixHash(), excluded, byPrefix);
    }

    /**
     * Returns the keys of the weights that may serve a request: the assigned ones and, while a group has fewer ready
     * replicas of them than its ticket requires, the older complete ones of its other ready replicas.
     */
    private List<String> acceptableWeights(List<EffectiveGroup> groups) {
        List<String> keys = new ArrayList<>();
        for (EffectiveGroup group : groups) {
            if (group.content().workload() instanceof ModelWorkload model) {
                keys.add(model.weightsKey());
                long ready = readyReplicas(group.content(), model.weightsKey());
                if (ready < Math.max(1, model.minimumReady())) {
                    keys.addAll(weightsOfReadyReplicas(group.content()));
                }
            }
        }
        return keys;
    }

    private long readyReplicas(TicketGroup group, String weightsKey) {
        return group.vms().stream()
                .flatMap(vm -> table.find(vm).stream())
                .filter(replica -> replica.ready() && replica.weightsKey().equals(weightsKey))
                .count();
    }

    private List<String> weightsOfReadyReplicas(TicketGroup group) {
        return group.vms().stream()
                .flatMap(vm -> table.find(vm).stream())
                .filter(Replica::ready)
                .map(Replica::weightsKey)
                .distinct()
                .toList();
    }

    private static boolean isIdempotent(List<EffectiveGroup> groups) {
        return groups.stream()
                .allMatch(group ->
                        !(group.content().workload() instanceof ServiceWorkload service) || service.idempotent());
    }

    /** Describes a replica in the decision log, as {@code vm:load/capacity}. */
    private static String describe(Replica replica) {
        return replica.vm() + ":" + replica.load() + "/" + replica.capacity();
    }

    private static Replica.Report reportOf(SlotState state) {
        String target = state.getServesModel().isEmpty() ? state.getService() : state.getServesModel();
        return new Replica.Report(
                state.getVm(),
                target,
                state.getWeightsKey(),
                state.getFingerprint(),
                state.getReady(),
                state.getInFlight() + state.getQueued(),
                Math.max(1, state.getCapacity()));
    }

    /** The result of choosing a replica for an attempt. */
    sealed interface Route {
        /** The attempt goes to this replica. */
        record Chosen(String vm, WireConnection connection, String weightsKey, boolean idempotent) implements Route {}

        /** No replica can serve the attempt. */
        record Rejected(Verdict.NotRun verdict) implements Route {}
    }
}
