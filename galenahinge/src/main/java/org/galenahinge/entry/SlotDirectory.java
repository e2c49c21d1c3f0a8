package org.galenahinge.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.generated.SlotState;

/** Holds what the linked slot processes last said of themselves, and which cannot be reached. */
final class SlotDirectory {
    private final Map<String, SlotState> states = new ConcurrentHashMap<>();
    private final Map<String, Boolean> down = new ConcurrentHashMap<>();

    void reported(SlotState state) {
        states.put(state.getVm(), state);
        down.remove(state.getVm());
    }

    /** Marks a slot process that cannot be reached; what it said before is no longer shown as its state. */
    void unreachable(String vm) {
        states.remove(vm);
        down.put(vm, Boolean.TRUE);
    }

    void forget(String vm) {
        states.remove(vm);
        down.remove(vm);
    }

    boolean isDown(String vm) {
        return down.containsKey(vm);
    }

    Optional<SlotState> find(String vm) {
        return Optional.ofNullable(states.get(vm));
    }

    List<SlotState> all() {
        return List.copyOf(states.values());
    }
}
