package org.galenahinge.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Draws the faults of an episode. The same seed draws the same faults. */
final class FaultPlan {
    private static final int FIRST_STOP_MILLIS = 2_500;
    private static final int SPACING_MILLIS = 3_000;
    private static final int FIRST_EXTRA_MILLIS = 50;
    private static final int LAST_EXTRA_MILLIS = 6_600;
    private static final int LONGEST_FREEZE_MILLIS = 1_500;
    private static final int LONGEST_STORE_AWAY_MILLIS = 4_000;
    private static final int FIRST_START_SIGNAL_MILLIS = 50;
    private static final int LAST_START_SIGNAL_MILLIS = 1_500;

    private final Random random;
    private final Scenario scenario;
    private final List<Fault> faults = new ArrayList<>();

    private FaultPlan(Random random, Scenario scenario) {
        this.random = random;
        this.scenario = scenario;
    }

    /**
     * Draws an episode.
     *
     * @param random the source of every choice
     * @param scenario which faults it may draw
     * @param entries the number of entries
     * @return the faults, by time
     */
    static List<Fault> draw(Random random, Scenario scenario, int entries) {
        FaultPlan plan = new FaultPlan(random, scenario);
        List<Integer> order = IntStream.range(0, entries).boxed().collect(Collectors.toList());
        Collections.shuffle(order, random);
        boolean atOnce = random.nextInt(3) == 0;
        long stopMillis = FIRST_STOP_MILLIS;
        for (int entry : order) {
            plan.drawStop(entry, stopMillis);
            stopMillis += atOnce ? 0 : 1 + random.nextInt(SPACING_MILLIS);
        }
        plan.faults.sort((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
        return List.copyOf(plan.faults);
    }

    private void drawStop(int entry, long stopMillis) {
        faults.add(new Fault(stopMillis, entry, Fault.Kind.STOP, 0));
        List<Fault.Kind> kinds = scenario.kindsWithinStop();
        int extras = scenario.extras() == 0 ? 0 : 1 + random.nextInt(scenario.extras());
        for (int extra = 0; extra < extras; extra++) {
            long atMillis = stopMillis + between(FIRST_EXTRA_MILLIS, LAST_EXTRA_MILLIS);
            addWithinStop(entry, atMillis, kinds.get(random.nextInt(kinds.size())));
        }
        if (random.nextBoolean()) {
            drawStartSignal(entry);
        }
    }

    private void addWithinStop(int entry, long atMillis, Fault.Kind kind) {
        int longest = switch (kind) {
            case FREEZE -> LONGEST_FREEZE_MILLIS;
            case STORE_AWAY -> LONGEST_STORE_AWAY_MILLIS;
            default -> 0;
        };
        faults.add(new Fault(atMillis, entry, kind, longest == 0 ? 0 : between(100, longest)));
    }

    private void drawStartSignal(int entry) {
        Fault.Kind kind = random.nextBoolean() ? Fault.Kind.RELOAD_AT_START : Fault.Kind.STOP_AT_START;
        long atMillis = between(FIRST_START_SIGNAL_MILLIS, LAST_START_SIGNAL_MILLIS);
        if (scenario.allows(kind)) {
            faults.add(new Fault(atMillis, entry, kind, 0));
        }
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }
}
