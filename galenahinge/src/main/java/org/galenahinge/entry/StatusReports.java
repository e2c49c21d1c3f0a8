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

/** Requests a status report, with the states of slot processes, from every entry when an operator reads a status. */
final class StatusReports {
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final Supplier<Fleet> fleet;
    private final ConnectionManager connections;
    private final Supplier<Report> ownReport;

    StatusReports(Supplier<Fleet> fleet, ConnectionManager connections, Supplier<Report> ownReport) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.connections = Objects.requireNonNull(connections, "connections");
        this.ownReport = Objects.requireNonNull(ownReport, "ownReport");
    }

    /**
     * Collects the reports of all entries that respond within {@link #TIMEOUT}. Each call sends O(entries) messages.
     */
    CompletionStage<ReportSet> collect() {
        Report own = ownReport.get();
        List<CompletableFuture<Optional<Report>>> replies = new ArrayList<>();
        replies.add(CompletableFuture.completedFuture(Optional.of(own)));
        for (Vm entry : fleet.get().vmsOfKind(Vm.Kind.ENTRY)) {
            if (!entry.name().equals(own.getVm())) {
                connections.ensureConnected(entry);
                replies.add(connections
                        .connectionTo(entry.name())
                        .map(StatusReports::requestReport)
                        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty())));
            }
        }
        return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenApply(done -> new ReportSet(replies.stream()
                        .flatMap(report -> report.join().stream())
                        .toList()));
    }

    private static CompletableFuture<Optional<Report>> requestReport(WireConnection connection) {
        return connection
                .ask(Frame.newBuilder().setReportRequest(ReportRequest.getDefaultInstance()), TIMEOUT)
                .handle((frame, error) -> error == null ? Optional.of(frame.getReport()) : Optional.<Report>empty())
                .toCompletableFuture();
    }

    /** The reports that arrived in time. */
    static final class ReportSet {
        private final Map<String, Report> entries = new HashMap<>();
        private final Map<String, SlotState> slots = new HashMap<>();

        ReportSet(List<Report> reports) {
            for (Report report : reports) {
                entries.put(report.getVm(), report);
                report.getSlotsList().forEach(state -> slots.merge(state.getVm(), state, ReportSet::newer));
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

        /** Returns the later of two states of a slot process: the one with the higher sum of ticket numbers. */
        private static SlotState newer(SlotState state, SlotState other) {
            long sum = state.getGroupsList().stream()
                    .mapToLong(group -> group.getNumber())
                    .sum();
            long otherSum = other.getGroupsList().stream()
                    .mapToLong(group -> group.getNumber())
                    .sum();
            return sum >= otherSum ? state : other;
        }
    }
}
