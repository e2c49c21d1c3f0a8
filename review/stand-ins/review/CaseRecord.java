package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, each line with the seconds since the start. Thread-safe. */
public final class CaseRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    public CaseRecord(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the record " + file, e);
        }
    }

    /** Returns the time since the start of the record, in seconds. */
    public double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes a line. */
    public synchronized void line(String text) {
        writer.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
