package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry is stopped while streams run whose heads were sent before. Each consumer sends its next request on the same
 * channel as soon as its stream has ended, since nothing told it that the channel closes.
 */
public final class RequestOnKeptChannelAtStop {
    private static final int CONSUMERS = 6;
    private static final int EVENT_PAUSE_MILLIS = 250;
    private static final int FIRST_EVENTS = 20;
    private static final int SECOND_EVENTS = 12;
    private static final int BUDGET_MILLIS = 6_000;

    private RequestOnKeptChannelAtStop() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, RequestOnKeptChannelAtStop::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record)) {
            deployment.publishConfig(
                    1, 100_000, Deployment.route("/draft/", "streaming", "drafts", BUDGET_MILLIS, 500));
            deployment.startServer("server-1", "drafts", RequestOnKeptChannelAtStop::stream);
            deployment.startServer("server-2", "drafts", RequestOnKeptChannelAtStop::stream);
            Deployment.Entry entry = deployment.startEntry("edge-bagmati-a-1");
            entry.awaitReady();
            Pause.millis(1_000);
            AtomicInteger lost = new AtomicInteger();
            List<Thread> consumers = new ArrayList<>();
            for (int number = 0; number < CONSUMERS; number++) {
                int consumer = number;
                consumers.add(Threads.start("consumer", () -> consume(entry, consumer, record, lost)));
                Pause.millis(37);
            }
            Pause.millis(500);
            if (trouble) {
                entry.terminate();
            }
            Threads.join(consumers, 20_000);
            deployment.recordLog(entry, 12);
            record.line(lost + " requests were passed on to a server and ended without a complete answer");
            return lost.get() == 0;
        }
    }

    private static void stream(Message request, ServerStandIn.Answer answer) throws IOException {
        int events = request.path().endsWith("/long") ? FIRST_EVENTS : SECOND_EVENTS;
        answer.beginStream();
        for (int event = 1; event <= events; event++) {
            answer.chunk("id: " + event + "\ndata: token\n\n");
            Pause.millis(EVENT_PAUSE_MILLIS);
        }
        answer.endStream();
    }

    private static void consume(Deployment.Entry entry, int consumer, CaseRecord record, AtomicInteger lost) {
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            boolean kept = request(channel, "first-" + consumer, "/draft/long", record, lost);
            if (kept) {
                request(channel, "second-" + consumer, "/draft/short", record, lost);
            }
        } catch (IOException e) {
            record.line("consumer " + consumer + ": " + e.getMessage());
        }
    }

    /** Returns whether the answer was complete and its channel may be used again. */
    private static boolean request(
            ConsumerChannel channel, String id, String path, CaseRecord record, AtomicInteger lost) throws IOException {
        channel.send(path, id, BUDGET_MILLIS + 32, new byte[2]);
        record.line("consumer sent " + id);
        Message answer = channel.readAnswer();
        if (answer == null) {
            record.line("consumer: the channel of " + id + " ended before an answer");
            return false;
        }
        record.line("consumer: answer to " + id + ": " + answer.startLine() + ", " + answer.body().length + " bytes, "
                + (answer.complete() ? "complete" : "CUT OFF") + ", Connection: " + answer.header("Connection"));
        if (!answer.complete()) {
            lost.incrementAndGet();
        }
        return answer.complete() && !answer.header("Connection").equalsIgnoreCase("close");
    }
}
