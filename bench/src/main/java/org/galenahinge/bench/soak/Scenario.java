package org.galenahinge.bench.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Which faults a soak draws beside one SIGTERM for each entry. */
enum Scenario {
    /** None. */
    PLAIN(0),
    /** Only while an entry stops: signals again. */
    AGAIN(3),
    /** Only while an entry starts: signals. */
    START(0),
    /** All but signals again and at the start, and freezes, which excuse much. */
    AROUND(3),
    /** All kinds, in series and overlapping. */
    STOP(3);

    private final int extras;

    Scenario(int extras) {
        this.extras = extras;
    }

    private List<Fault.Kind> kinds() {
        return switch (this) {
            case PLAIN -> List.of();
            case AGAIN -> List.of(Fault.Kind.STOP_AGAIN, Fault.Kind.INTERRUPT);
            case START -> List.of(Fault.Kind.RELOAD_AT_START, Fault.Kind.STOP_AT_START);
            case AROUND ->
                List.of(Fault.Kind.RELOAD, Fault.Kind.RELOAD_CHANGED, Fault.Kind.CONFIG, Fault.Kind.STORE_AWAY);
            case STOP -> List.of(Fault.Kind.values());
        };
    }

    String flag() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<Scenario> of(String flag) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.flag().equals(flag))
                .findFirst();
    }

    /** The largest number of faults within one stop. */
    int extras() {
        return extras;
    }

    boolean allows(Fault.Kind kind) {
        return kinds().contains(kind);
    }

    /** The kinds that it draws within a stop. */
    List<Fault.Kind> kindsWithinStop() {
        return kinds().stream()
                .filter(kind -> kind != Fault.Kind.STOP)
                .filter(kind -> kind != Fault.Kind.RELOAD_AT_START && kind != Fault.Kind.STOP_AT_START)
                .toList();
    }
}
