package org.galenahinge.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.galenahinge.routing.Rendezvous;

/**
 * The VMs in the platform's VM list, as last read. Immutable.
 *
 * <p>The list lags behind: it says where processes should run, not that they are up.
 */
public final class Fleet {
    /** The maximum number of entries that keep a connection to each slot process. */
    public static final int ENTRIES_PER_SLOT = 2;

    private static final Fleet EMPTY = new Fleet(Map.of(), 0);

    private final Map<String, Vm> byName;
    private final long revision;

    private Fleet(Map<String, Vm> byName, long revision) {
        this.byName = byName;
        this.revision = revision;
    }

    /**
     * Returns a fleet without VMs, at revision 0.
     *
     * @return the empty fleet
     */
    public static Fleet empty() {
        return EMPTY;
    }

    /**
     * Creates a fleet.
     *
     * @param vms the VMs; of several with the same name the last one counts
     * @param revision the revision of the VM list
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
     * Finds a VM by name.
     *
     * @param name the name of the VM
     * @return the VM, or empty if it is not in the list
     */
    public Optional<Vm> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns all VMs of a kind, in the order of the VM list.
     *
     * @param kind the kind
     * @return a new list
     */
    public List<Vm> vmsOfKind(Vm.Kind kind) {
        return byName.values().stream().filter(vm -> vm.kind() == kind).toList();
    }

    /**
     * Returns the revision of the VM list.
     *
     * @return the revision, 0 for the empty fleet
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the entries that keep a connection to a slot process, chosen by rendezvous hashing: entries of its
     * failure domain first, then of its region, then the others. Entries that leave are excluded. Cost: O(entries log
     * entries).
     *
     * @param slot the VM of the slot process
     * @return at most {@link #ENTRIES_PER_SLOT} entries
     */
    public List<Vm> entriesConnectedTo(Vm slot) {
        long key = Rendezvous.key(slot.name());
        Comparator<Vm> byDistance = Comparator.comparingInt(entry -> distance(entry, slot));
        return byName.values().stream()
                .filter(vm -> vm.kind() == Vm.Kind.ENTRY && !vm.leaving())
                .sorted(byDistance.thenComparing(entry -> Rendezvous.hash(entry.name(), key)))
                .limit(ENTRIES_PER_SLOT)
                .toList();
    }

    /**
     * Sorts VMs by rendezvous hashing for a key, so that every node gets the same order.
     *
     * @param vms the VMs
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
