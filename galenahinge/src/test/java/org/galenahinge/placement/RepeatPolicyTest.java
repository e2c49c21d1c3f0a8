package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.placement.RepeatPolicy.Next;
import org.galenahinge.placement.RepeatPolicy.Outcome;
import org.galenahinge.placement.RepeatPolicy.Progress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RepeatPolicyTest {
    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT, NOT_SENT, SEND_AGAIN",
        "NON_IDEMPOTENT, NOT_RUN, SEND_AGAIN",
        "NON_IDEMPOTENT, FAILED, PASS_FAILURE",
        "NON_IDEMPOTENT, UNKNOWN, SAY_UNKNOWN",
        "STREAM, UNKNOWN, SAY_UNKNOWN",
        "RESUMABLE_STREAM, UNKNOWN, SEND_AGAIN",
        "IDEMPOTENT, FAILED, SEND_AGAIN",
        "IDEMPOTENT, UNKNOWN, SEND_AGAIN"
    })
    void decidesByTheRoutesKind(RequestKind kind, Outcome outcome, Next expected) {
        Progress progress = new Progress(kind, 1, 2, false, true, true);
        assertThat(RepeatPolicy.decide(progress, outcome)).isEqualTo(expected);
    }

    @Property(seed = "4711")
    void neverCallsNotRunWhatMayHaveRun(
            @ForAll RequestKind kind,
            @ForAll Outcome outcome,
            @ForAll @IntRange(max = 4) int sent,
            @ForAll boolean mayHaveRun,
            @ForAll boolean time,
            @ForAll boolean budget) {
        Next next = RepeatPolicy.decide(new Progress(kind, sent, 2, mayHaveRun, time, budget), outcome);
        boolean unsure = mayHaveRun || outcome == Outcome.UNKNOWN || outcome == Outcome.FAILED;
        assertThat(next == Next.REFUSE && unsure).isFalse();
        assertThat(next == Next.SEND_AGAIN && unsure && !kind.isIdempotent()).isFalse();
        assertThat(next == Next.SEND_AGAIN && outcome != Outcome.NOT_SENT && (sent >= 2 || !budget))
                .isFalse();
    }
}
