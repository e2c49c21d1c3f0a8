package org.galenahinge.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** A child process, which is killed when this Java process shuts down. */
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
     * @param name its name; the log file is {@code name.log}
     * @param logs the folder of the log files
     * @param environment variables added to those of this process
     * @param command the program and its arguments
     * @return the running process
     * @throws UncheckedIOException if the process cannot be started
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
     * Returns whether the process is running.
     *
     * @return whether it runs
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills it without a graceful stop, and waits up to 10 seconds for its exit. */
    public void kill() {
        process.destroyForcibly();
        waitForExit(10);
    }

    /** Requests a graceful stop (SIGTERM), without waiting for the exit. */
    public void requestStop() {
        process.destroy();
    }

    /**
     * Waits until the process exits.
     *
     * @param seconds the maximum time to wait, in seconds
     * @return whether it exited in time; false also if the calling thread is interrupted
     */
    public boolean waitForExit(long seconds) {
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
     * @return the code
     * @throws IllegalThreadStateException if it has not exited
     */
    public int exitCode() {
        return process.exitValue();
    }

    /** Requests a graceful stop as from a terminal (SIGINT), without waiting for the exit. */
    public void interrupt() {
        signal("INT");
    }

    /** Requests that it reloads its settings (SIGHUP). */
    public void requestReload() {
        signal("HUP");
    }

    /** Suspends it with SIGSTOP, until {@link #unfreeze}. */
    public void freeze() {
        signal("STOP");
    }

    /** Resumes it with SIGCONT. */
    public void unfreeze() {
        signal("CONT");
    }

    /**
     * Returns the size of its resident memory.
     *
     * @return bytes, 0 when it cannot be read
     */
    public long residentBytes() {
        return readProcStatus("VmRSS:") * 1_024;
    }

    /**
     * Returns the processor time that it has used since its start.
     *
     * @return nanoseconds, 0 when it cannot be read
     */
    public long processorNanos() {
        return process.info()
                .totalCpuDuration()
                .map(duration -> duration.toNanos())
                .orElse(0L);
    }

    /**
     * Reads the first 20 lines of its log that contain a text.
     *
     * @param text the text
     * @return the lines, empty when the log cannot be read
     */
    public List<String> logLinesContaining(String text) {
        return logLinesContaining(text, 20);
    }

    /**
     * Reads the first lines of its log that contain a text.
     *
     * @param text the text
     * @param maximumLines the maximum number of lines returned
     * @return the lines, empty when the log cannot be read
     */
    public List<String> logLinesContaining(String text, int maximumLines) {
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).limit(maximumLines).toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Empties its log file. */
    public void clearLog() {
        try {
            Files.writeString(log, "");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private long readProcStatus(String field) {
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
