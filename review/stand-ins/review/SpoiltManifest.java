package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator names version 2 of the weights. One digit of the origin's first answer with its manifest is spoilt; all
 * else that the origin sends is sound. Consumers ask for drafts and place orders all the while.
 */
public final class SpoiltManifest {
    private static final int SECONDS = 70;
    private static final int REQUEST_PAUSE_MILLIS = 200;
    private static final int DRAFT_BUDGET_MILLIS = 6_000;
    private static final int ORDER_BUDGET_MILLIS = 3_000;

    private SpoiltManifest() {}

    private static final class Count {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        double share() {
            return served.get() / (double) Math.max(1, sent.get());
        }

        @Override
        public String toString() {
            return served + " of " + sent + " served";
        }
    }

    public static void main(String[] arguments) {
        CaseRun.main(arguments, SpoiltManifest::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        AtomicBoolean spoilsNext = new AtomicBoolean(trouble);
        try (OriginStandIn origin = new OriginStandIn(
                        record, version -> version == 2 && spoilsNext.compareAndSet(true, false));
                Deployment deployment = new Deployment(record)) {
            deployment.publishEngineConfig(
                    1,
                    origin,
                    Deployment.route("/draft/", "streaming", "drafts", DRAFT_BUDGET_MILLIS, 500),
                    Deployment.route("/order/", "non_idempotent", "orders", ORDER_BUDGET_MILLIS, 388));
            deployment.startServer("orders-1", "orders", (request, answer) -> answer.whole(200, "ordered"));
            Deployment.Entry first = deployment.startEntry("edge-bagmati-a-1");
            Deployment.Entry second = deployment.startEntry("edge-bagmati-a-2");
            List<ModelServerStandIn> servers = List.of(
                    deployment.startModelServer("drafts-1", 1, SpoiltManifest::draft),
                    deployment.startModelServer("drafts-2", 1, SpoiltManifest::draft));
            first.awaitReady();
            second.awaitReady();
            Pause.millis(8_000);
            return play(deployment, List.of(first, second), servers, record);
        }
    }

    private static boolean play(
            Deployment deployment, List<Deployment.Entry> entries, List<ModelServerStandIn> servers, CaseRecord record)
            throws IOException {
        Count drafts = new Count();
        Count orders = new Count();
        List<Thread> consumers = new ArrayList<>();
        record.line("traffic starts");
        for (int number = 0; number < SECONDS * 1_000 / REQUEST_PAUSE_MILLIS; number++) {
            if (number == 1_000 / REQUEST_PAUSE_MILLIS) {
                record.line("the operator names version 2; the store acknowledges");
                deployment.store()
                        .put(
                                "op/version/" + OriginStandIn.MODEL,
                                "{\"model\":\"" + OriginStandIn.MODEL + "\",\"version\":2}");
            }
            Deployment.Entry entry = entries.get(number % entries.size());
            String id = "" + number;
            consumers.add(Threads.start(id, () -> request(entry, "/draft/x", "draft-" + id, drafts, record)));
            consumers.add(Threads.start(id, () -> request(entry, "/order/x", "order-" + id, orders, record)));
            Pause.millis(REQUEST_PAUSE_MILLIS);
        }
        Threads.join(consumers, 8_000);
        deployment.recordLog(entries.get(0), 4);
        servers.forEach(server -> record.line(server.server().key() + " holds version " + server.version()));
        record.line("drafts: " + drafts + "; orders: " + orders);
        double all = (drafts.served.get() + orders.served.get()) / (double) (drafts.sent.get() + orders.sent.get());
        return drafts.share() >= all / 4;
    }

    private static void draft(Message request, ServerStandIn.Answer answer) throws IOException {
        answer.beginStream();
        for (int event = 1; event <= 5; event++) {
            answer.chunk("id: " + event + "\ndata: token\n\n");
            Pause.millis(50);
        }
        answer.endStream();
    }

    private static void request(Deployment.Entry entry, String path, String id, Count count, CaseRecord record) {
        count.sent.incrementAndGet();
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            String model = path.startsWith("/draft/")
                    ? "Model: " + OriginStandIn.MODEL + "\r\nToken-Counts: 100,25\r\nPrompt-Prefix: 5c1e:40," + id.hashCode()
                            + ":60\r\n"
                    : "";
            channel.send(path, id, DRAFT_BUDGET_MILLIS, model, new byte[2]);
            Message answer = channel.readAnswer();
            boolean served = answer != null && answer.complete() && answer.status() == 200;
            count.served.addAndGet(served ? 1 : 0);
            if (!served) {
                record.line("consumer: " + id + ": " + (answer == null ? "no answer" : answer.startLine()));
            }
        } catch (IOException e) {
            record.line("consumer: " + id + ": " + e.getMessage());
        }
    }
}
