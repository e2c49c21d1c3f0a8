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

/** Chooses a replica for each attempt of a request, and keeps count of what is in flight where. One thread. */
final class RoutingController implements AutoCloseable {
    private static final int RING = 16_384;
    private static final Duration TICK = Duration.ofSeconds(30);
    private static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    private final Supplier<TicketState> tickets;
    private final Function<String, Optional<WireConnection>> links;
    private final DecisionLog decisions;
    private final boolean routeByPrefix;
    private final Controller<Runnable> controller;
    private ReplicaTable table = ReplicaTable.empty();
    private volatile ReplicaTable snapshot = table;

    private RoutingController(
            Supplier<TicketState> tickets,
            Function<String, Optional<WireConnection>> links,
            DecisionLog decisions,
            boolean routeByPrefix,
            MetricRegistry metrics) {
        this.routeByPrefix = routeByPrefix;
        this.tickets = tickets;
        this.links = links;
        this.decisions = decisions;
        this.controller = Controller.start("routing", RING, TICK, this::run, () -> TICK);
        metrics.gauge("routing.replicas", () -> () -> snapshot.all().size());
    }

    static RoutingController start(
            Supplier<TicketState> tickets,
            Function<String, Optional<WireConnection>> links,
            DecisionLog decisions,
            boolean routeByPrefix,
            MetricRegistry metrics) {
        return new RoutingController(
                Objects.requireNonNull(tickets, "tickets"),
                Objects.requireNonNull(links, "links"),
                Objects.requireNonNull(decisions, "decisions"),
                routeByPrefix,
                metrics);
    }

    /** Chooses a replica and counts the call there, until {@link #finished}. */
    CompletionStage<Route> route(Request call, Set<String> excluded) {
        CompletableFuture<Route> route = new CompletableFuture<>();
        if (!controller.offerWork(() -> route.complete(choose(call, excluded)))) {
            route.complete(
                    new Route.Refused(Verdict.notRun(Reason.QUEUE_FULL, "routing has too much work", RETRY_AFTER)));
        }
        return route;
    }

    /** Counts a call that goes to its owner, until {@link #finished}. */
    void startedAtOwner(String vm) {
        controller.offer(() -> table = table.recordStart(vm));
    }

    void firstByte(String vm, long latencyNanos) {
        controller.offer(() -> table = table.recordLatency(vm, latencyNanos));
    }

    void finished(String vm, Verdict verdict) {
        controller.offer(() -> {
            table = table.recordEnd(vm);
            boolean suspect = verdict instanceof Verdict.MayHaveRun
                    || (verdict instanceof Verdict.NotRun notRun && notRun.reason() == Reason.UNREACHABLE);
            if (suspect) {
                table = table.markSuspect(vm, System.nanoTime() + SUSPECT_NANOS);
            }
        });
    }

    void reported(SlotState state) {
        controller.offer(() -> table = table.recordReport(reportOf(state)));
    }

    void loadSeen(String vm, int load) {
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

    void unreachable(String vm) {
        controller.offer(() -> table = table.markUnreachable(vm));
    }

    void suspect(String vm) {
        controller.offer(() -> table = table.markSuspect(vm, System.nanoTime() + SUSPECT_NANOS));
    }

    void forget(String vm) {
        controller.offer(() -> table = table.removeIfIdle(vm));
    }

    /** The table as it was a moment ago, for operators. */
    ReplicaTable table() {
        return snapshot;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void run(Runnable event) {
        event.run();
        snapshot = table;
    }

    private Route choose(Request call, Set<String> excluded) {
        List<EffectiveGroup> groups = groupsServing(call.target());
        if (groups.isEmpty()) {
            String detail = "no ticket in force assigns '" + call.target().name() + "' to any VM";
            return refused(call, Verdict.notRun(Reason.UNKNOWN_TARGET, detail, Duration.ZERO));
        }
        Requirements demand = demand(call, groups, excluded);
        Choice choice = table.choose(demand, System.nanoTime());
        List<String> candidates =
                choice.candidates().stream().map(RoutingController::describe).toList();
        Optional<Replica> replica = choice.replica();
        Optional<WireConnection> link = replica.flatMap(chosen -> links.apply(chosen.vm()));
        if (replica.isEmpty() || link.isEmpty()) {
            return refused(
                    call, Verdict.notRun(Reason.NO_REPLICA, "no replica is ready for this request", RETRY_AFTER));
        }
        Replica chosen = replica.get();
        table = table.recordStart(chosen.vm());
        decisions.record(
                call.requestId(),
                "route",
                candidates,
                chosen.vm(),
                choice.reason().name().toLowerCase(Locale.ROOT) + " " + chosen.weightsKey());
        return new Route.Chosen(chosen.vm(), link.get(), chosen.weightsKey(), isRepeatable(groups));
    }

    private Route refused(Request call, Verdict.NotRun verdict) {
        decisions.record(
                call.requestId(), "route", List.of(), "", verdict.reason().label());
        return new Route.Refused(verdict);
    }

    private List<EffectiveGroup> groupsServing(Target target) {
        return tickets.get().effectiveGroups().stream()
                .filter(group -> serves(group.content(), target))
                .toList();
    }

    private static boolean serves(TicketGroup group, Target target) {
        boolean sameKind = target instanceof Target.Model
                ? group.workload() instanceof ModelWorkload
                : group.workload() instanceof ServiceWorkload;
        return sameKind && group.workload().target().equals(target.name());
    }

    private Requirements demand(Request call, List<EffectiveGroup> groups, Set<String> excluded) {
        boolean byPrefix = routeByPrefix && call.target() instanceof Target.Model;
        return new Requirements(call.target().name(), acceptableWeights(groups), call.prefixHash(), excluded, byPrefix);
    }

    /**
     * The wanted weights are acceptable, and so are older complete ones as long as a group has fewer ready replicas of
     * the wanted ones than its ticket asks for.
     */
    private List<String> acceptableWeights(List<EffectiveGroup> groups) {
        List<String> keys = new ArrayList<>();
        for (EffectiveGroup group : groups) {
            if (group.content().workload() instanceof ModelWorkload model) {
                keys.add(model.weightsKey());
                long ready = readyReplicas(group.content(), model.weightsKey());
                if (ready < Math.max(1, model.minimumReady())) {
                    keys.addAll(olderWeights(group.content()));
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

    private List<String> olderWeights(TicketGroup group) {
        return group.vms().stream()
                .flatMap(vm -> table.find(vm).stream())
                .filter(Replica::ready)
                .map(Replica::weightsKey)
                .distinct()
                .toList();
    }

    private static boolean isRepeatable(List<EffectiveGroup> groups) {
        return groups.stream()
                .allMatch(group ->
                        !(group.content().workload() instanceof ServiceWorkload service) || service.idempotent());
    }

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

    /** Where an attempt goes. */
    sealed interface Route {
        /** To a replica. */
        record Chosen(String vm, WireConnection link, String weightsKey, boolean repeatable) implements Route {}

        /** Nowhere. */
        record Refused(Verdict.NotRun verdict) implements Route {}
    }
}
