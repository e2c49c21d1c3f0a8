package org.galenahinge.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command line of an entry, as the deploy file gives it. */
final class EntryCommand {
    private static final Pattern RUN = Pattern.compile("\\[roles\\.entry\\]\\s+run = \"([^\"]*)\"");
    private static final String BUILT = "platform/target/";

    private EntryCommand() {}

    /**
     * Reads the command.
     *
     * @param home the root folder of the checkout, in which the platform is built
     * @param javaFlags flags of the virtual machine that come after those of the file, and so prevail
     * @return the program and its arguments
     */
    static List<String> read(Path home, List<String> javaFlags) {
        List<String> command = new ArrayList<>();
        for (String word : words(home.resolve("deploy/system.toml"))) {
            if (word.equals("-cp")) {
                command.addAll(javaFlags);
            }
            command.add(word.replace(BUILT, home.resolve(BUILT) + "/"));
        }
        return List.copyOf(command);
    }

    /**
     * Returns a command for an entry from the classes of this process, as in a test, for which nothing is packaged.
     *
     * @return the program and its arguments
     */
    static List<String> ofClassPath() {
        return List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx112m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.galenahinge.platform.PlatformMain",
                "entry");
    }

    private static List<String> words(Path file) {
        try {
            Matcher run = RUN.matcher(Files.readString(file));
            if (!run.find()) {
                throw new IllegalStateException(file + " has no command for the role entry");
            }
            return Arrays.asList(run.group(1).split(" ", -1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
