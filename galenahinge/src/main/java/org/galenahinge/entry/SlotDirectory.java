package org.galenahinge.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.generated.SlotState;

/** The last reported state of each connected slot process, and the slot processes that are unreachable. Thread-safe. */
final class SlotDirectory {
    private final Map<String, SlotState> states = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unreachable = new ConcurrentHashMap<>();

    void update(SlotState state) {
        states.put(state.getVm(), state);
        unreachable.remove(state.getVm());
    }

    /** Marks a slot process as unreachable and drops its state, which may be outdated. */
    void markUnreachable(String vm) {
        states.remove(vm);
        unreachable.put(vm, Boolean.TRUE);
    }

    void remove(String vm) {
        states.remove(vm);
        unreachable.remove(vm);
    }

    boolean isUnreachable(String vm) {
        return unreachable.containsKey(vm);
    }

    Optional<SlotState> find(String vm) {
        return Optional.ofNullable(states.get(vm));
    }

    List<SlotState> all() {
        return List.copyOf(states.values());
    }
}
