package org.galenahinge.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.galenahinge.daemon.SignalInbox.Reactions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A process stops once, whatever signals it receives and whenever they come. */
class SignalInboxTest {
    private static final long MILLISECOND_NANOS = 1_000_000;

    private final SignalInbox inbox = SignalInbox.create();
    private final List<String> done = new ArrayList<>();

    /** Guards against a signal that has its default effect, or a stop that begins twice. */
    @ParameterizedTest
    @MethodSource("series")
    void stopsOnceWhateverSignalsCome(List<ProcessSignal> early, List<ProcessSignal> later, List<String> expected) {
        receive(early, 1);
        inbox.open(reactions(), 10 * MILLISECOND_NANOS);
        receive(later, 11);
        assertThat(done).isEqualTo(expected);
        assertThat(inbox.received()).isEqualTo(early.size() + later.size());
    }

    static Stream<Arguments> series() {
        return Stream.of(
                Arguments.of(List.of(), List.of(), List.of()),
                Arguments.of(
                        List.of(),
                        List.of(ProcessSignal.TERM, ProcessSignal.TERM, ProcessSignal.INT, ProcessSignal.HUP),
                        List.of(
                                "TERM 1 STOP_BEGINS after 0 ms",
                                "stop at 11",
                                "TERM 2 ALREADY_STOPPING after 0 ms",
                                "INT 1 ALREADY_STOPPING after 0 ms",
                                "HUP 1 ALREADY_STOPPING after 0 ms")),
                Arguments.of(
                        List.of(ProcessSignal.HUP, ProcessSignal.INT, ProcessSignal.HUP),
                        List.of(ProcessSignal.TERM),
                        List.of(
                                "HUP 1 RELOAD after 9 ms",
                                "reload",
                                "INT 1 STOP_BEGINS after 8 ms",
                                "stop at 2",
                                "HUP 2 ALREADY_STOPPING after 7 ms",
                                "TERM 1 ALREADY_STOPPING after 0 ms")),
                Arguments.of(
                        List.of(ProcessSignal.HUP),
                        List.of(ProcessSignal.HUP),
                        List.of("HUP 1 RELOAD after 9 ms", "reload", "HUP 2 RELOAD after 0 ms", "reload")));
    }

    @Test
    void opensOnce() {
        inbox.open(reactions(), 0);
        assertThatThrownBy(() -> inbox.open(reactions(), 0)).isInstanceOf(IllegalStateException.class);
    }

    /** Guards against a stop that never begins because its signal could not be logged. */
    @Test
    void stopsAlsoIfItsSignalCannotBeLogged() {
        Reactions failing = new Reactions(
                handled -> {
                    throw new IllegalStateException("the log is full");
                },
                () -> done.add("reload"),
                nanos -> done.add("stop"));
        inbox.open(failing, 0);
        assertThatThrownBy(() -> inbox.receive(ProcessSignal.TERM, 1)).isInstanceOf(IllegalStateException.class);
        assertThat(done).containsExactly("stop");
    }

    /** Guards against a stop signal that is forgotten because many others came during the start. */
    @Test
    void remembersAStopAfterManyOtherSignals() {
        receive(Collections.nCopies(1_000, ProcessSignal.HUP), 1);
        receive(List.of(ProcessSignal.TERM), 1_001);
        inbox.open(reactions(), 0);
        assertThat(done).contains("stop at 1001").hasSizeLessThan(200);
    }

    private void receive(List<ProcessSignal> signals, long firstMillis) {
        long millis = firstMillis;
        for (ProcessSignal signal : signals) {
            inbox.receive(signal, millis * MILLISECOND_NANOS);
            millis++;
        }
    }

    private Reactions reactions() {
        return new Reactions(
                handled -> done.add(handled.signal() + " " + handled.count() + " " + handled.action() + " after "
                        + handled.remembered().toMillis() + " ms"),
                () -> done.add("reload"),
                nanos -> done.add("stop at " + nanos / MILLISECOND_NANOS));
    }
}
