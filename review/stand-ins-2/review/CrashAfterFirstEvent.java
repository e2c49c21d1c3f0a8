package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * One part of a prompt crashes each server that begins to write an answer on it: the server writes its first event and ends.
 * Later than a stable window after the fifth crash, no more than three requests with the part may reach servers.
 */
final class CrashAfterFirstEvent implements CaseMain.Case {
    private static final int ENTRIES = 3;
    private static final int SERVERS = 8;
    private static final int EVENTS = 5;
    private static final int FIRST_EVENT_MILLIS = 150;
    private static final int EVENT_MILLIS = 60;
    private static final int SOUND_PAUSE_MILLIS = 50;
    private static final int CRASHING_PAUSE_MILLIS = 700;
    private static final int DEADLINE_MILLIS = 4_000;
    private static final long BACK_MILLIS = 3_000;
    private static final long TRAFFIC_MILLIS = 35_000;
    private static final int COUNTED_CRASHES = 5;
    private static final int MOST_REQUESTS = 3;
    private static final String SERVICE = "drafting";
    private static final String SHARED_PART = "5c1e07a2:40";
    private static final String CRASHING_PART = "91bd3f06:30";

    private final ExecutorService threads = Executors.newCachedThreadPool(CrashAfterFirstEvent::daemon);
    private final ScheduledExecutorService starts =
            Executors.newScheduledThreadPool(1, CrashAfterFirstEvent::daemon);
    private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
    private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;

    @Override
    public boolean isBroken(CaseRecord record) throws Exception {
        try (Deployment deployment = new Deployment(ENTRIES)) {
            startServers(deployment, record);
            String route = Deployment.route("/draft/", "streaming", SERVICE, 2)
                    .replace("\"sticky\":false,\"resumable\":false", "\"sticky\":true,\"resumable\":true");
            deployment.putConfig(1, 16_384, List.of(route), List.of(SERVICE));
            deployment.startEntries();
            TimeUnit.MILLISECONDS.sleep(Deployment.STABLE_WINDOW_MILLIS + 1_000);
            threads.execute(() -> sendAtPause("sound", SOUND_PAUSE_MILLIS, deployment, record));
            threads.execute(() -> sendAtPause("crashing", CRASHING_PAUSE_MILLIS, deployment, record));
            TimeUnit.MILLISECONDS.sleep(TRAFFIC_MILLIS);
            stopped = true;
            TimeUnit.MILLISECONDS.sleep(DEADLINE_MILLIS);
            return judge(record);
        } finally {
            starts.shutdownNow();
            threads.shutdownNow();
        }
    }

    private boolean judge(CaseRecord record) {
        record.show(arrivalNanos.size() + " requests with the part reached servers, " + crashNanos.size() + " crashes");
        if (crashNanos.size() < COUNTED_CRASHES) {
            return false;
        }
        List<Long> ordered = crashNanos.stream().sorted().toList();
        long fromNanos = ordered.get(COUNTED_CRASHES - 1)
                + TimeUnit.MILLISECONDS.toNanos(Deployment.STABLE_WINDOW_MILLIS);
        long late = arrivalNanos.stream().filter(arrival -> arrival - fromNanos > 0).count();
        record.show(late + " of them later than stable_window_ms after the fifth crash, allowed are " + MOST_REQUESTS);
        return late > MOST_REQUESTS;
    }

    private void startServers(Deployment deployment, CaseRecord record) throws IOException {
        List<ServerStandIn> servers = new ArrayList<>();
        for (int number = 1; number <= SERVERS; number++) {
            ServerStandIn server = new ServerStandIn(
                    "server-" + number, SERVICE, (self, request, answer) -> run(self, request, answer, deployment, record));
            server.start();
            deployment.store().put("servers/" + server.id(), server.entry());
            servers.add(server);
        }
    }

    private void run(
            ServerStandIn server,
            HttpMessage request,
            ServerAnswer answer,
            Deployment deployment,
            CaseRecord record)
            throws Exception {
        boolean hasPart = request.header("Prompt-Prefix").contains(CRASHING_PART);
        record.write(server.id() + " begins " + request.header("Attempt-Id"));
        if (hasPart) {
            arrivalNanos.add(System.nanoTime());
        }
        TimeUnit.MILLISECONDS.sleep(FIRST_EVENT_MILLIS);
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        answer.beginStream();
        for (int event = first; event <= EVENTS; event++) {
            answer.writeEvent(event);
            TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS);
            if (hasPart && CaseRecord.hasTrouble()) {
                crash(server, deployment, record);
                return;
            }
        }
        answer.endStream();
    }

    private void crash(ServerStandIn server, Deployment deployment, CaseRecord record) {
        crashNanos.add(System.nanoTime());
        record.write(server.id() + " crashes");
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

    private void sendAtPause(String kind, int pauseMillis, Deployment deployment, CaseRecord record) {
        try {
            for (int number = 0; !stopped; number++) {
                EntryProcess entry = deployment.entries().get(number % ENTRIES);
                String id = kind + "-" + number;
                String parts = SHARED_PART + (kind.equals("crashing") ? "," + CRASHING_PART : "")
                        + String.format(",%08x:300", number);
                threads.execute(() -> send(id, parts, entry, record));
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(String id, String parts, EntryProcess entry, CaseRecord record) {
        String prompt = "Model: m\r\nToken-Counts: 370,20\r\nPrompt-Prefix: " + parts + "\r\n";
        record.write("send " + id);
        try (CallerChannel channel = new CallerChannel(entry.callers())) {
            HttpMessage answer = channel.exchange("/draft/new", id, DEADLINE_MILLIS, prompt, "body of " + id);
            record.write(id + " is answered " + CallerChannel.status(answer));
        } catch (IOException e) {
            record.write(id + " has no whole answer: " + e.getMessage());
        }
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }
}
