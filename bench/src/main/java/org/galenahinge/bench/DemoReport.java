package org.galenahinge.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.galenahinge.bench.LocalFleet.Vm;

/** Collects what the demonstration saw, and which promises were broken. */
final class DemoReport {
    private static final double MEGABYTE = 1 << 20;
    private static final double ORIGIN_COPIES_ALLOWED = 4;

    private final Profile profile;
    private final List<String> lines = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();

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
        expect(originCopies <= ORIGIN_COPIES_ALLOWED, "more than four copies were drawn from the origin");
    }

    void unanswered(long requests) {
        expect(requests == 0, requests + " requests never got an outcome");
    }

    void load(long sent, OutcomeRecorder recorder, OutcomeRecorder.Audit audit, List<String> violations) {
        line("requests sent: %d, repeated by callers: %d", sent, recorder.callerRetries());
        line("%-14s %8s %8s", "verdict", "drafts", "orders");
        for (Outcome outcome : Outcome.values()) {
            String label = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
            line("%-14s %8d %8d", label, recorder.drafts(outcome), recorder.orders(outcome));
        }
        line("orders executed twice: %d", audit.doubled());
        line("orders called not run that ran: %d", audit.falseNotRun());
        line("orders called may have run that never ran: %d", audit.falseMayHaveRun());
        line(
                "first token, ms: p50 %.1f  p95 %.1f  p99 %.1f",
                recorder.firstTokenMillis(50), recorder.firstTokenMillis(95), recorder.firstTokenMillis(99));
        line(
                "between tokens, ms: p50 %.1f  p95 %.1f  p99 %.1f",
                recorder.betweenTokensMillis(50), recorder.betweenTokensMillis(95), recorder.betweenTokensMillis(99));
        line("order, ms: p50 %.1f  p99 %.1f", recorder.orderMillis(50), recorder.orderMillis(99));
        expect(audit.doubled() == 0, "an order was executed twice");
        expect(audit.falseNotRun() == 0, "an order called not run had run");
        expect(audit.falseAnswered() == 0, "an order was answered that did not run");
        expect(recorder.drafts(Outcome.WRONG) == 0, "a draft was called whole that is not");
        expect(recorder.drafts(Outcome.ANSWERED) > 0, "no draft was answered");
        expect(recorder.orders(Outcome.ANSWERED) > 0, "no order was answered");
        violations.forEach(violation -> expect(false, violation));
        recorder.wrongResponses().forEach(complaint -> line("complaint: %s", complaint));
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

    List<String> broken() {
        return List.copyOf(broken);
    }

    String render() {
        StringBuilder text = new StringBuilder("\n");
        lines.forEach(line -> text.append(line).append('\n'));
        if (broken.isEmpty()) {
            return text.append("every promise held\n").toString();
        }
        broken.forEach(promise -> text.append("BROKEN: ").append(promise).append('\n'));
        return text.toString();
    }

    private void line(String format, Object... values) {
        lines.add(String.format(Locale.ROOT, format, values));
    }

    private void expect(boolean held, String promise) {
        if (!held) {
            broken.add(promise);
        }
    }
}
