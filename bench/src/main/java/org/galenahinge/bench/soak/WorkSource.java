package org.galenahinge.bench.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.galenahinge.standins.platform.WorkOrder;

/** Draws what callers ask for, each under an id of its own. */
final class WorkSource {
    private static final int LONGEST_MILLIS = 5_400;
    private static final int SHORTEST_MILLIS = 50;
    private static final int LONGEST_LOOKUP_MILLIS = 300;
    private static final int LONGEST_PAUSE_MILLIS = 300;
    /** The size of the largest response, in bytes. */
    static final int LARGE_BYTES = 1_000_000;

    private static final int SMALL_BYTES = 2_000;
    private static final long LONG_BUDGET_MILLIS = 6_032;
    private static final long LOOKUP_BUDGET_MILLIS = 4_000;
    private static final int PERCENT = 100;
    private static final int REJECTED_PERCENT = 3;
    private static final int FAILED_PERCENT = 5;
    private static final int BROKEN_OFF_PERCENT = 7;

    private static final int LONGEST_PROMPT_MILLIS = 1_500;
    private static final List<WorkOrder.Kind> PLAIN_KINDS = Arrays.stream(WorkOrder.Kind.values())
            .filter(kind -> !kind.usesEngine())
            .toList();
    private static final List<WorkOrder.Kind> ENGINE_KINDS = Arrays.stream(WorkOrder.Kind.values())
            .filter(WorkOrder.Kind::usesEngine)
            .toList();

    private final String prefix;
    private final boolean usesEngines;
    private final AtomicLong ids = new AtomicLong();

    WorkSource(String prefix, boolean usesEngines) {
        this.prefix = prefix;
        this.usesEngines = usesEngines;
    }

    WorkOrder next(Random random, boolean slow) {
        String id = prefix + ids.incrementAndGet();
        return usesEngines ? nextPrompt(id, random) : nextPlain(id, random, slow);
    }

    private static WorkOrder nextPrompt(String id, Random random) {
        WorkOrder.Kind kind = ENGINE_KINDS.get(random.nextInt(ENGINE_KINDS.size()));
        int pauseMillis = SHORTEST_MILLIS + random.nextInt(LONGEST_PAUSE_MILLIS);
        int events = Math.max(2, random.nextInt(LONGEST_PROMPT_MILLIS) / pauseMillis);
        boolean rejected = random.nextInt(PERCENT) < REJECTED_PERCENT;
        return new WorkOrder(id, kind, events, pauseMillis, 0, rejected ? WorkOrder.Deed.REJECT : WorkOrder.Deed.RUN);
    }

    private static WorkOrder nextPlain(String id, Random random, boolean slow) {
        WorkOrder.Deed deed = deed(random.nextInt(PERCENT));
        WorkOrder.Kind kind = slow ? WorkOrder.Kind.LOOKUP : PLAIN_KINDS.get(random.nextInt(PLAIN_KINDS.size()));
        boolean shortWork = random.nextBoolean();
        int workMillis = SHORTEST_MILLIS + random.nextInt(shortWork ? LONGEST_LOOKUP_MILLIS : LONGEST_MILLIS);
        if (kind.isStream()) {
            int pauseMillis = SHORTEST_MILLIS + random.nextInt(LONGEST_PAUSE_MILLIS);
            int events = Math.max(2, workMillis / pauseMillis);
            return new WorkOrder(id, kind, events, pauseMillis, 0, deed);
        }
        int millis = kind == WorkOrder.Kind.LOOKUP ? random.nextInt(LONGEST_LOOKUP_MILLIS) : workMillis;
        int bytes = random.nextInt(slow ? LARGE_BYTES : SMALL_BYTES);
        return new WorkOrder(id, kind, 0, millis, bytes, deed);
    }

    private static WorkOrder.Deed deed(int percent) {
        if (percent < REJECTED_PERCENT) {
            return WorkOrder.Deed.REJECT;
        }
        if (percent < FAILED_PERCENT) {
            return WorkOrder.Deed.FAIL;
        }
        return percent < BROKEN_OFF_PERCENT ? WorkOrder.Deed.BREAK_OFF : WorkOrder.Deed.RUN;
    }

    long budgetMillis(WorkOrder order) {
        boolean quick = order.kind() == WorkOrder.Kind.LOOKUP && order.bytes() <= SMALL_BYTES;
        return quick ? LOOKUP_BUDGET_MILLIS : LONG_BUDGET_MILLIS;
    }
}
