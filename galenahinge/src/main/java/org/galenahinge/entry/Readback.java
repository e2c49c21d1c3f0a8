package org.galenahinge.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.galenahinge.entry.Reports.Gathered;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;
import org.galenahinge.operations.FleetView;
import org.galenahinge.operations.FleetView.VmView;
import org.galenahinge.operations.ModelProgress;
import org.galenahinge.operations.ModelProgress.ReplicaProgress;
import org.galenahinge.operations.TicketStatus;
import org.galenahinge.operations.TicketStatus.GroupStatus;
import org.galenahinge.operations.TicketStatus.SiteStatus;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.SlotState;

/** Puts together what operators read back, from what sites have said and nothing else. */
final class Readback {
    private final String self;
    private final Supplier<Fleet> fleet;
    private final TicketController tickets;

    Readback(String self, Supplier<Fleet> fleet, TicketController tickets) {
        this.self = Objects.requireNonNull(self, "self");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.tickets = Objects.requireNonNull(tickets, "tickets");
    }

    TicketStatus ticketStatus(long number, Gathered reports) {
        TicketState state = tickets.state();
        List<String> names = tickets.groupsOf(number);
        if (names.isEmpty()) {
            String detail = tickets.refusalOf(number).orElse("this entry has not seen ticket " + number);
            String known = tickets.refusalOf(number).isPresent() ? "refused" : "unknown";
            return new TicketStatus(number, known, detail, List.of(), List.of(), 0);
        }
        List<GroupStatus> groups = names.stream()
                .map(name -> new GroupStatus(name, numberOf(state, name)))
                .toList();
        List<SiteStatus> sites = sites(number, names, reports, state);
        int confirmed = (int) sites.stream().filter(SiteStatus::confirmed).count();
        boolean superseded = groups.stream().allMatch(group -> group.numberInForce() > number);
        String reached = confirmed < sites.size() ? "spreading" : superseded ? "superseded" : "in-force";
        String detail = tickets.refusalOf(number).orElse(confirmed + " of " + sites.size() + " sites have confirmed");
        return new TicketStatus(number, reached, detail, groups, sites, confirmed);
    }

    private static long numberOf(TicketState state, String group) {
        return state.ticketOf(group).map(ticket -> ticket.number()).orElse(0L);
    }

    private List<SiteStatus> sites(long number, List<String> names, Gathered reports, TicketState state) {
        List<SiteStatus> sites = new ArrayList<>();
        for (Vm entry : fleet.get().vmsOfKind(Vm.Kind.ENTRY)) {
            Optional<List<GroupDigest>> held = reports.entry(entry.name()).map(Report::getGroupsList);
            sites.add(site(entry, number, names, held));
        }
        for (Vm slot : fleet.get().vmsOfKind(Vm.Kind.UPSTREAM)) {
            Optional<List<GroupDigest>> held = reports.slot(slot.name()).map(SlotState::getGroupsList);
            List<String> concerned = names.stream()
                    .filter(name -> concerns(slot.name(), name, state, held.orElse(List.of())))
                    .toList();
            if (!concerned.isEmpty()) {
                sites.add(site(slot, number, concerned, held));
            }
        }
        return sites;
    }

    private static boolean concerns(String vm, String group, TicketState state, List<GroupDigest> held) {
        boolean named =
                state.group(group).map(content -> content.vms().contains(vm)).orElse(false);
        return named || held.stream().anyMatch(digest -> digest.getGroup().equals(group));
    }

    private static SiteStatus site(Vm vm, long number, List<String> names, Optional<List<GroupDigest>> held) {
        String kind = vm.kind().name().toLowerCase(Locale.ROOT);
        if (held.isEmpty()) {
            return new SiteStatus(
                    vm.name(), kind, vm.region(), vm.failureDomain(), false, "no answer from it: cannot be confirmed");
        }
        for (String name : names) {
            long holds = held.get().stream()
                    .filter(digest -> digest.getGroup().equals(name))
                    .mapToLong(GroupDigest::getNumber)
                    .findFirst()
                    .orElse(0);
            if (holds < number) {
                String reason =
                        holds == 0 ? "holds no ticket of group " + name : "holds ticket " + holds + " of " + name;
                return new SiteStatus(vm.name(), kind, vm.region(), vm.failureDomain(), false, reason);
            }
        }
        return new SiteStatus(vm.name(), kind, vm.region(), vm.failureDomain(), true, "confirmed");
    }

    FleetView fleetView(Gathered reports) {
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
                report.isPresent() ? "" : "no answer");
    }

    private static VmView slotView(Vm vm, Optional<SlotState> state) {
        SlotState shown = state.orElse(SlotState.getDefaultInstance());
        String serves = shown.getWeightsKey().isEmpty() ? shown.getService() : shown.getWeightsKey();
        return new VmView(
                vm.name(),
                "upstream",
                vm.wireAddress().toString(),
                vm.region(),
                vm.failureDomain(),
                state.isPresent(),
                shown.getReady(),
                vm.leaving() || shown.getLeaving(),
                serves,
                shown.getInFlight(),
                state.isPresent() ? shown.getCondition() : "no answer");
    }

    ModelProgress modelProgress(String model, String version, Gathered reports) {
        Set<String> vms = new LinkedHashSet<>();
        for (EffectiveGroup group : tickets.state().effectiveGroups()) {
            if (isOf(group.content(), model, version)) {
                vms.addAll(group.content().vms());
            }
        }
        List<ReplicaProgress> replicas = vms.stream()
                .map(vm -> replica(vm, model + "/" + version, reports.slot(vm)))
                .toList();
        int ready = (int) replicas.stream().filter(ReplicaProgress::ready).count();
        long originBytes = vms.stream()
                .flatMap(vm -> reports.slot(vm).stream())
                .mapToLong(SlotState::getOriginBytes)
                .sum();
        return new ModelProgress(model, version, ready, vms.size(), originBytes, replicas);
    }

    private static boolean isOf(TicketGroup group, String model, String version) {
        return group.workload() instanceof ModelWorkload workload
                && workload.model().equals(model)
                && workload.version().equals(version);
    }

    private ReplicaProgress replica(String vm, String base, Optional<SlotState> state) {
        String region = fleet.get().find(vm).map(Vm::region).orElse("");
        SlotState shown = state.orElse(SlotState.getDefaultInstance());
        String key = shown.getWeightsKey();
        boolean ready = shown.getReady() && (key.equals(base) || key.startsWith(base + "+"));
        return new ReplicaProgress(
                vm,
                region,
                ready,
                key,
                shown.getChunksHeld(),
                shown.getChunksTotal(),
                state.isPresent() ? shown.getCondition() : "no answer");
    }
}
