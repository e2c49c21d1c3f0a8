package org.galenahinge.bench.soak;

import java.util.Locale;
import java.util.function.Consumer;

/** Prints what happens, with the time since its begin. */
final class Timeline {
    private final long beginNanos = System.nanoTime();
    private final Consumer<String> output;

    Timeline(Consumer<String> output) {
        this.output = output;
    }

    synchronized void print(String text) {
        output.accept(at(System.nanoTime()) + "  " + text);
    }

    /** Returns a time in seconds since the begin. */
    String at(long nanos) {
        return String.format(Locale.ROOT, "%9.3f s", (nanos - beginNanos) / 1e9);
    }
}
