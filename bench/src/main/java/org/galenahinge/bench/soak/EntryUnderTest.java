package org.galenahinge.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.galenahinge.bench.ManagedProcess;
import org.galenahinge.standins.platform.EntryFleetStandIn;

/**
 * An entry as one process after the other, what was done to them, and what they did wrong. A process that has ended is
 * started again while the entry is wanted.
 */
final class EntryUnderTest {
    private static final long WATCH_MILLIS = 20;
    private static final long RESTART_MILLIS = 300;
    private static final long READY_SECONDS = 30;
    private static final int CHECK_MILLIS = 1_000;

    /** The time that the exit may take to be seen after the grace. */
    private static final long EXIT_SEEN_MILLIS = 250;

    private final int number;
    private final Path logs;
    private final EntryFleetStandIn fleet;
    private final List<String> command;
    private final Timeline timeline;
    private final List<Long> stops = new ArrayList<>();
    private final List<Long> reloads = new ArrayList<>();
    private final List<Span> freezes = new ArrayList<>();
    private final List<Long> kills = new ArrayList<>();
    private final List<Long> starts = new ArrayList<>();
    private final List<Fault> startFaults = new ArrayList<>();
    private final List<Verdict.Judgement> wrongs = new ArrayList<>();
    private ManagedProcess process;
    private int lives;
    private int changes;
    private boolean stopping;
    private boolean frozenWithinStop;
    private boolean signalledAtStart;
    private boolean killedByFault;

    EntryUnderTest(int number, Path logs, EntryFleetStandIn fleet, List<String> command, Timeline timeline) {
        this.number = number;
        this.logs = logs;
        this.fleet = fleet;
        this.command = command;
        this.timeline = timeline;
        start();
    }

    String name() {
        return "edge-" + number;
    }

    /** Adds a fault that comes after the next start. */
    synchronized void addAtStart(Fault fault) {
        startFaults.add(fault);
    }

    /** Sends a signal, or prints that there is nothing to send it to. */
    synchronized void apply(Fault.Kind kind) {
        if (!process.isAlive() || !fits(kind)) {
            timeline.print(name() + "  " + kind + " left out, for its process is not in that state");
            return;
        }
        long nowNanos = System.nanoTime();
        timeline.print(name() + "  " + kind);
        switch (kind) {
            case STOP, STOP_AT_START -> stop(nowNanos);
            case STOP_AGAIN -> process.requestStop();
            case INTERRUPT -> process.interrupt();
            case KILL -> killByFault(nowNanos);
            case RELOAD_CHANGED -> {
                changes++;
                writeSettings();
                reload(nowNanos);
            }
            default -> reload(nowNanos);
        }
    }

    /** A first SIGTERM wants a process that does not stop yet, one more signal to stop one that does. */
    private boolean fits(Fault.Kind kind) {
        return switch (kind) {
            case STOP, STOP_AT_START -> !stopping;
            case STOP_AGAIN, INTERRUPT -> stopping;
            default -> true;
        };
    }

    private void killByFault(long nowNanos) {
        killedByFault = true;
        kills.add(nowNanos);
        process.kill();
    }

    private void stop(long nowNanos) {
        stopping = true;
        stops.add(nowNanos);
        process.requestStop();
    }

    private void reload(long nowNanos) {
        reloads.add(nowNanos);
        process.requestReload();
    }

    /** Freezes the process for a time, and returns after it. */
    void freeze(long millis) throws InterruptedException {
        ManagedProcess frozen;
        synchronized (this) {
            frozen = process;
            frozenWithinStop |= stopping;
        }
        long fromNanos = System.nanoTime();
        timeline.print(name() + "  frozen for " + millis + " ms");
        frozen.freeze();
        TimeUnit.MILLISECONDS.sleep(millis);
        frozen.unfreeze();
        synchronized (this) {
            freezes.add(new Span(fromNanos, System.nanoTime()));
        }
    }

    /** Watches the process until it is interrupted: kills it after its grace, and starts another when it has ended. */
    void watch() throws InterruptedException {
        while (true) {
            TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
            List<Fault> faults = List.of();
            synchronized (this) {
                killAfterGrace();
                if (!process.isAlive()) {
                    judgeExit();
                    TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
                    start();
                    faults = List.copyOf(startFaults);
                    startFaults.clear();
                }
            }
            signalAtStart(faults);
        }
    }

    private void signalAtStart(List<Fault> faults) throws InterruptedException {
        for (Fault fault : faults) {
            TimeUnit.MILLISECONDS.sleep(fault.atMillis());
            timeline.print(name() + "  " + fault.atMillis() + " ms after its start:");
            synchronized (this) {
                signalledAtStart = true;
            }
            apply(fault.kind());
        }
    }

    private void killAfterGrace() {
        long graceNanos = TimeUnit.SECONDS.toNanos(EntryFleetStandIn.GRACE_SECONDS)
                + TimeUnit.MILLISECONDS.toNanos(EXIT_SEEN_MILLIS);
        if (!stopping || !process.isAlive() || System.nanoTime() - lastStop() < graceNanos) {
            return;
        }
        if (!frozenWithinStop) {
            wrongs.add(new Verdict.Judgement(Finding.LATE_EXIT, name() + " still ran after its grace"));
        }
        timeline.print(name() + "  is killed after its grace");
        process.kill();
    }

    private long lastStop() {
        return stops.get(stops.size() - 1);
    }

    private void judgeExit() {
        int code = process.exitCode();
        long millis = stopping ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastStop()) : 0;
        String detail = name() + " exit code " + code + (stopping ? ", " + millis + " ms after SIGTERM" : "")
                + (signalledAtStart ? ", signalled during its start" : "");
        timeline.print(detail);
        boolean killed = millis > TimeUnit.SECONDS.toMillis(EntryFleetStandIn.GRACE_SECONDS);
        if (killedByFault) {
            return;
        }
        if (!stopping) {
            wrongs.add(new Verdict.Judgement(Finding.ENDED, detail));
        } else if (code != 0 && !killed) {
            wrongs.add(new Verdict.Judgement(Finding.EXIT_CODE, detail));
        }
    }

    private void start() {
        writeSettings();
        lives++;
        stopping = false;
        frozenWithinStop = false;
        signalledAtStart = false;
        killedByFault = false;
        starts.add(System.nanoTime());
        Map<String, String> environment =
                Map.of(EntryFleetStandIn.SETTINGS_PATH_VARIABLE, settingsFile().toString());
        process = ManagedProcess.start(name() + "-life-" + lives, logs, environment, command);
    }

    private void writeSettings() {
        try {
            Files.writeString(settingsFile(), fleet.settings(number, changes));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path settingsFile() {
        return logs.resolve(name() + ".json");
    }

    /** Waits until the entry says that it is ready, and records it if it does not in time. */
    void awaitReady() throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (System.nanoTime() < untilNanos) {
            if (isReady()) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(5 * WATCH_MILLIS);
        }
        synchronized (this) {
            wrongs.add(new Verdict.Judgement(Finding.NOT_READY, name() + " was not ready in time"));
        }
    }

    private boolean isReady() {
        synchronized (this) {
            if (stopping) {
                return false;
            }
        }
        try {
            HttpURLConnection check = (HttpURLConnection)
                    URI.create(fleet.readyUrl(number)).toURL().openConnection();
            check.setConnectTimeout(CHECK_MILLIS);
            check.setReadTimeout(CHECK_MILLIS);
            return check.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what was done to it, together with what was done around it. */
    synchronized PlannedWork work(List<Long> configs, List<Span> storeAway) {
        return new PlannedWork(stops, reloads, configs, freezes, storeAway, starts, kills);
    }

    /** Returns what its processes did wrong, and forgets it. */
    synchronized List<Verdict.Judgement> takeWrongs() {
        List<Verdict.Judgement> taken = List.copyOf(wrongs);
        wrongs.clear();
        return taken;
    }

    /** Forgets what was done to it before a time, in nanoseconds of {@link System#nanoTime()}. */
    synchronized void forgetBefore(long nanos) {
        stops.removeIf(at -> at < nanos);
        reloads.removeIf(at -> at < nanos);
        starts.removeIf(at -> at < nanos);
        kills.removeIf(at -> at < nanos);
        freezes.removeIf(span -> span.toNanos() < nanos);
    }

    /** Returns the first lines with a text in the logs of all its processes. */
    List<String> logLinesContaining(String text, int maximumLines) {
        List<String> lines = new ArrayList<>();
        for (int life = 1; life <= lives; life++) {
            Path log = logs.resolve(name() + "-life-" + life + ".log");
            try (var all = Files.lines(log)) {
                all.filter(line -> line.contains(text)).limit(maximumLines).forEach(lines::add);
            } catch (IOException e) {
                lines.add(log + " cannot be read");
            }
        }
        return lines;
    }

    synchronized void kill() {
        process.kill();
    }
}
