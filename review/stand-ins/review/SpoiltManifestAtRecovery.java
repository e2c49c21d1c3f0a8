package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The final fault of a day: all processes of the system are killed right after the store has acknowledged that version 2
 * of the weights is named. They start again a second later. One digit of the origin's first answer with the manifest of
 * version 2 is spoilt then; all else that the origin sends is sound. Traffic goes on through the recovery.
 */
public final class SpoiltManifestAtRecovery {
    private static final int SETTLE_MILLIS = 8_000;
    private static final int BEFORE_MILLIS = 8_000;
    private static final int DOWN_MILLIS = 1_000;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int AFTER_MILLIS = 12_000;
    private static final int REQUEST_PAUSE_MILLIS = 50;
    /** One request of nine is an order, as the sheet's rates have it. */
    private static final int REQUESTS_PER_ORDER = 9;

    private static final int DRAFT_BUDGET_MILLIS = 6_000;
    private static final int ORDER_BUDGET_MILLIS = 3_000;
    private static final double LEAST_SHARE = 0.25;

    private SpoiltManifestAtRecovery() {}

    /** The requests of a span of time. */
    private static final class Span {
        private final String name;
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        Span(String name) {
            this.name = name;
        }

        double share() {
            return served.get() / (double) Math.max(1, sent.get());
        }

        @Override
        public String toString() {
            return name + ": " + served + " of " + sent + " requests served";
        }
    }

    public static void main(String[] arguments) {
        CaseRun.main(arguments, SpoiltManifestAtRecovery::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        AtomicBoolean spoilsNext = new AtomicBoolean();
        try (OriginStandIn origin = new OriginStandIn(
                        record, version -> version == 2 && spoilsNext.compareAndSet(true, false));
                Deployment deployment = new Deployment(record)) {
            List<Deployment.Entry> entries = new ArrayList<>();
            List<ModelServerStandIn> servers = start(deployment, origin, entries);
            List<Thread> consumers = new ArrayList<>();
            Span before = new Span("before the final fault");
            play(entries, BEFORE_MILLIS, before, consumers, record);
            nameVersion(deployment, record);
            spoilsNext.set(trouble);
            deployment.killAll(DOWN_MILLIS);
            play(entries, RECOVERY_MILLIS, new Span("recovery"), consumers, record);
            Span after = new Span("later than recovery_s after the machines are back");
            play(entries, AFTER_MILLIS, after, consumers, record);
            Threads.join(consumers, 8_000);
            deployment.recordLog(entries.get(0), 4);
            servers.forEach(server -> record.line(server.server().key() + " holds version " + server.version()));
            record.line(before.toString());
            record.line(after.toString());
            return before.share() < LEAST_SHARE || after.share() >= LEAST_SHARE;
        }
    }

    private static List<ModelServerStandIn> start(
            Deployment deployment, OriginStandIn origin, List<Deployment.Entry> entries) throws IOException {
        deployment.publishEngineConfig(
                1,
                origin,
                Deployment.route("/draft/", "streaming", "drafts", DRAFT_BUDGET_MILLIS, 500),
                Deployment.route("/order/", "non_idempotent", "orders", ORDER_BUDGET_MILLIS, 388));
        deployment.startServer("orders-1", "orders", (request, answer) -> answer.whole(200, "ordered"));
        entries.add(deployment.startEntry("edge-bagmati-a-1"));
        entries.add(deployment.startEntry("edge-bagmati-a-2"));
        List<ModelServerStandIn> servers = List.of(
                deployment.startModelServer("drafts-1", 1, SpoiltManifestAtRecovery::draft),
                deployment.startModelServer("drafts-2", 1, SpoiltManifestAtRecovery::draft));
        entries.forEach(Deployment.Entry::awaitReady);
        Pause.millis(SETTLE_MILLIS);
        return servers;
    }

    private static void nameVersion(Deployment deployment, CaseRecord record) {
        String model = OriginStandIn.MODEL;
        deployment.store().put("op/version/" + model, "{\"model\":\"" + model + "\",\"version\":2}");
        record.line("the operator has named version 2, and the store has acknowledged it");
    }

    private static void play(
            List<Deployment.Entry> entries, int millis, Span span, List<Thread> consumers, CaseRecord record) {
        record.line("traffic: " + span.name);
        for (int number = 0; number < millis / REQUEST_PAUSE_MILLIS; number++) {
            Deployment.Entry entry = entries.get(number % entries.size());
            boolean isOrder = number % REQUESTS_PER_ORDER == 0;
            String id = (isOrder ? "order-" : "draft-") + span.name.charAt(0) + "-" + number;
            consumers.add(Threads.start(id, () -> request(entry, isOrder, id, span, record)));
            Pause.millis(REQUEST_PAUSE_MILLIS);
        }
    }

    private static void draft(Message request, ServerStandIn.Answer answer) throws IOException {
        answer.beginStream();
        for (int event = 1; event <= 5; event++) {
            answer.chunk("id: " + event + "\ndata: token\n\n");
            Pause.millis(50);
        }
        answer.endStream();
    }

    private static void request(
            Deployment.Entry entry, boolean isOrder, String id, Span span, CaseRecord record) {
        span.sent.incrementAndGet();
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            send(channel, isOrder, id);
            Message answer = channel.readAnswer();
            boolean served = answer != null && answer.complete() && answer.status() == 200;
            span.served.addAndGet(served ? 1 : 0);
            if (!served) {
                record.line("consumer: " + id + ": " + (answer == null ? "no answer" : answer.startLine()));
            }
        } catch (IOException e) {
            record.line("consumer: " + id + ": " + e.getMessage());
        }
    }

    private static void send(ConsumerChannel channel, boolean isOrder, String id) throws IOException {
        if (isOrder) {
            channel.send("/order/place", id, ORDER_BUDGET_MILLIS, new byte[600]);
            return;
        }
        String prompt = "Model: " + OriginStandIn.MODEL + "\r\nToken-Counts: 100,25\r\nPrompt-Prefix: 5c1e:40,"
                + Integer.toHexString(id.hashCode()) + ":60\r\n";
        channel.send("/draft/x", id, DRAFT_BUDGET_MILLIS, prompt, new byte[2]);
    }
}
