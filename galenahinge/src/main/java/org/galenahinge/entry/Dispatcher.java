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

/** Makes one attempt at a call: to the replica that routing chooses, or to the owner of the call's permit. */
final class Dispatcher {
    private static final Duration PERMIT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONNECT_PATIENCE = Duration.ofMillis(1_500);
    private static final Duration CONNECT_POLL = Duration.ofMillis(20);

    private final ActorSystem<?> system;
    private final RoutingController routing;
    private final LinkKeeper links;
    private final FleetController fleet;
    private final DecisionLog decisions;
    private final SlotCall.Listener listener;

    Dispatcher(
            ActorSystem<?> system,
            RoutingController routing,
            LinkKeeper links,
            FleetController fleet,
            DecisionLog decisions) {
        this.system = Objects.requireNonNull(system, "system");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.links = Objects.requireNonNull(links, "links");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.listener = new Listener(routing, decisions);
    }

    CompletionStage<Response> attempt(Request call, Set<String> excluded) {
        if (call.permit().isPresent()) {
            return attemptAtOwner(call, call.permit().get());
        }
        return routing.route(call, excluded).thenCompose(route -> {
            if (route instanceof RoutingController.Route.Refused refused) {
                return CompletableFuture.completedFuture(Response.of(refused.verdict(), ""));
            }
            RoutingController.Route.Chosen chosen = (RoutingController.Route.Chosen) route;
            return SlotCall.send(system, call, chosen.vm(), chosen.link(), chosen.weightsKey(), listener);
        });
    }

    /** Gets a permit from any ready replica of a service. */
    CompletionStage<PermitResult> permit(Request call) {
        return routing.route(call, Set.of()).thenCompose(route -> {
            if (route instanceof RoutingController.Route.Refused refused) {
                return CompletableFuture.completedFuture(new PermitResult.Refused(refused.verdict()));
            }
            RoutingController.Route.Chosen chosen = (RoutingController.Route.Chosen) route;
            return askPermit(chosen);
        });
    }

    private CompletionStage<PermitResult> askPermit(RoutingController.Route.Chosen chosen) {
        return chosen.link()
                .ask(Frame.newBuilder().setPermitRequest(PermitRequest.getDefaultInstance()), PERMIT_TIMEOUT)
                .handle((frame, error) -> {
                    Verdict verdict = error == null
                            ? Verdict.answered()
                            : Verdict.notRun(Reason.UNREACHABLE, "the VM gave no key", Duration.ZERO);
                    routing.finished(chosen.vm(), verdict);
                    return error == null ? read(frame.getPermitAnswer()) : refusal("the VM gave no key");
                });
    }

    private static PermitResult read(PermitAnswer answer) {
        if (answer.getPermit().isEmpty()) {
            return refusal("the VM refused a key: " + answer.getRefusal());
        }
        return new PermitResult.Given(answer.getPermit());
    }

    private static PermitResult refusal(String detail) {
        return new PermitResult.Refused(Verdict.notRun(Reason.NO_REPLICA, detail, Duration.ofMillis(200)));
    }

    private CompletionStage<Response> attemptAtOwner(Request call, Permit permit) {
        Optional<Vm> owner = fleet.fleet().find(permit.owner());
        if (owner.isEmpty()) {
            decisions.record(call.requestId(), "route", List.of(), "", "the owner of the key is not listed");
            return unreachableOwner(call, "the VM that issued this key is not in the fleet");
        }
        links.need(owner.get());
        long until = System.nanoTime() + CONNECT_PATIENCE.toNanos();
        return awaitLink(permit.owner(), until).thenCompose(link -> {
            decisions.record(
                    call.requestId(),
                    "route",
                    List.of(permit.owner()),
                    permit.owner(),
                    link.isPresent() ? "owner of the key" : "the owner of the key cannot be reached");
            if (link.isEmpty()) {
                return unreachableOwner(call, "the VM that issued this key cannot be reached");
            }
            routing.startedAtOwner(permit.owner());
            return SlotCall.send(system, call, permit.owner(), link.get(), "", listener);
        });
    }

    /** A first attempt that was never sent did not run; of a repeat nobody but the owner can say so. */
    private static CompletionStage<Response> unreachableOwner(Request call, String detail) {
        Verdict verdict = call.firstAttempt()
                ? Verdict.notRun(Reason.UNREACHABLE, detail, Duration.ZERO)
                : Verdict.mayHaveRun(Reason.OWNER_GONE, detail);
        return CompletableFuture.completedFuture(Response.of(verdict, ""));
    }

    private CompletionStage<Optional<WireConnection>> awaitLink(String vm, long untilNanos) {
        Optional<WireConnection> link = links.linkTo(vm);
        if (link.isPresent() || System.nanoTime() - untilNanos > 0) {
            return CompletableFuture.completedFuture(link);
        }
        CompletableFuture<Optional<WireConnection>> later = new CompletableFuture<>();
        CompletableFuture.delayedExecutor(CONNECT_POLL.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> awaitLink(vm, untilNanos).thenAccept(later::complete));
        return later;
    }

    /** What became of a request for a permit. */
    sealed interface PermitResult {
        /** A permit. */
        record Given(String key) implements PermitResult {}

        /** None. */
        record Refused(Verdict.NotRun verdict) implements PermitResult {}
    }

    private record Listener(RoutingController routing, DecisionLog decisions) implements SlotCall.Listener {
        @Override
        public void firstByte(String vm, long latencyNanos) {
            routing.firstByte(vm, latencyNanos);
        }

        @Override
        public void ended(Request call, String vm, Verdict verdict, int load) {
            if (!(verdict instanceof Verdict.Answered)) {
                decisions.record(call.requestId(), "end", List.of(), vm, verdict.toString());
            }
            routing.finished(vm, verdict);
            if (!(verdict instanceof Verdict.MayHaveRun)) {
                routing.loadSeen(vm, load);
            }
        }
    }
}
