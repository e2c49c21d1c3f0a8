package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A program of the project, started as a separate process with its command of the deploy file. */
final class Program implements AutoCloseable {
    private final String name;
    private final Process process;
    private final Path settingsFile;

    private Program(String name, Process process, Path settingsFile) {
        this.name = name;
        this.process = process;
        this.settingsFile = settingsFile;
    }

    /** Starts a role in the repository root, which must be the working directory. */
    static Program start(String role, Machine machine, String settings, Path folder) throws IOException {
        Path settingsFile = folder.resolve(machine.name() + ".json");
        Files.writeString(settingsFile, settings);
        ProcessBuilder builder = new ProcessBuilder(commandOf(role));
        builder.environment().put("GALENAHINGE_CONFIG", settingsFile.toString());
        Path log = folder.resolve(machine.name() + ".log");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        return new Program(machine.name(), builder.start(), settingsFile);
    }

    /** Replaces the settings file and tells the program so with SIGHUP. */
    void changeSettings(String settings) throws IOException, InterruptedException {
        Path next = settingsFile.resolveSibling(settingsFile.getFileName() + ".next");
        Files.writeString(next, settings);
        Files.move(next, settingsFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        int code = new ProcessBuilder("kill", "-HUP", Long.toString(id())).start().waitFor();
        if (code != 0) {
            throw new IOException("kill -HUP ended with exit code " + code);
        }
    }

    long id() {
        return process.pid();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(3, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> commandOf(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.strip().equals("[roles." + role + "]");
            }
            if (inRole && line.startsWith("run = \"")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(command.split(" ")));
            }
        }
        throw new IOException("deploy/system.toml has no command for the role " + role);
    }
}
