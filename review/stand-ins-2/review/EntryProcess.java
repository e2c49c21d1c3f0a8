package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry process of the project, started with the command of the deploy file. */
final class EntryProcess implements AutoCloseable {
    private static final long READY_MILLIS = 20_000;

    private final int number;
    private final Path settings;
    private final Path log;
    private final int firstPort;
    private Process process;

    EntryProcess(int number, int firstPort, String settingsText, Path folder) throws IOException {
        this.number = number;
        this.firstPort = firstPort;
        this.settings = Files.writeString(folder.resolve("entry-" + number + ".json"), settingsText);
        this.log = folder.resolve("entry-" + number + ".log");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command("entry"));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("GALENAHINGE_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Waits until the entry says that it is ready. */
    void awaitReady() throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (System.nanoTime() - endNanos < 0) {
            if (!process.isAlive()) {
                throw new IllegalStateException("entry " + number + " ended with " + process.exitValue());
            }
            if (isReady()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("entry " + number + " was not ready in time");
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(Deployment.ip(number), firstPort);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process, as the platform or a loss of power does. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private boolean isReady() {
        try {
            URL url = new URL("http://" + Deployment.ip(number) + ":" + (firstPort + 1) + "/galenahinge/ready");
            HttpURLConnection question = (HttpURLConnection) url.openConnection();
            question.setConnectTimeout(500);
            question.setReadTimeout(500);
            return question.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the words of a role's command in the deploy file. */
    private static List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(new File("deploy/system.toml").toPath())) {
            if (line.startsWith("[")) {
                inRole = line.strip().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = \"")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Arrays.asList(run.split(" "));
            }
        }
        throw new IllegalStateException("deploy/system.toml has no command for the role " + role);
    }
}
