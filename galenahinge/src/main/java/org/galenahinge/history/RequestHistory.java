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
 * What the logs of several nodes tell of one request: its own lines in order, what its nodes learned around that time,
 * and the cause of its end in a sentence.
 *
 * <p>Clocks of VMs differ and may jump: lines of one node stay in the order in which it wrote them.
 */
public final class RequestHistory {
    /** How far from a request's own lines other lines may belong to its story, in milliseconds. */
    private static final long AROUND_MILLIS = 3_000;

    private static final int SURROUNDINGS_KEPT_PER_NODE = 20_000;
    private static final int SURROUNDINGS_SHOWN = 40;
    private static final Set<String> LOADING = Set.of("engine_ordered", "weights_in_use", "weights_missed");
    private static final Set<String> LOSSES = Set.of(
            "upstream_absent",
            "upstream_lapsed",
            "entry_dead",
            "entry_suspect",
            "engine_lost",
            "engine_reborn",
            "facts_stale",
            "facts_source_failed");

    private final List<LogLine> own;
    private final List<LogLine> surroundings;

    private RequestHistory(List<LogLine> own, List<LogLine> surroundings) {
        this.own = own;
        this.surroundings = surroundings;
    }

    /**
     * Begins to gather a request's lines.
     *
     * @param requestId the caller's id of the request
     * @return takes in lines of any nodes, each node's in its order
     */
    public static Gatherer of(String requestId) {
        return new Gatherer(Objects.requireNonNull(requestId, "requestId"));
    }

    /** Takes in lines one by one, and keeps those that may matter. */
    public static final class Gatherer {
        private final String requestId;
        private final List<LogLine> own = new ArrayList<>();
        private final Map<String, Deque<LogLine>> others = new HashMap<>();

        private Gatherer(String requestId) {
            this.requestId = requestId;
        }

        /**
         * Takes in a line.
         *
         * @param text the line; one that this system has not written is left out
         */
        public void add(String text) {
            LogLine.parse(text).ifPresent(this::add);
        }

        private void add(LogLine line) {
            if (line.isAbout(requestId)) {
                own.add(line);
                return;
            }
            if (!line.field("request").isEmpty()) {
                return;
            }
            Deque<LogLine> kept = others.computeIfAbsent(line.node(), node -> new ArrayDeque<>());
            kept.addLast(line);
            if (kept.size() > SURROUNDINGS_KEPT_PER_NODE) {
                kept.removeFirst();
            }
        }

        /**
         * Ends the gathering.
         *
         * @return the history
         */
        public RequestHistory finish() {
            List<LogLine> ordered = new ArrayList<>(own);
            ordered.sort(Comparator.comparingLong(LogLine::atMillis));
            return new RequestHistory(List.copyOf(ordered), ordered.isEmpty() ? List.of() : near(ordered));
        }

        private List<LogLine> near(List<LogLine> ordered) {
            long from = ordered.get(0).atMillis() - AROUND_MILLIS;
            long to = ordered.get(ordered.size() - 1).atMillis() + AROUND_MILLIS;
            Set<String> nodes = ordered.stream().map(LogLine::node).collect(Collectors.toSet());
            Set<String> upstreams = upstreamsOf(ordered);
            return others.values().stream()
                    .flatMap(Collection::stream)
                    .filter(line -> line.atMillis() >= from && line.atMillis() <= to)
                    .filter(line -> nodes.contains(line.node())
                            || line.fields().values().stream().anyMatch(upstreams::contains)
                            || LOADING.contains(line.event()))
                    .sorted(Comparator.comparingLong(LogLine::atMillis))
                    .limit(SURROUNDINGS_SHOWN)
                    .toList();
        }
    }

    /**
     * Returns the request's own lines.
     *
     * @return the lines in order, empty when no log has one
     */
    public List<LogLine> own() {
        return own;
    }

    /**
     * Returns what the nodes concerned learned around that time, and which engines loaded.
     *
     * @return the lines in order
     */
    public List<LogLine> surroundings() {
        return surroundings;
    }

    /**
     * Says why the request ended as it did.
     *
     * @return a sentence, or empty when no log has a line of it
     */
    public Optional<String> cause() {
        if (own.isEmpty()) {
            return Optional.empty();
        }
        LogLine last = own.get(own.size() - 1);
        String sentence = switch (last.event()) {
            case "answered" -> answered(last);
            case "refused" -> refused(last);
            case "rejected" -> "The bytes were not taken as a request: " + last.field("reason") + ".";
            case "caller_left" -> callerLeft();
            default -> unfinished(last);
        };
        return Optional.of(sentence);
    }

    private String answered(LogLine end) {
        StringBuilder sentence = new StringBuilder("Upstream ")
                .append(end.field("upstream"))
                .append(" answered with status ")
                .append(end.field("status"))
                .append(" after ")
                .append(end.field("took_ms"))
                .append(" ms, the first byte came ")
                .append(end.field("first_byte_ms"))
                .append(" ms after it was sent (predicted: ")
                .append(end.field("predicted_ms"))
                .append(" ms)");
        last("placed")
                .filter(placed -> number(placed, "waited_ms") > 0)
                .ifPresent(placed -> sentence.append(", of which it waited ")
                        .append(placed.field("waited_ms"))
                        .append(" ms for a place"));
        last("attempt_failed")
                .ifPresent(failed -> sentence.append("; before that ").append(describe(failed)));
        return sentence.append('.').toString();
    }

    private String refused(LogLine end) {
        String why = switch (end.field("reason")) {
            case "full" -> "all places of the service " + end.field("service") + " were taken" + whileLoading();
            case "coming" ->
                "the engines of " + end.field("service") + " did not hold the wanted weights yet" + whileLoading();
            case "no_upstream" -> end.field("detail") + after(LOSSES);
            case "unconfigured" ->
                "node " + end.node() + " had just started and knew no configuration" + after(Set.of("started"));
            case "may_have_run", "not_run" ->
                last("attempt_failed").map(RequestHistory::describe).orElse(end.field("detail")) + after(LOSSES);
            case "timeout" -> end.field("detail") + whileLoading();
            default ->
                end.field("detail") + " by configuration " + end.field("config") + after(Set.of("configuration_taken"));
        };
        String promise = end.field("status").equals("503") ? "it has not run" : "it may have run";
        boolean own4xx = end.field("status").startsWith("4");
        return "Refused with status " + end.field("status") + " (" + (own4xx ? "it was not sent on" : promise)
                + ") after " + end.field("took_ms") + " ms: " + why + ".";
    }

    private String callerLeft() {
        return last("placed")
                .map(placed -> "The caller left while upstream " + placed.field("upstream")
                        + " had the request (predicted: " + placed.field("predicted_ms") + " ms).")
                .orElse("The caller left while the request waited for a place.");
    }

    /** A process that is killed or cut off writes no end. */
    private String unfinished(LogLine last) {
        String end = "No line tells of its end after '" + last.event() + "' on node " + last.node();
        return surroundings.stream()
                .filter(line -> line.node().equals(last.node()) && line.atMillis() >= last.atMillis())
                .filter(line -> line.event().equals("started"))
                .findFirst()
                .map(line -> end + ": its process ended without a stop and started again "
                        + (line.atMillis() - last.atMillis()) + " ms later.")
                .orElse(end
                        + ": the process was ended, paused or cut off, or lines were left out (see lines_left_out).");
    }

    private static String describe(LogLine failed) {
        return "upstream " + failed.field("upstream") + " failed after " + failed.field("after_ms") + " ms ("
                + failed.field("outcome") + ", " + failed.field("detail") + "), and the decision was "
                + failed.field("next");
    }

    private String whileLoading() {
        long loads = surroundings.stream()
                .filter(line -> line.event().equals("engine_ordered"))
                .count();
        return loads == 0 ? "" : ", while " + loads + " engines were ordered to load";
    }

    private String after(Set<String> events) {
        Set<String> upstreams = upstreamsOf(own);
        return surroundings.stream()
                .filter(line -> events.contains(line.event()))
                .filter(line -> line.field("upstream").isEmpty() || upstreams.contains(line.field("upstream")))
                .reduce((before, later) -> later)
                .map(line -> "; node " + line.node() + " logged " + line.event() + " "
                        + (line.atMillis() - own.get(0).atMillis()) + " ms after the request began")
                .orElse("");
    }

    private static Set<String> upstreamsOf(List<LogLine> lines) {
        return lines.stream()
                .map(line -> line.field("upstream"))
                .filter(upstream -> !upstream.isEmpty())
                .collect(Collectors.toSet());
    }

    private Optional<LogLine> last(String event) {
        return own.stream().filter(line -> line.event().equals(event)).reduce((before, later) -> later);
    }

    private static long number(LogLine line, String field) {
        String value = line.field(field);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }
}
