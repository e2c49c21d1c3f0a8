package org.galenahinge.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Decides what a process does with the signals that it receives. Thread-safe.
 *
 * <p>The first stop signal begins the graceful stop, and no signal after it changes anything: the stop is bounded in
 * time. Signals that come before the process is up are remembered, and handled in their order once it is.
 */
public final class SignalInbox {
    private static final int MAXIMUM_REMEMBERED = 64;

    private final Map<ProcessSignal, Integer> counts = new EnumMap<>(ProcessSignal.class);
    private final List<Received> remembered = new ArrayList<>();
    private Optional<Reactions> reactions = Optional.empty();
    private boolean stopping;

    private SignalInbox() {}

    private record Received(ProcessSignal signal, int count, long nanos) {}

    /** What is done with a signal. */
    public enum Action {
        /** The settings are reloaded. */
        RELOAD("reload"),
        /** The graceful stop begins. */
        STOP_BEGINS("stop begins"),
        /** Nothing, since the graceful stop has begun. */
        ALREADY_STOPPING("already stopping");

        private final String text;

        Action(String text) {
            this.text = text;
        }

        /**
         * Returns the action as it is logged.
         *
         * @return the text
         */
        public String text() {
            return text;
        }
    }

    /**
     * A signal and what is done with it.
     *
     * @param signal the signal
     * @param count how often this signal was received so far
     * @param action what is done with it
     * @param remembered for how long it was remembered because the process was not up; zero if it was
     */
    public record Handled(ProcessSignal signal, int count, Action action, Duration remembered) {}

    /**
     * What a process that is up does with signals. None of it may block.
     *
     * @param log logs each signal, before it takes effect
     * @param reload reloads the settings
     * @param stop begins the graceful stop; takes the time when its signal was received, in nanoseconds of
     *     {@link System#nanoTime()}; is called once
     */
    public record Reactions(Consumer<Handled> log, Runnable reload, LongConsumer stop) {
        /** Checks the reactions. */
        public Reactions {
            Objects.requireNonNull(log, "log");
            Objects.requireNonNull(reload, "reload");
            Objects.requireNonNull(stop, "stop");
        }
    }

    /**
     * Creates an inbox that remembers the signals that it receives.
     *
     * @return the inbox
     */
    public static SignalInbox create() {
        return new SignalInbox();
    }

    /**
     * Receives a signal, and handles it if the process is up.
     *
     * @param signal the signal
     * @param nowNanos the time, in nanoseconds of {@link System#nanoTime()}
     */
    public void receive(ProcessSignal signal, long nowNanos) {
        Objects.requireNonNull(signal, "signal");
        Received received;
        synchronized (this) {
            received = new Received(signal, counts.merge(signal, 1, Integer::sum), nowNanos);
            if (reactions.isEmpty()) {
                remember(received);
                return;
            }
        }
        handle(received, nowNanos);
    }

    /**
     * Tells that the process is up: handles the remembered signals, and from now on each signal when it is received.
     *
     * @param whenUp what the process does with signals
     * @param nowNanos the time, in nanoseconds of {@link System#nanoTime()}
     * @throws IllegalStateException when the process was up before
     */
    public void open(Reactions whenUp, long nowNanos) {
        Objects.requireNonNull(whenUp, "whenUp");
        List<Received> waiting;
        synchronized (this) {
            if (reactions.isPresent()) {
                throw new IllegalStateException("the process was up before");
            }
            reactions = Optional.of(whenUp);
            waiting = List.copyOf(remembered);
            remembered.clear();
        }
        waiting.forEach(received -> handle(received, nowNanos));
    }

    /**
     * Returns how many signals were received.
     *
     * @return the number of signals of all kinds
     */
    public synchronized int received() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void handle(Received received, long nowNanos) {
        Reactions current = reactions();
        Action action = decide(received.signal());
        Duration waited = Duration.ofNanos(nowNanos - received.nanos());
        try {
            current.log().accept(new Handled(received.signal(), received.count(), action, waited));
        } finally {
            react(current, action, received.nanos());
        }
    }

    private static void react(Reactions current, Action action, long signalNanos) {
        switch (action) {
            case RELOAD -> current.reload().run();
            case STOP_BEGINS -> current.stop().accept(signalNanos);
            case ALREADY_STOPPING -> {}
        }
    }

    /** The first stop signal is remembered however many signals came before it. */
    private void remember(Received received) {
        boolean isFirstStop = received.signal().stops()
                && remembered.stream().noneMatch(earlier -> earlier.signal().stops());
        if (isFirstStop || remembered.size() < MAXIMUM_REMEMBERED) {
            remembered.add(received);
        }
    }

    private synchronized Reactions reactions() {
        return reactions.orElseThrow();
    }

    private synchronized Action decide(ProcessSignal signal) {
        if (stopping) {
            return Action.ALREADY_STOPPING;
        }
        if (!signal.stops()) {
            return Action.RELOAD;
        }
        stopping = true;
        return Action.STOP_BEGINS;
    }
}
