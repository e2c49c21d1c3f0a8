package org.galenahinge.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The history of one request, from the logs of several nodes: the log lines of the request, other lines that its nodes
 * logged at about the same time, and a sentence that explains how the request ended.
 *
 * <p>Reads logs of older builds too, so the event and field names stay as they are.
 *
 * <p>Lines are sorted by time; lines with the same time stay in the order in which they were added. The clocks of VMs
 * differ and may jump, so the order of lines of different nodes is approximate.
 */
public final class RequestHistory {
    /** How long before the first and after the last line of the request other lines may be related, in milliseconds. */
    private static final long SURROUNDING_WINDOW_MILLIS = 3_000;

    /** The maximum number of other lines that are kept for each node while lines are added; the oldest are dropped. */
    private static final int MAXIMUM_LINES_KEPT_PER_NODE = 20_000;

    /** The maximum number of other lines in a history. */
    private static final int MAXIMUM_SURROUNDING_LINES = 40;

    private static final Set<String> ENGINE_LOAD_EVENTS = Set.of("engine_ordered", "weights_in_use", "weights_missed");
    private static final Set<String> LOSS_EVENTS = Set.of(
            "upstream_absent",
            "upstream_lapsed",
            "entry_dead",
            "entry_suspect",
            "engine_lost",
            "engine_reborn",
            "facts_stale",
            "facts_source_failed");

    private final List<LogLine> requestLines;
    private final List<LogLine> surroundingLines;

    private RequestHistory(List<LogLine> requestLines, List<LogLine> surroundingLines) {
        this.requestLines = requestLines;
        this.surroundingLines = surroundingLines;
    }

    /**
     * Starts to collect the log lines of a request.
     *
     * @param requestId the id that the caller gave the request
     * @return the collector
     */
    public static Collector collect(String requestId) {
        return new Collector(Objects.requireNonNull(requestId, "requestId"));
    }

    /** Collects log lines and keeps those that may belong to the history. */
    public static final class Collector {
        private final String requestId;
        private final List<LogLine> requestLines = new ArrayList<>();
        private final Map<String, Deque<LogLine>> otherLinesByNode = new HashMap<>();

        private Collector(String requestId) {
            this.requestId = requestId;
        }

        /**
         * Adds a line of any node. The lines of one node must be added in the order in which it wrote them.
         *
         * @param text the line; ignored if this system did not write it
         */
        public void add(String text) {
            LogLine.parse(text).ifPresent(this::add);
        }

        private void add(LogLine line) {
            if (line.belongsTo(requestId)) {
                requestLines.add(line);
                return;
            }
            if (!line.field("request").isEmpty()) {
                return;
            }
            Deque<LogLine> kept = otherLinesByNode.computeIfAbsent(line.node(), node -> new ArrayDeque<>());
            kept.addLast(line);
            if (kept.size() > MAXIMUM_LINES_KEPT_PER_NODE) {
                kept.removeFirst();
            }
        }

        /**
         * Creates the history from the lines added so far.
         *
         * @return the history
         */
        public RequestHistory toHistory() {
            List<LogLine> ordered = new ArrayList<>(requestLines);
            ordered.sort(Comparator.comparingLong(LogLine::atMillis));
            return new RequestHistory(List.copyOf(ordered), ordered.isEmpty() ? List.of() : surroundingLines(ordered));
        }

        private List<LogLine> surroundingLines(List<LogLine> ordered) {
            long from = ordered.get(0).atMillis() - SURROUNDING_WINDOW_MILLIS;
            long to = ordered.get(ordered.size() - 1).atMillis() + SURROUNDING_WINDOW_MILLIS;
            Set<String> nodes = ordered.stream().map(LogLine::node).collect(Collectors.toSet());
            Set<String> upstreams = upstreamsOf(ordered);
            return otherLinesByNode.values().stream()
                    .flatMap(Collection::stream)
                    .filter(line -> line.atMillis() >= from && line.atMillis() <= to)
                    .filter(line -> nodes.contains(line.node())
                            || line.fields().values().stream().anyMatch(upstreams::contains)
                            || ENGINE_LOAD_EVENTS.contains(line.event()))
                    .sorted(Comparator.comparingLong(LogLine::atMillis))
                    .limit(MAXIMUM_SURROUNDING_LINES)
                    .toList();
        }
    }

    /**
     * Returns the log lines of the request.
     *
     * @return the lines sorted by time, empty if no log has any
     */
    public List<LogLine> requestLines() {
        return requestLines;
    }

    /**
     * Returns other lines from about the same time: those of the nodes or upstreams of the request, and those of
     * engines that load.
     *
     * @return at most 40 lines, sorted by time
     */
    public List<LogLine> surroundingLines() {
        return surroundingLines;
    }

    /**
     * Explains how the request ended.
     *
     * @return a sentence, or empty if no log has a line of the request
     */
    public Optional<String> cause() {
        if (requestLines.isEmpty()) {
            return Optional.empty();
        }
        LogLine last = requestLines.get(requestLines.size() - 1);
        String sentence = switch (last.event()) {
            case "answered" -> completed(last);
            case "refused" -> rejectedOrFailed(last);
            case "rejected" -> "The received bytes were not accepted as a request: " + last.field("reason") + ".";
            case "caller_left" -> callerDisconnected();
            default -> unfinished(last);
        };
        return Optional.of(sentence);
    }

    private String completed(LogLine end) {
        StringBuilder sentence = new StringBuilder("Upstream ")
                .append(end.field("upstream"))
                .append(" answered with status ")
                .append(end.field("status"))
                .append(" after ")
                .append(end.field("took_ms"))
                .append(" ms, the first byte arrived ")
                .append(end.field("first_byte_ms"))
                .append(" ms after it was sent (predicted: ")
                .append(end.field("predicted_ms"))
                .append(" ms)");
        last("placed")
                .filter(placed -> number(placed, "waited_ms") > 0)
                .ifPresent(placed -> sentence.append(", of which it waited ")
                        .append(placed.field("waited_ms"))
                        .append(" ms for a free slot"));
        last("attempt_failed")
                .ifPresent(failed -> sentence.append("; before that ").append(describeFailure(failed)));
        return sentence.append('.').toString();
    }

    private String rejectedOrFailed(LogLine end) {
        String why = switch (end.field("reason")) {
            case "full" -> "all slots of the service " + end.field("service") + " were taken" + whileLoading();
            case "coming" ->
                "the engines of " + end.field("service") + " did not hold the wanted weights yet" + whileLoading();
            case "no_upstream", "region" -> end.field("detail") + latestEvent(LOSS_EVENTS);
            case "unconfigured" ->
                "node " + end.node() + " had just started and had no configuration yet"
                        + latestEvent(Set.of("started"));
            case "may_have_run", "not_run" ->
                last("attempt_failed").map(RequestHistory::describeFailure).orElse(end.field("detail"))
                        + latestEvent(LOSS_EVENTS);
            case "timeout" -> end.field("detail") + whileLoading();
            case "paused" -> end.field("detail") + latestEvent(Set.of("upstream_retry_after"));
            case "evacuated" -> end.field("detail") + latestEvent(Set.of("evacuation_begun"));
            default ->
                end.field("detail") + " by configuration " + end.field("config")
                        + latestEvent(Set.of("configuration_taken"));
        };
        return ending(end.field("status")) + " after " + end.field("took_ms") + " ms: " + why + ".";
    }

    private static String ending(String status) {
        if (status.startsWith("4")) {
            return "Rejected with status " + status + " (it was not sent on)";
        }
        if (status.equals("503")) {
            return "Rejected with status " + status + " (it has not run)";
        }
        return "Failed with status " + status + " (it may have run)";
    }

    private String callerDisconnected() {
        return last("placed")
                .map(placed -> "The caller disconnected while the request was at upstream " + placed.field("upstream")
                        + " (predicted: " + placed.field("predicted_ms") + " ms).")
                .orElse("The caller disconnected while the request waited for a free slot.");
    }

    /** Explains a history without an end: a process that is killed or cut off does not log the end of its requests. */
    private String unfinished(LogLine last) {
        String end = "No log line records its end after '" + last.event() + "' on node " + last.node();
        return surroundingLines.stream()
                .filter(line -> line.node().equals(last.node()) && line.atMillis() >= last.atMillis())
                .filter(line -> line.event().equals("started"))
                .findFirst()
                .map(line -> end + ": its process terminated without a regular stop and started again "
                        + (line.atMillis() - last.atMillis()) + " ms later.")
                .orElse(end
                        + ": the process was terminated, paused or cut off, or log lines were dropped"
                        + " (see lines_left_out).");
    }

    private static String describeFailure(LogLine failed) {
        return "upstream " + failed.field("upstream") + " failed after " + failed.field("after_ms") + " ms ("
                + failed.field("outcome") + ", " + failed.field("detail") + "), and the decision was "
                + failed.field("next");
    }

    private String whileLoading() {
        long loads = surroundingLines.stream()
                .filter(line -> line.event().equals("engine_ordered"))
                .count();
        return loads == 0 ? "" : ", while " + loads + " engines received load commands";
    }

    private String latestEvent(Set<String> events) {
        Set<String> upstreams = upstreamsOf(requestLines);
        return surroundingLines.stream()
                .filter(line -> events.contains(line.event()))
                .filter(line -> line.field("upstream").isEmpty() || upstreams.contains(line.field("upstream")))
                .reduce((before, later) -> later)
                .map(line -> "; node " + line.node() + " logged " + line.event() + " "
                        + (line.atMillis() - requestLines.get(0).atMillis()) + " ms after the request began")
                .orElse("");
    }

    private static Set<String> upstreamsOf(List<LogLine> lines) {
        return lines.stream()
                .map(line -> line.field("upstream"))
                .filter(upstream -> !upstream.isEmpty())
                .collect(Collectors.toSet());
    }

    private Optional<LogLine> last(String event) {
        return requestLines.stream().filter(line -> line.event().equals(event)).reduce((before, later) -> later);
    }

    private static long number(LogLine line, String field) {
        String value = line.field(field);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }
}
