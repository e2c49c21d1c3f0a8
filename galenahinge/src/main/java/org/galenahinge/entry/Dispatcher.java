package org.galenahinge.entry;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.galenahinge.idempotency.Permit;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.membership.Vm;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Request;
import org.galenahinge.request.Response;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.PermitAnswer;
import org.galenahinge.wire.generated.PermitRequest;

/** Makes one attempt of a request: at the replica that routing chooses, or at the VM that issued its permit. */
final class Dispatcher {
    private static final Duration PERMIT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration CONNECT_POLL_INTERVAL = Duration.ofMillis(20);

    private final ActorSystem<?> system;
    private final RoutingController routing;
    private final ConnectionManager connections;
    private final FleetController fleet;
    private final DecisionLog decisions;
    private final SlotAttempt.Listener listener;
    private final ActiveAttempts active = new ActiveAttempts();

    Dispatcher(
            ActorSystem<?> system,
            RoutingController routing,
            ConnectionManager connections,
            FleetController fleet,
            DecisionLog decisions) {
        this.system = Objects.requireNonNull(system, "system");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.connections = Objects.requireNonNull(connections, "connections");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.listener = new Listener(routing, decisions);
    }

    /**
     * Makes one attempt.
     *
     * @param request the request
     * @param excluded VMs that routing must not choose; without effect on a request with a permit
     * @return the response
     */
    CompletionStage<Response> attempt(Request request, Set<String> excluded) {
        if (request.permit().isPresent()) {
            return attemptAtOwner(request, request.permit().get());
        }
        return routing.route(request, excluded).thenCompose(route -> {
            if (route instanceof RoutingController.Route.Rejected rejected) {
                return CompletableFuture.completedFuture(Response.of(rejected.verdict(), ""));
            }
            RoutingController.Route.Chosen chosen = (RoutingController.Route.Chosen) route;
            return SlotAttempt.send(
                    system, request, chosen.vm(), chosen.connection(), chosen.weightsKey(), active, listener);
        });
    }

    /** Ends all attempts with the verdict "may have run", and begins no more: later ones have not run. */
    void endAll() {
        active.endAll();
    }

    /** Requests a permit from any ready replica of the service that a request names. */
    CompletionStage<PermitResult> requestPermit(Request request) {
        return routing.route(request, Set.of()).thenCompose(route -> {
            if (route instanceof RoutingController.Route.Rejected rejected) {
                return CompletableFuture.completedFuture(new PermitResult.Rejected(rejected.verdict()));
            }
            RoutingController.Route.Chosen chosen = (RoutingController.Route.Chosen) route;
            return requestPermitFrom(chosen);
        });
    }

    private CompletionStage<PermitResult> requestPermitFrom(RoutingController.Route.Chosen chosen) {
        return chosen.connection()
                .ask(Frame.newBuilder().setPermitRequest(PermitRequest.getDefaultInstance()), PERMIT_TIMEOUT)
                .handle((frame, error) -> {
                    Verdict verdict = error == null
                            ? Verdict.answered()
                            : Verdict.notRun(
                                    Reason.UNREACHABLE,
                                    "no response from the VM to the request for a key",
                                    Duration.ZERO);
                    routing.attemptEnded(chosen.vm(), verdict);
                    return error == null
                            ? toPermitResult(frame.getPermitAnswer())
                            : permitRejected("no response from the VM to the request for a key");
                });
    }

    private static PermitResult toPermitResult(PermitAnswer answer) {
        if (answer.getPermit().isEmpty()) {
            return permitRejected("the VM issued no key: " + answer.getRefusal());
        }
        return new PermitResult.Issued(answer.getPermit());
    }

    private static PermitResult permitRejected(String detail) {
        return new PermitResult.Rejected(Verdict.notRun(Reason.NO_REPLICA, detail, Duration.ofMillis(200)));
    }

    private CompletionStage<Response> attemptAtOwner(Request request, Permit permit) {
        Optional<Vm> owner = fleet.fleet().find(permit.owner());
        if (owner.isEmpty()) {
            decisions.record(request.requestId(), "route", List.of(), "", "the owner of the key is not in the VM list");
            return ownerUnreachable(request, "the VM that issued this key is not in the fleet");
        }
        connections.ensureConnected(owner.get());
        long deadlineNanos = System.nanoTime() + CONNECT_TIMEOUT.toNanos();
        return awaitConnection(permit.owner(), deadlineNanos).thenCompose(connection -> {
            decisions.record(
                    request.requestId(),
                    "route",
                    List.of(permit.owner()),
                    permit.owner(),
                    connection.isPresent() ? "owner of the key" : "the owner of the key cannot be reached");
            if (connection.isEmpty()) {
                return ownerUnreachable(request, "the VM that issued this key cannot be reached");
            }
            routing.attemptStarted(permit.owner());
            return SlotAttempt.send(system, request, permit.owner(), connection.get(), "", active, listener);
        });
    }

    /** A first attempt that was not sent did not run; of a retry, only the owner knows what ran earlier. */
    private static CompletionStage<Response> ownerUnreachable(Request request, String detail) {
        Verdict verdict = request.firstAttempt()
                ? Verdict.notRun(Reason.UNREACHABLE, detail, Duration.ZERO)
                : Verdict.mayHaveRun(Reason.OWNER_GONE, detail);
        return CompletableFuture.completedFuture(Response.of(verdict, ""));
    }

    private CompletionStage<Optional<WireConnection>> awaitConnection(String vm, long deadlineNanos) {
        Optional<WireConnection> connection = connections.connectionTo(vm);
        if (connection.isPresent() || System.nanoTime() - deadlineNanos > 0) {
            return CompletableFuture.completedFuture(connection);
        }
        CompletableFuture<Optional<WireConnection>> result = new CompletableFuture<>();
        CompletableFuture.delayedExecutor(CONNECT_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> awaitConnection(vm, deadlineNanos).thenAccept(result::complete));
        return result;
    }

    /** The result of requesting a permit. */
    sealed interface PermitResult {
        /** The permit, as the caller sends it back. */
        record Issued(String key) implements PermitResult {}

        /** No permit was issued. */
        record Rejected(Verdict.NotRun verdict) implements PermitResult {}
    }

    private record Listener(RoutingController routing, DecisionLog decisions) implements SlotAttempt.Listener {
        @Override
        public void firstByteReceived(String vm, long latencyNanos) {
            routing.firstByteReceived(vm, latencyNanos);
        }

        @Override
        public void ended(Request request, String vm, Verdict verdict, int load) {
            if (!(verdict instanceof Verdict.Answered)) {
                decisions.record(request.requestId(), "end", List.of(), vm, verdict.toString());
            }
            routing.attemptEnded(vm, verdict);
            if (!(verdict instanceof Verdict.MayHaveRun)) {
                routing.loadReported(vm, load);
            }
        }
    }
}
