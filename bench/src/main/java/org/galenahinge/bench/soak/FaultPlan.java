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

    private static final int NAMINGS = 3;
    private static final int FIRST_NAMING_MILLIS = 1_000;
    private static final int SHORTEST_NAMING_SPACING_MILLIS = 2_000;
    private static final int LONGEST_NAMING_SPACING_MILLIS = 4_500;
    private static final int FIRST_SUSPENSION_MILLIS = 1_000;
    private static final int LAST_SUSPENSION_MILLIS = 3_000;
    private static final int FIRST_RESUME_MILLIS = 3_500;
    private static final int LAST_RESUME_MILLIS = 6_000;
    private static final int SHORTEST_QUEUE_MILLIS = 200;
    private static final int LONGEST_QUEUE_MILLIS = 2_500;

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
     * @param engines the number of engines
     * @return the faults, by time
     */
    static List<Fault> draw(Random random, Scenario scenario, int entries, int engines) {
        FaultPlan plan = new FaultPlan(random, scenario);
        List<Integer> order = IntStream.range(0, entries).boxed().collect(Collectors.toList());
        Collections.shuffle(order, random);
        boolean atOnce = random.nextInt(3) == 0;
        long stopMillis = FIRST_STOP_MILLIS;
        for (int entry : order) {
            plan.drawStop(entry, stopMillis);
            stopMillis += atOnce ? 0 : 1 + random.nextInt(SPACING_MILLIS);
        }
        if (scenario.usesEngines()) {
            plan.drawRollouts(engines);
        }
        plan.faults.sort((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
        return List.copyOf(plan.faults);
    }

    private void drawStop(int entry, long stopMillis) {
        faults.add(new Fault(stopMillis, entry, scenario.ending(), 0));
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

    /** Draws namings of versions, and for each one the engines that are suspended and that queue requests around it. */
    private void drawRollouts(int engines) {
        long namingMillis = between(FIRST_EXTRA_MILLIS, FIRST_NAMING_MILLIS);
        for (int naming = 0; naming < NAMINGS; naming++) {
            faults.add(new Fault(namingMillis, 0, Fault.Kind.NAME_VERSION, 0));
            int suspended = 1 + random.nextInt(Math.max(1, engines / 2));
            int firstEngine = random.nextInt(engines);
            for (int number = 0; number < suspended; number++) {
                int engine = (firstEngine + number) % engines;
                long atMillis = between(FIRST_SUSPENSION_MILLIS, LAST_SUSPENSION_MILLIS);
                long lasts = between(FIRST_RESUME_MILLIS, LAST_RESUME_MILLIS) - atMillis;
                faults.add(new Fault(namingMillis + atMillis, engine, Fault.Kind.SUSPEND_ENGINE, lasts));
            }
            long queueMillis = namingMillis + between(FIRST_SUSPENSION_MILLIS, LAST_SUSPENSION_MILLIS);
            long queueLasts = between(SHORTEST_QUEUE_MILLIS, LONGEST_QUEUE_MILLIS);
            faults.add(new Fault(queueMillis, random.nextInt(engines), Fault.Kind.QUEUE_ENGINE, queueLasts));
            namingMillis += between(SHORTEST_NAMING_SPACING_MILLIS, LONGEST_NAMING_SPACING_MILLIS);
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
