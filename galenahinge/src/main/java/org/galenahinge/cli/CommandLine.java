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
 * The operators' command line. It checks ticket files and queries entries or logs, and changes nothing in the system.
 *
 * <p>Exit codes: 0 for success, 1 when a ticket is not in force, a model version is not on all replicas or a request is
 * not found, 2 for wrong usage or an invalid ticket, 3 when no entry responds.
 */
public final class CommandLine {
    static final int EXIT_SUCCESS = 0;
    static final int EXIT_NOT_COMPLETE = 1;
    static final int EXIT_INVALID_INPUT = 2;
    static final int EXIT_NO_RESPONSE = 3;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENTRIES_VARIABLE = "GALENAHINGE_ENTRIES";
    /** Set to {@code true} by the launcher script, which can test whether the standard output is a terminal. */
    private static final String TERMINAL_VARIABLE = "GALENAHINGE_TERMINAL";

    private static final String DEFAULT_ENTRY = "http://127.0.0.1:8080";
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
    private static final int PROGRESS_BAR_CHARACTERS = 40;

    private final InputStream input;
    private final PrintStream out;
    private final PrintStream errors;
    private final Map<String, String> environment;
    private final boolean outputIsTerminal;

    CommandLine(
            InputStream input,
            PrintStream out,
            PrintStream errors,
            Map<String, String> environment,
            boolean outputIsTerminal) {
        this.input = Objects.requireNonNull(input, "input");
        this.out = Objects.requireNonNull(out, "out");
        this.errors = Objects.requireNonNull(errors, "errors");
        this.environment = Map.copyOf(environment);
        this.outputIsTerminal = outputIsTerminal;
    }

    /**
     * Runs one command.
     *
     * @param arguments the command and its flags
     */
    public static void main(String[] arguments) {
        boolean outputIsTerminal = "true".equals(System.getenv(TERMINAL_VARIABLE));
        System.exit(
                new CommandLine(System.in, System.out, System.err, System.getenv(), outputIsTerminal).run(arguments));
    }

    int run(String... arguments) {
        ArgumentParser parser = parser();
        try {
            return runCommand(parser.parseArgs(arguments));
        } catch (HelpScreenException e) {
            return EXIT_SUCCESS;
        } catch (ArgumentParserException e) {
            errors.println("galenahinge: " + e.getMessage());
            return EXIT_INVALID_INPUT;
        } catch (IllegalArgumentException e) {
            errors.println("galenahinge: " + e.getMessage());
            return EXIT_INVALID_INPUT;
        } catch (IOException e) {
            errors.println("galenahinge: " + e.getMessage());
            return EXIT_NO_RESPONSE;
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("galenahinge")
                .build()
                .description("Checks tickets and shows the state of the system. Changes nothing in it.");
        parser.addArgument("--entries")
                .metavar("URL,URL")
                .help("entries to query, in this order; default " + DEFAULT_ENTRY + "; or " + ENTRIES_VARIABLE);
        parser.addArgument("--output")
                .choices("json", "table")
                .setDefault("table")
                .help("output format");
        Subparsers commands = parser.addSubparsers().dest("command").title("commands");
        Subparser ticket =
                commands.addParser("ticket").help("check a ticket before it is published, or show its status");
        Subparsers ticketCommands = ticket.addSubparsers().dest("ticketCommand");
        ticketCommands
                .addParser("check")
                .help("check a ticket file")
                .addArgument("file")
                .help("file to check");
        Subparser status = ticketCommands.addParser("status").help("show on which VMs a ticket is in force");
        status.addArgument("number").type(Long.class).help("number of the ticket");
        status.addArgument("--wait")
                .type(Long.class)
                .setDefault(0L)
                .metavar("SECONDS")
                .help("maximum time to wait until it is in force; default 0");
        commands.addParser("fleet").help("list the VMs");
        Subparser model = commands.addParser("model").help("show on which VMs a model version is ready");
        model.addArgument("model").help("name of the model");
        model.addArgument("version").help("its version");
        Subparser explain = commands.addParser("explain").help("show what happened to a request and why");
        explain.addArgument("requestId").help("ID of the request");
        explain.addArgument("--logs")
                .nargs("+")
                .metavar("FILE")
                .help("read these log files instead of querying entries; - is the standard input");
        return parser;
    }

    private int runCommand(Namespace arguments) throws IOException {
        boolean json = arguments.getString("output").equals("json");
        return switch (arguments.getString("command")) {
            case "ticket" ->
                arguments.getString("ticketCommand").equals("check")
                        ? checkTicket(arguments.getString("file"), json)
                        : showTicketStatus(
                                createClient(arguments), arguments.getLong("number"), arguments.getLong("wait"), json);
            case "fleet" -> showFleet(createClient(arguments), json);
            case "model" ->
                showModel(createClient(arguments), arguments.getString("model"), arguments.getString("version"), json);
            default ->
                arguments.getList("logs") == null
                        ? explainFromEntries(createClient(arguments), arguments.getString("requestId"), json)
                        : explainFromLogs(arguments.getList("logs"), arguments.getString("requestId"), json);
        };
    }

    private OperatorClient createClient(Namespace arguments) {
        String flag = arguments.getString("entries");
        String urls = flag != null ? flag : environment.getOrDefault(ENTRIES_VARIABLE, DEFAULT_ENTRY);
        List<URI> entries = new ArrayList<>();
        for (String url : urls.split(",", -1)) {
            URI uri = URI.create(url.strip());
            if (!"http".equals(uri.getScheme()) || uri.getPort() < 1) {
                throw new IllegalArgumentException(
                        "--entries: '" + url + "' is not allowed; allowed is http://IP:PORT");
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
                printJson(invalid);
            }
            invalid.errors().forEach(error -> errors.println(file + ": " + error));
            return EXIT_INVALID_INPUT;
        }
        Ticket ticket = ((TicketResult.Valid) result).ticket();
        out.println(json ? ticket.json() : file + ": valid, " + ticket);
        return EXIT_SUCCESS;
    }

    private static String readText(Path path) throws IOException {
        try {
            return Files.readString(path, StandardCharsets.UTF_8);
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("file: '" + path + "' is not valid UTF-8", e);
        }
    }

    private int showTicketStatus(OperatorClient client, long number, long waitSeconds, boolean json)
            throws IOException {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        TicketStatus status = client.ticketStatus(number);
        while (!status.isInForce() && System.nanoTime() - deadlineNanos < 0) {
            sleepPollInterval();
            status = client.ticketStatus(number);
        }
        if (json) {
            printJson(status);
        } else {
            printStatusTable(status);
        }
        return status.isInForce() ? EXIT_SUCCESS : EXIT_NOT_COMPLETE;
    }

    private void printStatusTable(TicketStatus status) {
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

    private int showFleet(OperatorClient client, boolean json) throws IOException {
        FleetView fleet = client.fleet();
        if (json) {
            printJson(fleet);
            return EXIT_SUCCESS;
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
        return EXIT_SUCCESS;
    }

    private int showModel(OperatorClient client, String model, String version, boolean json) throws IOException {
        ModelProgress progress = client.model(model, version);
        boolean complete = progress.replicasWanted() > 0 && progress.replicasReady() == progress.replicasWanted();
        if (json) {
            printJson(progress);
            return complete ? EXIT_SUCCESS : EXIT_NOT_COMPLETE;
        }
        out.println(model + "/" + version + ": " + progress.replicasReady() + " of " + progress.replicasWanted()
                + " replicas ready, " + progress.originBytes() + " bytes fetched from the origin");
        if (outputIsTerminal) {
            out.println(progressBar(progress));
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
        return complete ? EXIT_SUCCESS : EXIT_NOT_COMPLETE;
    }

    static String progressBar(ModelProgress progress) {
        int chunksHeld = progress.replicas().stream()
                .mapToInt(ModelProgress.ReplicaProgress::chunksHeld)
                .sum();
        int chunksTotal = progress.replicas().stream()
                .mapToInt(ModelProgress.ReplicaProgress::chunksTotal)
                .sum();
        int filled = chunksTotal == 0 ? 0 : PROGRESS_BAR_CHARACTERS * chunksHeld / chunksTotal;
        return "[" + "#".repeat(filled) + ".".repeat(PROGRESS_BAR_CHARACTERS - filled) + "] " + chunksHeld + "/"
                + chunksTotal + " chunks";
    }

    private int explainFromEntries(OperatorClient client, String requestId, boolean json) throws IOException {
        Explanation explanation = client.explain(requestId);
        if (json) {
            printJson(explanation);
        } else if (explanation.decisions().isEmpty()) {
            out.println("no queried entry still has decisions for request " + requestId);
        } else {
            Table table = Table.withColumns("DECISION", "CHOICE", "REASON", "CANDIDATES");
            for (Decision decision : explanation.decisions()) {
                table.row(
                        decision.kind(), decision.choice(), decision.reason(), String.join(" ", decision.candidates()));
            }
            out.print(table.render());
        }
        return explanation.decisions().isEmpty() ? EXIT_NOT_COMPLETE : EXIT_SUCCESS;
    }

    private int explainFromLogs(List<String> files, String requestId, boolean json) throws IOException {
        RequestHistory.Collector collector = RequestHistory.collect(requestId);
        for (String file : files) {
            readLog(file, collector);
        }
        RequestHistory history = collector.toHistory();
        if (history.cause().isEmpty()) {
            out.println("the logs have no line about request " + requestId);
            return EXIT_NOT_COMPLETE;
        }
        if (json) {
            printJson(new ExplainedRequest(
                    requestId, history.cause().get(), history.requestLines(), history.surroundingLines()));
            return EXIT_SUCCESS;
        }
        out.println(history.cause().get());
        out.println();
        out.print(renderLines(history.requestLines()));
        if (!history.surroundingLines().isEmpty()) {
            out.println();
            out.println("around that time:");
            out.print(renderLines(history.surroundingLines()));
        }
        return EXIT_SUCCESS;
    }

    private record ExplainedRequest(String request, String cause, List<LogLine> lines, List<LogLine> surroundings) {}

    private void readLog(String file, RequestHistory.Collector collector) throws IOException {
        if (file.equals("-")) {
            collectLines(input, collector);
            return;
        }
        Path path = Path.of(file);
        if (!Files.isReadable(path) || Files.isDirectory(path)) {
            throw new IllegalArgumentException("--logs: '" + file + "' cannot be read");
        }
        try (InputStream stream = Files.newInputStream(path)) {
            collectLines(stream, collector);
        }
    }

    /** Malformed UTF-8 is replaced, not an error: the lines around it must still be found. */
    private static void collectLines(InputStream stream, RequestHistory.Collector collector) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            collector.add(line);
        }
    }

    private static String renderLines(List<LogLine> lines) {
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

    private void printJson(Object document) {
        try {
            out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void sleepPollInterval() throws IOException {
        try {
            Thread.sleep(POLL_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
