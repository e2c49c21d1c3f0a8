package org.galenahinge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.galenahinge.limit.Admission.Effect;
import org.galenahinge.limit.Admission.Refuse;
import org.galenahinge.limit.Admission.Start;
import org.galenahinge.limit.Admission.Step;
import org.galenahinge.request.Reason;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final long MILLI = 1_000_000;
    private static final long LATE = 1_000_000 * MILLI;

    @Test
    void startsCallsUpToItsCapacityAndLetsTheRestWait() {
        Admission admission = open(2, 10);
        List<Effect> effects = new ArrayList<>();
        for (int id = 1; id <= 3; id++) {
            Step step = admission.arrive(call(id, "a", Priority.INTERACTIVE, id));
            admission = step.state();
            effects.addAll(step.effects());
        }

        assertThat(effects).containsExactly(new Start(1, 0), new Start(2, 0));
        assertThat(admission.waiting()).isEqualTo(1);
    }

    @Test
    void startsNothingWhileClosed() {
        Step step = Admission.create(2, 10).arrive(call(1, "a", Priority.INTERACTIVE, 1));

        assertThat(step.effects()).isEmpty();
        assertThat(step.state().opened(5).effects()).containsExactly(new Start(1, 4));
    }

    @Test
    void takesInteractiveCallsBeforeBatchCalls() {
        Admission admission =
                open(1, 10).arrive(call(1, "a", Priority.BATCH, 1)).state();
        admission = admission.arrive(call(2, "a", Priority.BATCH, 2)).state();
        admission = admission.arrive(call(3, "b", Priority.INTERACTIVE, 3)).state();

        assertThat(started(admission.finish(1, 1, 10))).containsExactly(3L);
    }

    @Test
    void refusesTheNewestCallOfTheOneThatFloods() {
        Admission admission =
                open(1, 3).arrive(call(1, "flood", Priority.INTERACTIVE, 1)).state();
        for (int id = 2; id <= 4; id++) {
            admission = admission
                    .arrive(call(id, "flood", Priority.INTERACTIVE, id))
                    .state();
        }
        Step step = admission.arrive(call(9, "small", Priority.INTERACTIVE, 9));

        assertThat(step.effects()).hasSize(1);
        assertThat(((Refuse) step.effects().get(0)).id()).isEqualTo(4);
        assertThat(((Refuse) step.effects().get(0)).reason()).isEqualTo(Reason.QUEUE_FULL);
    }

    @Test
    void refusesCallsThatHaveWaitedTooLong() {
        Admission admission =
                open(1, 10).arrive(call(1, "a", Priority.INTERACTIVE, 0)).state();
        admission = admission.arrive(call(2, "a", Priority.INTERACTIVE, 0)).state();
        Step step = admission.tick(Priority.INTERACTIVE.longestWait().toNanos());

        assertThat(((Refuse) step.effects().get(0)).id()).isEqualTo(2);
        assertThat(step.state().waiting()).isZero();
    }

    @Test
    void givesTenOrganisationsEqualSharesWhileOneSendsNineTenths() {
        Map<String, Integer> served = new HashMap<>();
        Random random = new Random(7);
        Admission admission = open(4, 64);
        Map<Long, String> owners = new HashMap<>();
        Set<Long> running = new HashSet<>();
        long id = 0;
        for (long now = 0; now < 20_000 * MILLI; now += 10 * MILLI) {
            for (int arrivals = 0; arrivals < 4; arrivals++) {
                String owner = random.nextInt(10) < 9 ? "large" : "small-" + random.nextInt(9);
                owners.put(++id, owner);
                Step step = admission.arrive(call(id, owner, Priority.BATCH, now));
                admission = apply(step, running, owners, served);
            }
            for (long done : List.copyOf(running)) {
                running.remove(done);
                admission = apply(admission.finish(done, now - 10 * MILLI, now), running, owners, served);
            }
        }
        // The nine send a tenth of 4 calls in 10 ms, well below their shares of the capacity: all must be served.
        int small = served.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("small"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        long sent = owners.values().stream()
                .filter(owner -> owner.startsWith("small"))
                .count();
        assertThat((double) small).isGreaterThan(0.95 * sent);
    }

    @Property(tries = 200, seed = "17")
    void startsEachCallAtMostOnceAndNeverAfterRefusingIt(@ForAll long seed) {
        Random random = new Random(seed);
        Admission admission = open(3, 5);
        Set<Long> running = new HashSet<>();
        Set<Long> ended = new HashSet<>();
        for (long id = 1; id <= 120; id++) {
            long now = id * 40 * MILLI;
            Priority priority = random.nextBoolean() ? Priority.INTERACTIVE : Priority.BATCH;
            Step step = admission.arrive(call(id, "o" + random.nextInt(4), priority, now));
            admission = check(step, running, ended);
            admission = check(admission.tick(now), running, ended);
            if (!running.isEmpty() && random.nextBoolean()) {
                long done = running.iterator().next();
                running.remove(done);
                admission = check(admission.finish(done, now - MILLI, now), running, ended);
            }
            assertThat(admission.running()).isEqualTo(running.size()).isLessThanOrEqualTo(3);
            assertThat(admission.waiting()).isLessThanOrEqualTo(5);
        }
    }

    private static Admission check(Step step, Set<Long> running, Set<Long> ended) {
        for (Effect effect : step.effects()) {
            long id = effect instanceof Start start ? start.id() : ((Refuse) effect).id();
            assertThat(ended.add(id)).as("call %d is decided once", id).isTrue();
            if (effect instanceof Start) {
                running.add(id);
            }
        }
        return step.state();
    }

    private static Admission apply(
            Step step, Set<Long> running, Map<Long, String> owners, Map<String, Integer> served) {
        for (long id : started(step)) {
            running.add(id);
            served.merge(owners.get(id), 1, Integer::sum);
        }
        return step.state();
    }

    private static List<Long> started(Step step) {
        return step.effects().stream()
                .filter(Start.class::isInstance)
                .map(effect -> ((Start) effect).id())
                .toList();
    }

    private static Admission open(int running, int waiting) {
        return Admission.create(running, waiting).opened(0).state();
    }

    private static Waiting call(long id, String organisation, Priority priority, long arrivedNanos) {
        return new Waiting(id, organisation, priority, 1, arrivedNanos, arrivedNanos + LATE);
    }
}
