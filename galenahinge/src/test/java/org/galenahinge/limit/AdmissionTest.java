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
import org.galenahinge.limit.Admission.Reject;
import org.galenahinge.limit.Admission.Start;
import org.galenahinge.limit.Admission.Step;
import org.galenahinge.request.Reason;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MAXIMUM_TIME_NANOS = 1_000_000 * NANOS_PER_MILLI;

    @Test
    void startsRequestsUpToItsCapacityAndQueuesTheRest() {
        Admission admission = open(2, 10);
        List<Effect> effects = new ArrayList<>();
        for (int id = 1; id <= 3; id++) {
            Step step = admission.arrive(request(id, "a", Priority.INTERACTIVE, id));
            admission = step.state();
            effects.addAll(step.effects());
        }

        assertThat(effects).containsExactly(new Start(1, 0), new Start(2, 0));
        assertThat(admission.waiting()).isEqualTo(1);
    }

    @Test
    void startsNothingWhileClosed() {
        Step step = Admission.create(2, 10).arrive(request(1, "a", Priority.INTERACTIVE, 1));

        assertThat(step.effects()).isEmpty();
        assertThat(step.state().open(5).effects()).containsExactly(new Start(1, 4));
    }

    @Test
    void startsInteractiveRequestsBeforeBatchRequests() {
        Admission admission =
                open(1, 10).arrive(request(1, "a", Priority.BATCH, 1)).state();
        admission = admission.arrive(request(2, "a", Priority.BATCH, 2)).state();
        admission = admission.arrive(request(3, "b", Priority.INTERACTIVE, 3)).state();

        assertThat(started(admission.finish(1, 1, 10))).containsExactly(3L);
    }

    @Test
    void rejectsTheNewestRequestOfTheOrganisationThatFloods() {
        Admission admission =
                open(1, 3).arrive(request(1, "flood", Priority.INTERACTIVE, 1)).state();
        for (int id = 2; id <= 4; id++) {
            admission = admission
                    .arrive(request(id, "flood", Priority.INTERACTIVE, id))
                    .state();
        }
        Step step = admission.arrive(request(9, "small", Priority.INTERACTIVE, 9));

        assertThat(step.effects()).hasSize(1);
        assertThat(((Reject) step.effects().get(0)).id()).isEqualTo(4);
        assertThat(((Reject) step.effects().get(0)).reason()).isEqualTo(Reason.QUEUE_FULL);
    }

    @Test
    void rejectsRequestsThatHaveWaitedTooLong() {
        Admission admission =
                open(1, 10).arrive(request(1, "a", Priority.INTERACTIVE, 0)).state();
        admission = admission.arrive(request(2, "a", Priority.INTERACTIVE, 0)).state();
        Step step = admission.rejectExpired(Priority.INTERACTIVE.maximumWait().toNanos());

        assertThat(((Reject) step.effects().get(0)).id()).isEqualTo(2);
        assertThat(step.state().waiting()).isZero();
    }

    @Test
    void servesSmallOrganisationsWhileALargeOneSendsNineTenths() {
        Map<String, Integer> served = new HashMap<>();
        Random random = new Random(7);
        Admission admission = open(4, 64);
        Map<Long, String> organisations = new HashMap<>();
        Set<Long> running = new HashSet<>();
        long id = 0;
        for (long now = 0; now < 20_000 * NANOS_PER_MILLI; now += 10 * NANOS_PER_MILLI) {
            for (int arrivals = 0; arrivals < 4; arrivals++) {
                String organisation = random.nextInt(10) < 9 ? "large" : "small-" + random.nextInt(9);
                organisations.put(++id, organisation);
                Step step = admission.arrive(request(id, organisation, Priority.BATCH, now));
                admission = apply(step, running, organisations, served);
            }
            for (long done : List.copyOf(running)) {
                running.remove(done);
                admission =
                        apply(admission.finish(done, now - 10 * NANOS_PER_MILLI, now), running, organisations, served);
            }
        }
        // The nine small ones send a tenth of 4 requests per 10 ms, well below their share of the capacity, so nearly
        // all must
        // be served.
        int small = served.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("small"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        long sent = organisations.values().stream()
                .filter(organisation -> organisation.startsWith("small"))
                .count();
        assertThat((double) small).isGreaterThan(0.95 * sent);
    }

    @Property(tries = 200, seed = "17")
    void startsEachRequestAtMostOnceAndNeverAfterRejectingIt(@ForAll long seed) {
        Random random = new Random(seed);
        Admission admission = open(3, 5);
        Set<Long> running = new HashSet<>();
        Set<Long> ended = new HashSet<>();
        for (long id = 1; id <= 120; id++) {
            long now = id * 40 * NANOS_PER_MILLI;
            Priority priority = random.nextBoolean() ? Priority.INTERACTIVE : Priority.BATCH;
            Step step = admission.arrive(request(id, "o" + random.nextInt(4), priority, now));
            admission = check(step, running, ended);
            admission = check(admission.rejectExpired(now), running, ended);
            if (!running.isEmpty() && random.nextBoolean()) {
                long done = running.iterator().next();
                running.remove(done);
                admission = check(admission.finish(done, now - NANOS_PER_MILLI, now), running, ended);
            }
            assertThat(admission.running()).isEqualTo(running.size()).isLessThanOrEqualTo(3);
            assertThat(admission.waiting()).isLessThanOrEqualTo(5);
        }
    }

    private static Admission check(Step step, Set<Long> running, Set<Long> ended) {
        for (Effect effect : step.effects()) {
            long id = effect instanceof Start start ? start.id() : ((Reject) effect).id();
            assertThat(ended.add(id)).as("request %d is decided once", id).isTrue();
            if (effect instanceof Start) {
                running.add(id);
            }
        }
        return step.state();
    }

    private static Admission apply(
            Step step, Set<Long> running, Map<Long, String> organisations, Map<String, Integer> served) {
        for (long id : started(step)) {
            running.add(id);
            served.merge(organisations.get(id), 1, Integer::sum);
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
        return Admission.create(running, waiting).open(0).state();
    }

    private static PendingRequest request(long id, String organisation, Priority priority, long arrivedNanos) {
        return new PendingRequest(id, organisation, priority, 1, arrivedNanos, arrivedNanos + MAXIMUM_TIME_NANOS);
    }
}
