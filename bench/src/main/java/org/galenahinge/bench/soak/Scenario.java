package org.galenahinge.bench.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Which faults a soak draws beside the one that ends each entry, which is SIGTERM but for {@link #ROLLOUT}. */
enum Scenario {
    /** None. */
    PLAIN(0),
    /** Only while an entry stops: signals again. */
    AGAIN(3),
    /** Only while an entry starts: signals. */
    START(0),
    /** All but signals again and at the start, and freezes, which excuse much. */
    AROUND(3),
    /** All kinds around stops, in series and overlapping. */
    STOP(3),
    /** Versions of the weights in series, engines that are suspended or queue requests, and entries that are killed. */
    ROLLOUT(1);

    private static final List<Fault.Kind> KINDS_OF_ROLLOUT =
            List.of(Fault.Kind.NAME_VERSION, Fault.Kind.SUSPEND_ENGINE, Fault.Kind.QUEUE_ENGINE, Fault.Kind.KILL);

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
            case STOP ->
                Arrays.stream(Fault.Kind.values())
                        .filter(kind -> !KINDS_OF_ROLLOUT.contains(kind))
                        .toList();
            case ROLLOUT ->
                Stream.concat(KINDS_OF_ROLLOUT.stream(), Stream.of(Fault.Kind.FREEZE, Fault.Kind.STORE_AWAY))
                        .toList();
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

    /** The kind that ends each entry once. */
    Fault.Kind ending() {
        return this == ROLLOUT ? Fault.Kind.KILL : Fault.Kind.STOP;
    }

    /** Whether its upstreams have engines, and callers send streams to them. */
    boolean usesEngines() {
        return this == ROLLOUT;
    }

    /** The kinds that it draws within a stop. */
    List<Fault.Kind> kindsWithinStop() {
        return kinds().stream()
                .filter(kind -> kind != Fault.Kind.STOP && !KINDS_OF_ROLLOUT.contains(kind))
                .filter(kind -> kind != Fault.Kind.RELOAD_AT_START && kind != Fault.Kind.STOP_AT_START)
                .toList();
    }
}
