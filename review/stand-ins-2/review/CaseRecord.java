package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. Thread-safe. */
final class CaseRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    CaseRecord(Path folder) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    synchronized void write(String line) {
        writer.printf(Locale.ROOT, "%8.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    /** Writes a line that the terminal shows as well. */
    void show(String line) {
        write(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
