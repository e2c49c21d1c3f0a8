package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Something happens to the servers of drafts and is over some seconds later. Long after, drafts, whose route a later config
 * added, must be served at least a quarter as often as orders, whose route was in the first config.
 */
abstract class LaterRouteCase implements CaseMain.Case {
    private static final int ENTRIES = 3;
    private static final int MODEL_SERVERS = 8;
    private static final int ORDER_SERVERS = 3;
    private static final int DRAFTS_PER_SECOND = 40;
    private static final int ORDERS_PER_SECOND = 10;
    private static final long BEFORE_MILLIS = 8_000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long JUDGED_MILLIS = 30_000;
    private static final int FIRST_EVENT_MILLIS = 450;
    private static final int EVENTS = 5;
    private static final int EVENT_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int LEAST_REQUESTS = 20;
    private static final String MODELS = "drafting";
    private static final String ORDERS = "orders";
    private static final String SHARED_PART = "5c1e07a2:40";

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;

    /** How a request that was sent at some time ended. */
    private record Outcome(boolean draft, long sentNanos, boolean served) {}

    @Override
    public boolean isBroken(CaseRecord record) throws Exception {
        try (Deployment deployment = new Deployment(ENTRIES)) {
            List<ServerStandIn> models = startServers(deployment, MODEL_SERVERS, MODELS, record);
            startServers(deployment, ORDER_SERVERS, ORDERS, record);
            List<String> services = List.of(MODELS, ORDERS);
            String orderRoute = Deployment.route("/order/", "non_idempotent", ORDERS, 2);
            deployment.putConfig(1, 16_384, List.of(orderRoute), services);
            deployment.startEntries();
            deployment.putConfig(2, 16_384, List.of(orderRoute, draftRoute()), services);
            TimeUnit.MILLISECONDS.sleep(Deployment.CONFIG_APPLY_MILLIS + Deployment.STABLE_WINDOW_MILLIS);
            startTraffic(deployment, record);
            long beforeNanos = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(BEFORE_MILLIS);
            long endNanos = System.nanoTime();
            if (CaseRecord.hasTrouble()) {
                disrupt(models, deployment, record);
            }
            TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS);
            long fromNanos = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(JUDGED_MILLIS);
            long untilNanos = System.nanoTime();
            stopped = true;
            TimeUnit.MILLISECONDS.sleep(DEADLINE_MILLIS);
            show("before", beforeNanos, endNanos - TimeUnit.SECONDS.toNanos(1), record);
            return show("later than recovery_s after the end", fromNanos, untilNanos, record);
        } finally {
            threads.shutdownNow();
        }
    }

    /** Shows how often both kinds were served in a time; returns whether drafts were served less than a quarter as often. */
    private boolean show(String time, long fromNanos, long untilNanos, CaseRecord record) {
        double drafts = servedShare(true, fromNanos, untilNanos, time, record);
        double orders = servedShare(false, fromNanos, untilNanos, time, record);
        return drafts < orders / 4;
    }

    private double servedShare(boolean draft, long fromNanos, long untilNanos, String time, CaseRecord record) {
        List<Outcome> sent = outcomes.stream()
                .filter(outcome -> outcome.draft() == draft)
                .filter(outcome -> outcome.sentNanos() - fromNanos > 0 && outcome.sentNanos() - untilNanos < 0)
                .toList();
        long served = sent.stream().filter(Outcome::served).count();
        record.show(time + ": " + served + " of " + sent.size() + (draft ? " drafts" : " orders") + " served");
        if (sent.size() < LEAST_REQUESTS) {
            throw new IllegalStateException("only " + sent.size() + " requests were sent");
        }
        return (double) served / sent.size();
    }

    private static String draftRoute() {
        return Deployment.route("/draft/", "streaming", MODELS, 2)
                .replace("\"sticky\":false,\"resumable\":false", "\"sticky\":true,\"resumable\":true");
    }

    private List<ServerStandIn> startServers(
            Deployment deployment, int count, String service, CaseRecord record) throws IOException {
        List<ServerStandIn> servers = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            ServerStandIn server = new ServerStandIn(service + "-" + number, service, (self, request, answer) -> {
                record.write(self.id() + " runs " + request.header("Attempt-Id"));
                run(service, request, answer);
            });
            server.start();
            deployment.store().put("servers/" + server.id(), server.entry());
            servers.add(server);
        }
        return servers;
    }

    private void run(String service, HttpMessage request, ServerAnswer answer) throws Exception {
        if (service.equals(ORDERS)) {
            TimeUnit.MILLISECONDS.sleep(30);
            answer.succeed("done " + request.header("Attempt-Id"));
            return;
        }
        prepare(answer);
        String last = request.header("Last-Event-Id");
        TimeUnit.MILLISECONDS.sleep(FIRST_EVENT_MILLIS);
        answer.beginStream();
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            answer.writeEvent(event);
            TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS);
        }
        answer.endStream();
    }

    /** Disrupts the servers of drafts, and returns when that is over. */
    abstract void disrupt(List<ServerStandIn> servers, Deployment deployment, CaseRecord record) throws Exception;

    /** Adds what the servers of drafts say in each answer. */
    void prepare(ServerAnswer answer) {}

    private void startTraffic(Deployment deployment, CaseRecord record) {
        threads.execute(() -> sendAtRate(true, DRAFTS_PER_SECOND, deployment, record));
        threads.execute(() -> sendAtRate(false, ORDERS_PER_SECOND, deployment, record));
    }

    private void sendAtRate(boolean draft, int perSecond, Deployment deployment, CaseRecord record) {
        try {
            for (int number = 0; !stopped; number++) {
                EntryProcess entry = deployment.entries().get(number % ENTRIES);
                String id = (draft ? "draft-" : "order-") + number;
                int last = number;
                threads.execute(() -> send(draft, id, last, entry, record));
                TimeUnit.MILLISECONDS.sleep(1_000 / perSecond);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(boolean draft, String id, int number, EntryProcess entry, CaseRecord record) {
        String prompt = "Model: m\r\nToken-Counts: 340,20\r\nPrompt-Prefix: " + SHARED_PART
                + String.format(",%08x:300\r\n", number);
        long sentNanos = System.nanoTime();
        record.write("send " + id);
        try (CallerChannel channel = new CallerChannel(entry.callers())) {
            HttpMessage answer = channel.exchange(
                    draft ? "/draft/new" : "/order/confirm", id, DEADLINE_MILLIS, draft ? prompt : "", "body of " + id);
            int status = CallerChannel.status(answer);
            String text = status == 200 ? "" : ": " + answer.bodyText().strip();
            record.write(id + " is answered " + status + text);
            outcomes.add(new Outcome(draft, sentNanos, status == 200));
        } catch (IOException e) {
            record.write(id + " has no answer: " + e.getMessage());
            outcomes.add(new Outcome(draft, sentNanos, false));
        }
    }
}
