package org.galenahinge.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.generated.Leaving;

/** Holds which other entries have said that they are about to stop. */
final class LeavingEntries {
    private final Set<String> vms = ConcurrentHashMap.newKeySet();

    void left(Leaving notice) {
        vms.add(notice.getVm());
    }

    /** A new link means a new process. */
    void returned(String vm) {
        vms.remove(vm);
    }

    boolean isLeaving(String vm) {
        return vms.contains(vm);
    }
}
