package org.galenahinge.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.galenahinge.entry.StatusReports.ReportSet;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;
import org.galenahinge.operations.FleetView;
import org.galenahinge.operations.FleetView.VmView;
import org.galenahinge.operations.ModelProgress;
import org.galenahinge.operations.ModelProgress.ReplicaProgress;
import org.galenahinge.operations.TicketStatus;
import org.galenahinge.operations.TicketStatus.GroupStatus;
import org.galenahinge.operations.TicketStatus.VmStatus;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.SlotState;

/** Builds the status documents for operators, only from what VMs reported: whatever no VM reported is not confirmed. */
final class StatusReader {
    private final String self;
    private final Supplier<Fleet> fleet;
    private final TicketController tickets;

    StatusReader(String self, Supplier<Fleet> fleet, TicketController tickets) {
        this.self = Objects.requireNonNull(self, "self");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.tickets = Objects.requireNonNull(tickets, "tickets");
    }

    TicketStatus ticketStatus(long number, ReportSet reports) {
        TicketState state = tickets.state();
        List<String> groupNames = tickets.groupsOf(number);
        if (groupNames.isEmpty()) {
            String detail = tickets.rejectionOf(number).orElse("this entry has not received ticket " + number);
            String unmerged = tickets.rejectionOf(number).isPresent() ? "refused" : "unknown";
            return new TicketStatus(number, unmerged, detail, List.of(), List.of(), 0);
        }
        List<GroupStatus> groups = groupNames.stream()
                .map(name -> new GroupStatus(name, numberOf(state, name)))
                .toList();
        List<VmStatus> sites = vmStatuses(number, groupNames, reports, state);
        int confirmed = (int) sites.stream().filter(VmStatus::confirmed).count();
        boolean superseded = groups.stream().allMatch(group -> group.numberInForce() > number);
        String progress = confirmed < sites.size() ? "spreading" : superseded ? "superseded" : "in-force";
        String detail = tickets.rejectionOf(number).orElse(confirmed + " of " + sites.size() + " sites have confirmed");
        return new TicketStatus(number, progress, detail, groups, sites, confirmed);
    }

    private static long numberOf(TicketState state, String group) {
        return state.ticketOf(group).map(ticket -> ticket.number()).orElse(0L);
    }

    private List<VmStatus> vmStatuses(long number, List<String> groupNames, ReportSet reports, TicketState state) {
        List<VmStatus> sites = new ArrayList<>();
        for (Vm entry : fleet.get().vmsOfKind(Vm.Kind.ENTRY)) {
            Optional<List<GroupDigest>> digests = reports.entry(entry.name()).map(Report::getGroupsList);
            sites.add(vmStatus(entry, number, groupNames, digests));
        }
        for (Vm slot : fleet.get().vmsOfKind(Vm.Kind.UPSTREAM)) {
            Optional<List<GroupDigest>> digests = reports.slot(slot.name()).map(SlotState::getGroupsList);
            List<String> relevantGroups = groupNames.stream()
                    .filter(name -> isRelevant(slot.name(), name, state, digests.orElse(List.of())))
                    .toList();
            if (!relevantGroups.isEmpty()) {
                sites.add(vmStatus(slot, number, relevantGroups, digests));
            }
        }
        return sites;
    }

    private static boolean isRelevant(String vm, String group, TicketState state, List<GroupDigest> digests) {
        boolean assigned =
                state.group(group).map(content -> content.vms().contains(vm)).orElse(false);
        return assigned || digests.stream().anyMatch(digest -> digest.getGroup().equals(group));
    }

    private static VmStatus vmStatus(Vm vm, long number, List<String> groupNames, Optional<List<GroupDigest>> digests) {
        String kind = vm.kind().name().toLowerCase(Locale.ROOT);
        if (digests.isEmpty()) {
            return new VmStatus(
                    vm.name(), kind, vm.region(), vm.failureDomain(), false, "no report from it: cannot be confirmed");
        }
        for (String name : groupNames) {
            long heldNumber = digests.get().stream()
                    .filter(digest -> digest.getGroup().equals(name))
                    .mapToLong(GroupDigest::getNumber)
                    .findFirst()
                    .orElse(0);
            if (heldNumber < number) {
                String reason = heldNumber == 0
                        ? "holds no ticket of group " + name
                        : "holds ticket " + heldNumber + " of " + name;
                return new VmStatus(vm.name(), kind, vm.region(), vm.failureDomain(), false, reason);
            }
        }
        return new VmStatus(vm.name(), kind, vm.region(), vm.failureDomain(), true, "confirmed");
    }

    FleetView fleetView(ReportSet reports) {
        List<VmView> views = new ArrayList<>();
        for (Vm entry : fleet.get().vmsOfKind(Vm.Kind.ENTRY)) {
            views.add(entryView(entry, reports.entry(entry.name())));
        }
        for (Vm slot : fleet.get().vmsOfKind(Vm.Kind.UPSTREAM)) {
            views.add(slotView(slot, reports.slot(slot.name())));
        }
        return new FleetView(self, views);
    }

    private static VmView entryView(Vm vm, Optional<Report> report) {
        boolean leaving = vm.leaving() || report.map(Report::getLeaving).orElse(false);
        return new VmView(
                vm.name(),
                "entry",
                vm.wireAddress().toString(),
                vm.region(),
                vm.failureDomain(),
                report.isPresent(),
                report.map(Report::getReady).orElse(false),
                leaving,
                "",
                0,
                report.isPresent() ? "" : "no report");
    }

    private static VmView slotView(Vm vm, Optional<SlotState> state) {
        SlotState shownState = state.orElse(SlotState.getDefaultInstance());
        String serves = shownState.getWeightsKey().isEmpty() ? shownState.getService() : shownState.getWeightsKey();
        return new VmView(
                vm.name(),
                "upstream",
                vm.wireAddress().toString(),
                vm.region(),
                vm.failureDomain(),
                state.isPresent(),
                shownState.getReady(),
                vm.leaving() || shownState.getLeaving(),
                serves,
                shownState.getInFlight(),
                state.isPresent() ? shownState.getCondition() : "no report");
    }

    ModelProgress modelProgress(String model, String version, ReportSet reports) {
        Set<String> vms = new LinkedHashSet<>();
        for (EffectiveGroup group : tickets.state().effectiveGroups()) {
            if (isWorkload(group.content(), model, version)) {
                vms.addAll(group.content().vms());
            }
        }
        List<ReplicaProgress> replicas = vms.stream()
                .map(vm -> replicaProgress(vm, model + "/" + version, reports.slot(vm)))
                .toList();
        int ready = (int) replicas.stream().filter(ReplicaProgress::ready).count();
        long originBytes = vms.stream()
                .flatMap(vm -> reports.slot(vm).stream())
                .mapToLong(SlotState::getOriginBytes)
                .sum();
        return new ModelProgress(model, version, ready, vms.size(), originBytes, replicas);
    }

    private static boolean isWorkload(TicketGroup group, String model, String version) {
        return group.workload() instanceof ModelWorkload workload
                && workload.model().equals(model)
                && workload.version().equals(version);
    }

    private ReplicaProgress replicaProgress(String vm, String modelWeightsKey, Optional<SlotState> state) {
        String region = fleet.get().find(vm).map(Vm::region).orElse("");
        SlotState shownState = state.orElse(SlotState.getDefaultInstance());
        String key = shownState.getWeightsKey();
        boolean ready = shownState.getReady() && (key.equals(modelWeightsKey) || key.startsWith(modelWeightsKey + "+"));
        return new ReplicaProgress(
                vm,
                region,
                ready,
                key,
                shownState.getChunksHeld(),
                shownState.getChunksTotal(),
                state.isPresent() ? shownState.getCondition() : "no report");
    }
}
