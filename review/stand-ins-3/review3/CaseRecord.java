package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since its start. */
final class CaseRecord implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    CaseRecord(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void add(String line) {
        String text = String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - startNanos) / 1e9, line);
        writer.println(text);
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
