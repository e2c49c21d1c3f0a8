package org.galenahinge.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.galenahinge.routing.Rendezvous;

/**
 * Holds the VMs that the platform's list last named. Immutable.
 *
 * <p>The list is late: it says where processes should be, never that they are up.
 */
public final class Fleet {
    /** How many entries keep a link to each slot. */
    public static final int HOME_ENTRIES = 2;

    private static final Fleet EMPTY = new Fleet(Map.of(), 0);

    private final Map<String, Vm> byName;
    private final long revision;

    private Fleet(Map<String, Vm> byName, long revision) {
        this.byName = byName;
        this.revision = revision;
    }

    /**
     * Returns a fleet without VMs.
     *
     * @return the empty fleet
     */
    public static Fleet empty() {
        return EMPTY;
    }

    /**
     * Creates a fleet.
     *
     * @param vms the VMs
     * @param revision the list's revision
     * @return the fleet
     */
    public static Fleet of(Collection<Vm> vms, long revision) {
        Map<String, Vm> byName = new LinkedHashMap<>();
        for (Vm vm : vms) {
            byName.put(vm.name(), vm);
        }
        return new Fleet(byName, revision);
    }

    /**
     * Finds a VM.
     *
     * @param name its name
     * @return the VM, if the list names it
     */
    public Optional<Vm> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns all VMs of a kind, in the list's order.
     *
     * @param kind the kind
     * @return a new list
     */
    public List<Vm> all(Vm.Kind kind) {
        return byName.values().stream().filter(vm -> vm.kind() == kind).toList();
    }

    /**
     * Returns the revision of the list.
     *
     * @return the revision, 0 for the empty fleet
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the entries that keep a link to a slot, by rendezvous hashing: entries of the slot's failure domain
     * first, then of its region, then the rest. Cost: O(entries).
     *
     * @param slot the slot's VM
     * @return at most {@link #HOME_ENTRIES} entries
     */
    public List<Vm> homeEntries(Vm slot) {
        long key = Rendezvous.key(slot.name());
        Comparator<Vm> near = Comparator.comparingInt(entry -> distance(entry, slot));
        return byName.values().stream()
                .filter(vm -> vm.kind() == Vm.Kind.ENTRY && !vm.leaving())
                .sorted(near.thenComparing(entry -> Rendezvous.hash(entry.name(), key)))
                .limit(HOME_ENTRIES)
                .toList();
    }

    /**
     * Returns the VMs sorted by rendezvous hashing for a key, so that every process names the same ones first.
     *
     * @param vms the candidates
     * @param key the key
     * @return a new list
     */
    public static List<Vm> rank(Collection<Vm> vms, String key) {
        long hash = Rendezvous.key(key);
        return vms.stream()
                .sorted(Comparator.comparingLong(vm -> Rendezvous.hash(vm.name(), hash)))
                .toList();
    }

    private static int distance(Vm entry, Vm slot) {
        if (entry.failureDomain().equals(slot.failureDomain())) {
            return 0;
        }
        return entry.region().equals(slot.region()) ? 1 : 2;
    }
}
