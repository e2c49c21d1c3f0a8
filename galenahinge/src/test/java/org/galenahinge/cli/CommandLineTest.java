package org.galenahinge.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.galenahinge.operations.ModelProgress;
import org.galenahinge.operations.ModelProgress.ReplicaProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineTest {
    private static final String REFUSED_LOG_LINE =
            "{\"at\":5,\"node\":\"n\",\"event\":\"refused\",\"request\":\"r1\",\"status\":503,\"reason\":\"full\"}\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final CommandLine commandLine = new CommandLine(
            new ByteArrayInputStream(REFUSED_LOG_LINE.getBytes(StandardCharsets.UTF_8)),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(errors, true, StandardCharsets.UTF_8),
            Map.of("GALENAHINGE_ENTRIES", "http://127.0.0.1:1"),
            false);

    @TempDir
    private Path folder;

    @Test
    void acceptsTheExampleInTheDocumentation() {
        Path example = Path.of("..", "docs", "ticket-example.json");

        assertThat(commandLine.run("ticket", "check", example.toString())).isEqualTo(CommandLine.EXIT_SUCCESS);
    }

    @Test
    void reportsEachInvalidFieldOfATicket() throws IOException {
        Path file = Files.writeString(folder.resolve("ticket.json"), "{\"number\":-1,\"groups\":[]}");

        assertThat(commandLine.run("ticket", "check", file.toString())).isEqualTo(CommandLine.EXIT_INVALID_INPUT);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("number:").contains("groups:");
    }

    @Test
    void rejectsATicketThatIsNotUtf8() throws IOException {
        Path file = Files.write(folder.resolve("ticket.json"), new byte[] {'{', (byte) 0xff, (byte) 0xfe, '}'});

        assertThat(commandLine.run("ticket", "check", file.toString())).isEqualTo(CommandLine.EXIT_INVALID_INPUT);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("UTF-8");
    }

    @Test
    void explainsARequestFromLogs() throws IOException {
        Path log = Files.writeString(folder.resolve("n.log"), "n | not a line\n" + REFUSED_LOG_LINE);

        assertThat(commandLine.run("explain", "r1", "--logs", log.toString())).isEqualTo(CommandLine.EXIT_SUCCESS);
        assertThat(commandLine.run("--output", "json", "explain", "r1", "--logs", "-"))
                .isEqualTo(CommandLine.EXIT_SUCCESS);
        assertThat(commandLine.run("explain", "r2", "--logs", log.toString())).isEqualTo(CommandLine.EXIT_NOT_COMPLETE);
        assertThat(commandLine.run("explain", "r1", "--logs", log + ".none")).isEqualTo(CommandLine.EXIT_INVALID_INPUT);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("--logs");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("all slots").contains("\"cause\"");
    }

    @Test
    void reportsThatNoEntryResponds() {
        assertThat(commandLine.run("fleet")).isEqualTo(CommandLine.EXIT_NO_RESPONSE);
        assertThat(errors.toString(StandardCharsets.UTF_8)).contains("http://127.0.0.1:1");
    }

    @Test
    void rejectsAnEntryThatIsNotAUrl() {
        assertThat(commandLine.run("--entries", "entry-1", "fleet")).isEqualTo(CommandLine.EXIT_INVALID_INPUT);
    }

    @Test
    void fillsTheProgressBarByChunksHeld() {
        ModelProgress progress =
                new ModelProgress("m", "1", 0, 1, 0, List.of(new ReplicaProgress("vm", "r", false, "", 10, 40, "")));

        assertThat(CommandLine.progressBar(progress))
                .startsWith("[##########...")
                .endsWith("10/40 chunks");
    }
}
