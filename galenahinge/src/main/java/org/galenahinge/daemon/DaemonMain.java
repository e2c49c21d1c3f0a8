package org.galenahinge.daemon;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.galenahinge.entry.EntryDaemon;
import org.galenahinge.log.LogSetup;
import org.galenahinge.settings.EntrySettings;
import org.galenahinge.settings.SettingsException;
import org.galenahinge.settings.SettingsReader;
import org.galenahinge.settings.SlotSettings;
import org.galenahinge.settings.VmSettings;
import org.galenahinge.slot.SlotDaemon;
import org.jboss.logging.Logger;

/** Starts {@code galenahinged entry} or {@code galenahinged slot}. */
public final class DaemonMain {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 1;
    private static final String USAGE = "usage: galenahinged entry|slot [flags]; --help lists the flags";

    private DaemonMain() {}

    /**
     * Runs a daemon until it is stopped by a signal. HUP changes nothing, since a daemon reads its settings once. Exits
     * with 0 after a graceful stop, 1 when it cannot start and 2 when a setting is invalid.
     *
     * @param arguments {@code entry} or {@code slot}, then the flags of that daemon
     */
    public static void main(String[] arguments) {
        SignalInbox signals = ProcessStart.begin(EXIT_START_FAILED);
        System.exit(run(Arrays.asList(arguments), System.getenv(), signals));
    }

    private static int run(List<String> arguments, Map<String, String> environment, SignalInbox signals) {
        String kind = arguments.isEmpty() ? "" : arguments.get(0);
        if (!kind.equals("entry") && !kind.equals("slot")) {
            System.err.println(USAGE);
            return EXIT_INVALID_SETTINGS;
        }
        List<String> flags = arguments.subList(1, arguments.size());
        SettingsReader reader = kind.equals("entry") ? EntrySettings.reader() : SlotSettings.reader();
        if (flags.contains("--help") || flags.contains("-h")) {
            System.out.print(reader.help());
            return 0;
        }
        try {
            return kind.equals("entry") ? runEntry(flags, environment, signals) : runSlot(flags, environment, signals);
        } catch (SettingsException e) {
            System.err.println("galenahinged " + kind + ": " + e.getMessage());
            return EXIT_INVALID_SETTINGS;
        } catch (IOException e) {
            System.err.println("galenahinged " + kind + ": " + e.getMessage());
            return EXIT_START_FAILED;
        }
    }

    private static int runEntry(List<String> flags, Map<String, String> environment, SignalInbox signals)
            throws IOException {
        EntrySettings settings = EntrySettings.read(flags, environment);
        setUpLog(settings.vmSettings());
        EntryDaemon daemon = EntryDaemon.start(settings);
        return runUntilStopped(daemon::stop, signals);
    }

    private static int runSlot(List<String> flags, Map<String, String> environment, SignalInbox signals)
            throws IOException {
        SlotSettings settings = SlotSettings.read(flags, environment);
        setUpLog(settings.vmSettings());
        SlotDaemon daemon = SlotDaemon.start(settings);
        return runUntilStopped(daemon::stop, signals);
    }

    private static void setUpLog(VmSettings vmSettings) {
        LogSetup.apply(vmSettings.logFormat(), vmSettings.logLevel());
    }

    private static int runUntilStopped(Supplier<CompletionStage<Void>> stop, SignalInbox signals) {
        Logger log = Logger.getLogger(DaemonMain.class);
        CountDownLatch stopped = new CountDownLatch(1);
        signals.open(
                new SignalInbox.Reactions(
                        handled -> logSignal(log, handled),
                        () -> log.info("no settings to reload: they are read once, at the start"),
                        ignored -> stop.get().whenComplete((done, error) -> {
                            logEnd(log, error, signals.received());
                            stopped.countDown();
                        })),
                System.nanoTime());
        try {
            stopped.await();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_START_FAILED;
        }
    }

    private static void logSignal(Logger log, SignalInbox.Handled handled) {
        log.infof(
                "signal %s, number %d: %s, remembered for %d ms",
                handled.signal(),
                handled.count(),
                handled.action().text(),
                handled.remembered().toMillis());
    }

    private static void logEnd(Logger log, Throwable error, int signals) {
        if (error != null) {
            log.warnf(error, "the stop failed; the process ends after %d signals", signals);
            return;
        }
        log.infof("the stop is complete; the process ends after %d signals", signals);
    }
}
