package org.galenahinge.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.ReportRequest;
import org.galenahinge.wire.generated.SlotState;

/** Asks every entry what it holds and what its slot processes hold, when an operator wants to know. */
final class Reports {
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final Supplier<Fleet> fleet;
    private final LinkKeeper links;
    private final Supplier<Report> own;

    Reports(Supplier<Fleet> fleet, LinkKeeper links, Supplier<Report> own) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.links = Objects.requireNonNull(links, "links");
        this.own = Objects.requireNonNull(own, "own");
    }

    /** Gathers the reports of all entries that answer in time. Cost: O(entries) messages for each question. */
    CompletionStage<Gathered> gather() {
        Report mine = own.get();
        List<CompletableFuture<Optional<Report>>> asked = new ArrayList<>();
        asked.add(CompletableFuture.completedFuture(Optional.of(mine)));
        for (Vm entry : fleet.get().vmsOfKind(Vm.Kind.ENTRY)) {
            if (!entry.name().equals(mine.getVm())) {
                links.need(entry);
                asked.add(links.linkTo(entry.name())
                        .map(Reports::ask)
                        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty())));
            }
        }
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .thenApply(done -> new Gathered(
                        asked.stream().flatMap(report -> report.join().stream()).toList()));
    }

    private static CompletableFuture<Optional<Report>> ask(WireConnection link) {
        return link.ask(Frame.newBuilder().setReportRequest(ReportRequest.getDefaultInstance()), TIMEOUT)
                .handle((frame, error) -> error == null ? Optional.of(frame.getReport()) : Optional.<Report>empty())
                .toCompletableFuture();
    }

    /** The reports that came in time. */
    static final class Gathered {
        private final Map<String, Report> entries = new HashMap<>();
        private final Map<String, SlotState> slots = new HashMap<>();

        Gathered(List<Report> reports) {
            for (Report report : reports) {
                entries.put(report.getVm(), report);
                report.getSlotsList().forEach(state -> slots.merge(state.getVm(), state, Gathered::newer));
            }
        }

        Optional<Report> entry(String vm) {
            return Optional.ofNullable(entries.get(vm));
        }

        Optional<SlotState> slot(String vm) {
            return Optional.ofNullable(slots.get(vm));
        }

        List<SlotState> slots() {
            return List.copyOf(slots.values());
        }

        /** Of two states of one slot process, the one that holds the later tickets was sent later. */
        private static SlotState newer(SlotState one, SlotState other) {
            long ones = one.getGroupsList().stream()
                    .mapToLong(group -> group.getNumber())
                    .sum();
            long others = other.getGroupsList().stream()
                    .mapToLong(group -> group.getNumber())
                    .sum();
            return ones >= others ? one : other;
        }
    }
}
