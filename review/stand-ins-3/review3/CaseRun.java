package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The frame of a case: its record, its temporary folder, and the end of all that it starts. */
final class CaseRun implements AutoCloseable {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int CANNOT_RUN = 2;
    private static final long LONGEST_SECONDS = 115;

    private final Deque<AutoCloseable> started = new ArrayDeque<>();
    private final CaseRecord record;
    private final Path folder;
    private final boolean trouble;

    private CaseRun(Path recordFile) throws IOException {
        record = new CaseRecord(recordFile);
        folder = Files.createTempDirectory("review-3-");
        trouble = !"0".equals(System.getenv("TROUBLE"));
    }

    /** What a case does; returns whether the rule held. */
    @FunctionalInterface
    interface Steps {
        boolean perform(CaseRun run) throws Exception;
    }

    /** Performs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String[] arguments, Steps steps) {
        Runtime.getRuntime().addShutdownHook(new Thread(CaseRun::endPrograms));
        endAtLast();
        int code = CANNOT_RUN;
        try (CaseRun run = new CaseRun(Path.of(arguments[0]))) {
            run.record("the case runs " + (run.hasTrouble() ? "with" : "without") + " its disruption");
            try {
                code = steps.perform(run) ? HELD : BROKEN;
            } catch (Exception e) {
                run.record("the case could not run: " + e);
            }
            run.record("exit code " + code);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(code);
    }

    /** Ends the process, and with it the case, before its time is over. */
    private static void endAtLast() {
        Thread guard = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(LONGEST_SECONDS);
                System.err.println("the case has not ended in time");
                endPrograms();
                Runtime.getRuntime().halt(CANNOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        guard.setDaemon(true);
        guard.start();
    }

    /** Ends the programs that this process has started, if any is left. */
    private static void endPrograms() {
        ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
    }

    boolean hasTrouble() {
        return trouble;
    }

    CaseRecord recordFile() {
        return record;
    }

    void record(String line) {
        record.add(line);
    }

    /** Ends something when the case ends, the last started first. */
    <T extends AutoCloseable> T closing(T resource) {
        started.push(resource);
        return resource;
    }

    Program startEntry(Deployment deployment, Machine machine) throws IOException {
        Program entry = closing(Program.start("entry", machine, deployment.entrySettings(machine), folder));
        record("entry " + machine.name() + " started as process " + entry.id());
        return entry;
    }

    Program startSlot(Deployment deployment, Machine machine, String engine) throws IOException {
        Program slot = closing(Program.start("slot", machine, deployment.slotSettings(machine, engine), folder));
        record("slot process " + machine.name() + " started as process " + slot.id());
        return slot;
    }

    /** Waits until an entry says that it is ready. */
    void awaitReady(Machine entry) throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 150; attempt++) {
            if (isReady(entry)) {
                record("entry " + entry.name() + " is ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("entry " + entry.name() + " is not ready after 15 s");
    }

    boolean isReady(Machine entry) {
        try (Consumer consumer = new Consumer(entry.host(), entry.readyPort())) {
            consumer.send("GET /galenahinge/ready", "Host: " + entry.host() + "\r\n", new byte[0]);
            Message response = consumer.receive(1_000);
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Copies the log of a program to the record, if a file was named for that. */
    void keepLog(Machine machine) throws IOException {
        String target = System.getenv("KEEP_LOGS");
        if (target != null) {
            Files.createDirectories(Path.of(target));
            Files.copy(
                    folder.resolve(machine.name() + ".log"),
                    Path.of(target, machine.name() + ".log"),
                    StandardCopyOption.REPLACE_EXISTING);
        }
    }

    @Override
    public void close() throws IOException {
        while (!started.isEmpty()) {
            close(started.pop());
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }

    private void close(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            record("cannot end " + resource + ": " + e);
        }
    }
}
