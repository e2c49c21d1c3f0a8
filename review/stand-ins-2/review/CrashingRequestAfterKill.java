package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A request crashes each server that begins to run it, and comes again at any entry. After it has crashed the third server,
 * all entries are killed and start again. Once they are in touch, the request must not reach servers in more than three
 * retries.
 */
final class CrashingRequestAfterKill implements CaseMain.Case {
    private static final int ENTRIES = 3;
    private static final int SERVERS = 8;
    private static final int MOST_RETRIES = 3;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final long DOWN_MILLIS = 500;
    private static final long BACK_MILLIS = 3_000;
    private static final long TOUCH_MILLIS = Deployment.STABLE_WINDOW_MILLIS + 1_000;
    private static final int REQUESTS_BEFORE = 6;
    private static final int REQUESTS_AFTER = 25;
    private static final String SERVICE = "desk";
    private static final String CRASHING_BODY = "the request that crashes servers";

    private final ScheduledExecutorService starts = Executors.newScheduledThreadPool(1, work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
    private int sent;

    @Override
    public boolean isBroken(CaseRecord record) throws Exception {
        try (Deployment deployment = new Deployment(ENTRIES)) {
            List<ServerStandIn> servers = startServers(deployment, record);
            deployment.putConfig(
                    1, 16_384, List.of(Deployment.route("/lookup/", "idempotent", SERVICE, 2)), List.of(SERVICE));
            deployment.startEntries();
            TimeUnit.MILLISECONDS.sleep(TOUCH_MILLIS);
            sendCrashingRequests(deployment, REQUESTS_BEFORE, record);
            if (crashNanos.size() < 3) {
                throw new IllegalStateException("the request has crashed only " + crashNanos.size() + " servers");
            }
            if (CaseRecord.hasTrouble()) {
                killAllEntries(deployment, record);
            }
            TimeUnit.MILLISECONDS.sleep(TOUCH_MILLIS);
            long fromNanos = System.nanoTime();
            record.show(crashNanos.size() + " servers crashed so far; from now on all entries are in touch");
            sendCrashingRequests(deployment, REQUESTS_AFTER, record);
            long retries = crashNanos.stream().filter(crash -> crash - fromNanos > 0).count();
            record.show("the request reached servers in " + retries + " retries since, allowed are " + MOST_RETRIES);
            servers.forEach(ServerStandIn::close);
            return retries > MOST_RETRIES;
        } finally {
            starts.shutdownNow();
        }
    }

    private List<ServerStandIn> startServers(Deployment deployment, CaseRecord record) throws IOException {
        List<ServerStandIn> servers = new ArrayList<>();
        for (int number = 1; number <= SERVERS; number++) {
            ServerStandIn server = new ServerStandIn(
                    "server-" + number, SERVICE, (self, request, answer) -> run(self, request, answer, deployment, record));
            server.start();
            deployment.store().put("servers/" + server.id(), server.entry());
            servers.add(server);
        }
        return servers;
    }

    private void run(
            ServerStandIn server,
            HttpMessage request,
            ServerAnswer answer,
            Deployment deployment,
            CaseRecord record)
            throws IOException {
        String id = request.header("Attempt-Id");
        if (!request.bodyText().equals(CRASHING_BODY)) {
            record.write(server.id() + " runs " + id);
            answer.succeed("done " + id);
            return;
        }
        crashNanos.add(System.nanoTime());
        record.write(server.id() + " begins to run " + id + " and crashes");
        server.crash();
        starts.schedule(() -> startAgain(server, deployment, record), BACK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void startAgain(ServerStandIn server, Deployment deployment, CaseRecord record) {
        try {
            server.start();
            deployment.store().put("servers/" + server.id(), server.entry());
            record.write(server.id() + " is back");
        } catch (IOException e) {
            record.write(server.id() + " could not start again: " + e.getMessage());
        }
    }

    /** Sends the request at the entries in turn, and a sound one of the same route each time. */
    private void sendCrashingRequests(Deployment deployment, int count, CaseRecord record) throws InterruptedException {
        for (int number = 0; number < count; number++) {
            EntryProcess entry = deployment.entries().get(number % ENTRIES);
            send(entry, "sound-" + sent, "/lookup/sound-" + sent, "sound", record);
            send(entry, "crashing-" + sent, "/lookup/crashing", CRASHING_BODY, record);
            sent++;
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    private static void send(EntryProcess entry, String id, String target, String body, CaseRecord record) {
        record.write("send " + id + " to " + entry.callers());
        try (CallerChannel channel = new CallerChannel(entry.callers())) {
            HttpMessage answer = channel.exchange(target, id, DEADLINE_MILLIS, "", body);
            record.write(id + " is answered " + CallerChannel.status(answer));
        } catch (IOException e) {
            record.write(id + " has no answer: " + e.getMessage());
        }
    }

    private static void killAllEntries(Deployment deployment, CaseRecord record) throws Exception {
        for (EntryProcess entry : deployment.entries()) {
            entry.kill();
        }
        record.show("all entries were killed");
        TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
        for (EntryProcess entry : deployment.entries()) {
            entry.start();
        }
        deployment.awaitReady();
        record.show("all entries are ready again");
    }
}
