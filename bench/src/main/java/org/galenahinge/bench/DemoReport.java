package org.galenahinge.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.galenahinge.bench.LocalFleet.Vm;

/** Collects the results of the demonstration and the guarantees that were violated. */
final class DemoReport {
    private static final double MEGABYTE = 1 << 20;
    private static final double MAXIMUM_ORIGIN_COPIES = 4;

    private final Profile profile;
    private final List<String> lines = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    DemoReport(Profile profile) {
        this.profile = Objects.requireNonNull(profile, "profile");
    }

    void ticket(long number, boolean inForce, long millis) {
        line("ticket %d in force at every site: %s after %d ms", number, inForce ? "yes" : "NO", millis);
        expect(inForce, "the ticket did not come into force");
    }

    void spread(boolean ready, long millis, double originCopies) {
        line("all replicas of %s ready: %s after %d ms", profile.model(), ready ? "yes" : "NO", millis);
        line("bytes from the origin: %.2f copies", originCopies);
        expect(ready, "not all replicas became ready");
        expect(originCopies <= MAXIMUM_ORIGIN_COPIES, "more than four copies were downloaded from the origin");
    }

    void unanswered(long requests) {
        expect(requests == 0, requests + " requests have no outcome");
    }

    void load(long sent, OutcomeRecorder recorder, OutcomeRecorder.Audit audit, List<String> upstreamViolations) {
        line("requests sent: %d, retries by callers: %d", sent, recorder.callerRetries());
        line("%-14s %8s %8s", "verdict", "drafts", "orders");
        for (Outcome outcome : Outcome.values()) {
            String label = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
            line("%-14s %8d %8d", label, recorder.drafts(outcome), recorder.orders(outcome));
        }
        line("orders executed twice: %d", audit.doubled());
        line("orders with verdict not run that ran: %d", audit.falseNotRun());
        line("orders with verdict may have run that never ran: %d", audit.falseMayHaveRun());
        line(
                "first token, ms: p50 %.1f  p95 %.1f  p99 %.1f",
                recorder.firstTokenMillis(50), recorder.firstTokenMillis(95), recorder.firstTokenMillis(99));
        line(
                "between tokens, ms: p50 %.1f  p95 %.1f  p99 %.1f",
                recorder.betweenTokensMillis(50), recorder.betweenTokensMillis(95), recorder.betweenTokensMillis(99));
        line("order, ms: p50 %.1f  p99 %.1f", recorder.orderMillis(50), recorder.orderMillis(99));
        expect(audit.doubled() == 0, "an order was executed twice");
        expect(audit.falseNotRun() == 0, "an order with verdict not run had run");
        expect(audit.falseAnswered() == 0, "an order was answered that did not run");
        expect(recorder.drafts(Outcome.WRONG) == 0, "a draft ended as complete but its text is truncated or wrong");
        expect(recorder.drafts(Outcome.ANSWERED) > 0, "no draft was answered");
        expect(recorder.orders(Outcome.ANSWERED) > 0, "no order was answered");
        upstreamViolations.forEach(violation -> expect(false, violation));
        recorder.wrongResponses().forEach(description -> line("wrong response: %s", description));
    }

    void memory(LocalFleet fleet) {
        for (Vm vm : List.of(
                fleet.vms("entry").get(0), fleet.models().get(1), fleet.orders().get(0))) {
            line("resident memory of %s: %.0f MB", vm.name(), fleet.process(vm).residentBytes() / MEGABYTE);
        }
    }

    void stop(List<String> failed) {
        line("graceful stop: %s", failed.isEmpty() ? "every process ended with 0" : "FAILED for " + failed);
        expect(failed.isEmpty(), "a graceful stop failed: " + failed);
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    String render() {
        StringBuilder text = new StringBuilder("\n");
        lines.forEach(line -> text.append(line).append('\n'));
        if (violations.isEmpty()) {
            return text.append("every promise held\n").toString();
        }
        violations.forEach(
                violation -> text.append("BROKEN: ").append(violation).append('\n'));
        return text.toString();
    }

    private void line(String format, Object... values) {
        lines.add(String.format(Locale.ROOT, format, values));
    }

    private void expect(boolean condition, String failure) {
        if (!condition) {
            violations.add(failure);
        }
    }
}
