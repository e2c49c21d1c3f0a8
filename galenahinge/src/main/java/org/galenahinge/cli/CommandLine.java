package org.galenahinge.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.galenahinge.history.LogLine;
import org.galenahinge.history.RequestHistory;
import org.galenahinge.log.Decision;
import org.galenahinge.operations.Explanation;
import org.galenahinge.operations.FleetView;
import org.galenahinge.operations.ModelProgress;
import org.galenahinge.operations.TicketStatus;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketResult;

/**
 * The operators' command line. It reads and checks, and writes nothing shared.
 *
 * <p>Exit codes: 0 for yes or done, 1 for not (yet) in force or not found, 2 for wrong usage or an invalid ticket, 3
 * when no entry responds.
 */
public final class CommandLine {
    static final int DONE = 0;
    static final int NOT_YET = 1;
    static final int WRONG = 2;
    static final int NO_RESPONSE = 3;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENTRIES_VARIABLE = "GALENAHINGE_ENTRIES";
    /** Set by the launcher, which can ask the shell. */
    private static final String TERMINAL_VARIABLE = "GALENAHINGE_TERMINAL";

    private static final String DEFAULT_ENTRY = "http://127.0.0.1:8080";
    private static final Duration POLL = Duration.ofMillis(250);
    private static final int BAR_WIDTH = 40;

    private final InputStream input;
    private final PrintStream out;
    private final PrintStream errors;
    private final Map<String, String> environment;
    private final boolean terminal;

    CommandLine(
            InputStream input, PrintStream out, PrintStream errors, Map<String, String> environment, boolean terminal) {
        this.input = Objects.requireNonNull(input, "input");
        this.out = Objects.requireNonNull(out, "out");
        this.errors = Objects.requireNonNull(errors, "errors");
        this.environment = Map.copyOf(environment);
        this.terminal = terminal;
    }

    /**
     * Runs one command.
     *
     * @param arguments the command and its flags
     */
    public static void main(String[] arguments) {
        boolean terminal = "true".equals(System.getenv(TERMINAL_VARIABLE));
        System.exit(new CommandLine(System.in, System.out, System.err, System.getenv(), terminal).run(arguments));
    }

    int run(String... arguments) {
        ArgumentParser parser = parser();
        try {
            return run(parser.parseArgs(arguments));
        } catch (HelpScreenException e) {
            return DONE;
        } catch (ArgumentParserException e) {
            errors.println("galenahinge: " + e.getMessage());
            return WRONG;
        } catch (IllegalArgumentException e) {
            errors.println("galenahinge: " + e.getMessage());
            return WRONG;
        } catch (IOException e) {
            errors.println("galenahinge: " + e.getMessage());
            return NO_RESPONSE;
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("galenahinge")
                .build()
                .description("Checks tickets and shows the status of the system. Changes nothing in the system.");
        parser.addArgument("--entries")
                .metavar("URL,URL")
                .help("entries to query, in order; default " + DEFAULT_ENTRY + "; or " + ENTRIES_VARIABLE);
        parser.addArgument("--output")
                .choices("json", "table")
                .setDefault("table")
                .help("form of the output");
        Subparsers commands = parser.addSubparsers().dest("command").title("commands");
        Subparser ticket = commands.addParser("ticket").help("check a ticket before it is published, or read it back");
        Subparsers ticketCommands = ticket.addSubparsers().dest("ticketCommand");
        ticketCommands
                .addParser("check")
                .help("check a ticket file")
                .addArgument("file")
                .help("file to check");
        Subparser status = ticketCommands.addParser("status").help("show which VMs have confirmed a ticket");
        status.addArgument("number").type(Long.class).help("number of the ticket");
        status.addArgument("--wait")
                .type(Long.class)
                .setDefault(0L)
                .metavar("SECONDS")
                .help("wait until it is in force");
        commands.addParser("fleet").help("list the VMs");
        Subparser model = commands.addParser("model").help("show the rollout progress of a model version");
        model.addArgument("model").help("name of the model");
        model.addArgument("version").help("its version");
        Subparser explain = commands.addParser("explain").help("list the decisions made for a request");
        explain.addArgument("requestId").help("ID of the request");
        explain.addArgument("--logs")
                .nargs("+")
                .metavar("FILE")
                .help("read these logs instead of querying entries; - is the standard input");
        return parser;
    }

    private int run(Namespace arguments) throws IOException {
        boolean json = arguments.getString("output").equals("json");
        return switch (arguments.getString("command")) {
            case "ticket" ->
                arguments.getString("ticketCommand").equals("check")
                        ? checkTicket(arguments.getString("file"), json)
                        : ticketStatus(client(arguments), arguments.getLong("number"), arguments.getLong("wait"), json);
            case "fleet" -> fleet(client(arguments), json);
            case "model" ->
                model(client(arguments), arguments.getString("model"), arguments.getString("version"), json);
            default ->
                arguments.getList("logs") == null
                        ? explain(client(arguments), arguments.getString("requestId"), json)
                        : explainLogs(arguments.getList("logs"), arguments.getString("requestId"), json);
        };
    }

    private OperatorClient client(Namespace arguments) {
        String given = arguments.getString("entries");
        String text = given != null ? given : environment.getOrDefault(ENTRIES_VARIABLE, DEFAULT_ENTRY);
        List<URI> entries = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            URI uri = URI.create(part.strip());
            if (!"http".equals(uri.getScheme()) || uri.getPort() < 1) {
                throw new IllegalArgumentException(
                        "--entries: '" + part + "' is not allowed; allowed is http://IP:PORT");
            }
            entries.add(uri);
        }
        return OperatorClient.create(entries);
    }

    private int checkTicket(String file, boolean json) throws IOException {
        Path path = Path.of(file);
        if (!Files.isReadable(path)) {
            throw new IllegalArgumentException("file: '" + file + "' cannot be read");
        }
        TicketResult result = Ticket.parse(readText(path));
        if (result instanceof TicketResult.Invalid invalid) {
            if (json) {
                print(invalid);
            }
            invalid.errors().forEach(error -> errors.println(file + ": " + error));
            return WRONG;
        }
        Ticket ticket = ((TicketResult.Valid) result).ticket();
        out.println(json ? ticket.json() : file + ": valid, " + ticket);
        return DONE;
    }

    private static String readText(Path path) throws IOException {
        try {
            return Files.readString(path, StandardCharsets.UTF_8);
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("file: '" + path + "' is not valid UTF-8", e);
        }
    }

    private int ticketStatus(OperatorClient client, long number, long waitSeconds, boolean json) throws IOException {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        TicketStatus status = client.ticketStatus(number);
        while (!status.isInForce() && System.nanoTime() - deadlineNanos < 0) {
            pause();
            status = client.ticketStatus(number);
        }
        if (json) {
            print(status);
        } else {
            printStatus(status);
        }
        return status.isInForce() ? DONE : NOT_YET;
    }

    private void printStatus(TicketStatus status) {
        out.println("ticket " + status.number() + ": " + status.state() + " (" + status.detail() + ")");
        if (status.sites().isEmpty()) {
            return;
        }
        Table table = Table.withColumns("VM", "KIND", "REGION", "FAILURE DOMAIN", "CONFIRMED", "REASON");
        status.sites()
                .forEach(site -> table.row(
                        site.vm(),
                        site.kind(),
                        site.region(),
                        site.failureDomain(),
                        site.confirmed() ? "yes" : "no",
                        site.reason()));
        out.print(table.render());
    }

    private int fleet(OperatorClient client, boolean json) throws IOException {
        FleetView fleet = client.fleet();
        if (json) {
            print(fleet);
            return DONE;
        }
        Table table = Table.withColumns(
                "VM", "KIND", "ADDRESS", "REGION", "FAILURE DOMAIN", "READY", "SERVES", "RUNNING", "CONDITION");
        for (FleetView.VmView vm : fleet.vms()) {
            String ready = vm.leaving() ? "leaving" : vm.ready() ? "yes" : "no";
            table.row(
                    vm.vm(),
                    vm.kind(),
                    vm.address(),
                    vm.region(),
                    vm.failureDomain(),
                    ready,
                    vm.serves(),
                    Integer.toString(vm.running()),
                    vm.condition());
        }
        out.print(table.render());
        return DONE;
    }

    private int model(OperatorClient client, String model, String version, boolean json) throws IOException {
        ModelProgress progress = client.model(model, version);
        boolean complete = progress.replicasWanted() > 0 && progress.replicasReady() == progress.replicasWanted();
        if (json) {
            print(progress);
            return complete ? DONE : NOT_YET;
        }
        out.println(model + "/" + version + ": " + progress.replicasReady() + " of " + progress.replicasWanted()
                + " replicas ready, " + progress.originBytes() + " bytes fetched from the origin");
        if (terminal) {
            out.println(bar(progress));
        }
        Table table = Table.withColumns("VM", "REGION", "READY", "SERVES", "CHUNKS", "CONDITION");
        progress.replicas()
                .forEach(replica -> table.row(
                        replica.vm(),
                        replica.region(),
                        replica.ready() ? "yes" : "no",
                        replica.serves(),
                        replica.chunksHeld() + "/" + replica.chunksTotal(),
                        replica.condition()));
        out.print(table.render());
        return complete ? DONE : NOT_YET;
    }

    static String bar(ModelProgress progress) {
        int heldChunks = progress.replicas().stream()
                .mapToInt(ModelProgress.ReplicaProgress::chunksHeld)
                .sum();
        int totalChunks = progress.replicas().stream()
                .mapToInt(ModelProgress.ReplicaProgress::chunksTotal)
                .sum();
        int filled = totalChunks == 0 ? 0 : BAR_WIDTH * heldChunks / totalChunks;
        return "[" + "#".repeat(filled) + ".".repeat(BAR_WIDTH - filled) + "] " + heldChunks + "/" + totalChunks
                + " chunks";
    }

    private int explain(OperatorClient client, String requestId, boolean json) throws IOException {
        Explanation explanation = client.explain(requestId);
        if (json) {
            print(explanation);
        } else if (explanation.decisions().isEmpty()) {
            out.println("none of the queried entries has a record of request " + requestId);
        } else {
            Table table = Table.withColumns("DECISION", "CHOICE", "REASON", "CANDIDATES");
            for (Decision decision : explanation.decisions()) {
                table.row(
                        decision.kind(), decision.choice(), decision.reason(), String.join(" ", decision.candidates()));
            }
            out.print(table.render());
        }
        return explanation.decisions().isEmpty() ? NOT_YET : DONE;
    }

    private int explainLogs(List<String> files, String requestId, boolean json) throws IOException {
        RequestHistory.Collector gatherer = RequestHistory.collect(requestId);
        for (String file : files) {
            readLog(file, gatherer);
        }
        RequestHistory history = gatherer.toHistory();
        if (history.cause().isEmpty()) {
            out.println("no log has a line of request " + requestId);
            return NOT_YET;
        }
        if (json) {
            print(new ExplainedRequest(
                    requestId, history.cause().get(), history.requestLines(), history.surroundingLines()));
            return DONE;
        }
        out.println(history.cause().get());
        out.println();
        out.print(table(history.requestLines()));
        if (!history.surroundingLines().isEmpty()) {
            out.println();
            out.println("around that time:");
            out.print(table(history.surroundingLines()));
        }
        return DONE;
    }

    private record ExplainedRequest(String request, String cause, List<LogLine> lines, List<LogLine> surroundings) {}

    private void readLog(String file, RequestHistory.Collector gatherer) throws IOException {
        if (file.equals("-")) {
            gather(input, gatherer);
            return;
        }
        Path path = Path.of(file);
        if (!Files.isReadable(path) || Files.isDirectory(path)) {
            throw new IllegalArgumentException("--logs: '" + file + "' cannot be read");
        }
        try (InputStream stream = Files.newInputStream(path)) {
            gather(stream, gatherer);
        }
    }

    /** A log may hold bytes that are no text; they must not hide the lines beside them. */
    private static void gather(InputStream stream, RequestHistory.Collector gatherer) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            gatherer.add(line);
        }
    }

    private static String table(List<LogLine> lines) {
        Table table = Table.withColumns("AT", "NODE", "EVENT", "FIELDS");
        for (LogLine line : lines) {
            StringBuilder fields = new StringBuilder();
            line.fields()
                    .forEach((name, value) ->
                            fields.append(name).append('=').append(value).append(' '));
            table.row(
                    Instant.ofEpochMilli(line.atMillis()).toString(),
                    line.node(),
                    line.event(),
                    fields.toString().strip());
        }
        return table.render();
    }

    private void print(Object document) {
        try {
            out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(POLL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
