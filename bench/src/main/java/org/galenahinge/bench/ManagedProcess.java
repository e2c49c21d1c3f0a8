package org.galenahinge.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** One process that this tool started. It ends when the tool ends, whatever the reason. */
public final class ManagedProcess {
    private final String name;
    private final Process process;
    private final Path log;

    private ManagedProcess(String name, Process process, Path log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    /**
     * Starts a process whose output goes to a log file.
     *
     * @param name its name, and the log file's
     * @param logs the folder of the log files
     * @param environment variables added to this process's own
     * @param command the program and its arguments
     * @return the running process
     */
    public static ManagedProcess start(String name, Path logs, Map<String, String> environment, List<String> command) {
        Objects.requireNonNull(name, "name");
        Path log = logs.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        try {
            Process process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            return new ManagedProcess(name, process, log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process id.
     *
     * @return the id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Tells whether it runs.
     *
     * @return whether it runs
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills it at once. */
    public void kill() {
        process.destroyForcibly();
        waitForEnd(10);
    }

    /** Asks it to stop gracefully, without waiting. */
    public void askToStop() {
        process.destroy();
    }

    /**
     * Waits for its end.
     *
     * @param seconds how long, in seconds
     * @return whether it ended in time
     */
    public boolean waitForEnd(long seconds) {
        try {
            return process.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns its exit code.
     *
     * @return the code, once it ended
     */
    public int exitCode() {
        return process.exitValue();
    }

    /** Stops it where it is, until {@link #thaw}. */
    public void freeze() {
        signal("STOP");
    }

    /** Lets it go on. */
    public void thaw() {
        signal("CONT");
    }

    /**
     * Returns its resident memory.
     *
     * @return bytes, 0 when it cannot be read
     */
    public long residentBytes() {
        return readStatus("VmRSS:") * 1_024;
    }

    /**
     * Returns the processor time that it has used.
     *
     * @return nanoseconds
     */
    public long processorNanos() {
        return process.info()
                .totalCpuDuration()
                .map(duration -> duration.toNanos())
                .orElse(0L);
    }

    /**
     * Reads the lines of its log that contain a text.
     *
     * @param text the text
     * @return the lines
     */
    public List<String> logLinesWith(String text) {
        return logLinesWith(text, 20);
    }

    /**
     * Reads the lines of its log that contain a text.
     *
     * @param text the text
     * @param most the most lines wanted
     * @return the lines
     */
    public List<String> logLinesWith(String text, int most) {
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).limit(most).toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Empties its log. */
    public void clearLog() {
        try {
            Files.writeString(log, "");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private long readStatus(String field) {
        try (var lines = Files.lines(Path.of("/proc/" + pid() + "/status"))) {
            return lines.filter(line -> line.startsWith(field))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
