package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A config raises {@code max_header_bytes}. Long after it is in force, consumers send requests with heads that only the
 * new config allows on the channels that they have kept.
 */
final class RaisedHeaderLimit implements CaseMain.Case {
    private static final int ENTRIES = 3;
    private static final int CHANNELS = 30;
    private static final int OLD_LIMIT = 4_096;
    private static final int NEW_LIMIT = 16_384;
    private static final int LARGE_HEADER = 6_000;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final long SETTLE_MILLIS = Deployment.CONFIG_APPLY_MILLIS + Deployment.STABLE_WINDOW_MILLIS + 1_000;
    private static final String SERVICE = "orders";

    private int requests;
    private int denied;

    @Override
    public boolean isBroken(CaseRecord record) throws Exception {
        try (Deployment deployment = new Deployment(ENTRIES)) {
            startServers(deployment, record);
            putConfig(deployment, 1, CaseRecord.hasTrouble() ? OLD_LIMIT : NEW_LIMIT);
            deployment.startEntries();
            List<CallerChannel> channels = openChannels(deployment);
            TimeUnit.MILLISECONDS.sleep(Deployment.STABLE_WINDOW_MILLIS);
            sendOnEach(channels, "small", "", record);
            if (CaseRecord.hasTrouble()) {
                putConfig(deployment, 2, NEW_LIMIT);
                record.show("config 2 was acknowledged: max_header_bytes " + OLD_LIMIT + " -> " + NEW_LIMIT);
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            sendOnEach(channels, "large", "Session-State: " + "s".repeat(LARGE_HEADER) + "\r\n", record);
            channels.forEach(CallerChannel::close);
        }
        double allowed = 5 + requests / 500.0;
        record.show(denied + " of " + requests + " proper requests ended with a 4xx of the entry, allowed are " + allowed);
        return denied > allowed;
    }

    private static void startServers(Deployment deployment, CaseRecord record) throws IOException {
        for (int number = 1; number <= 3; number++) {
            ServerStandIn server = new ServerStandIn("server-" + number, SERVICE, (self, request, answer) -> {
                record.write(self.id() + " runs " + request.header("Attempt-Id"));
                answer.succeed("done " + request.header("Attempt-Id"));
            });
            server.start();
            deployment.store().put("servers/" + server.id(), server.entry());
        }
    }

    private static void putConfig(Deployment deployment, long version, int headerBytes) {
        List<String> routes = List.of(Deployment.route("/order/", "non_idempotent", SERVICE, 2));
        deployment.putConfig(version, headerBytes, routes, List.of(SERVICE));
    }

    private static List<CallerChannel> openChannels(Deployment deployment) throws IOException {
        List<CallerChannel> channels = new ArrayList<>();
        for (int number = 0; number < CHANNELS; number++) {
            channels.add(new CallerChannel(
                    deployment.entries().get(number % ENTRIES).callers()));
        }
        return channels;
    }

    private void sendOnEach(List<CallerChannel> channels, String name, String header, CaseRecord record) {
        for (int number = 0; number < channels.size(); number++) {
            String id = name + "-" + number;
            requests++;
            record.write("send " + id + " on kept channel " + number + ", header of " + header.length() + " bytes");
            try {
                HttpMessage answer =
                        channels.get(number).exchange("/order/confirm", id, DEADLINE_MILLIS, header, "order");
                int status = CallerChannel.status(answer);
                record.write(id + " is answered " + status + ": " + answer.bodyText().strip());
                boolean ownRefusal = answer.header("Server-Seal").isEmpty();
                boolean isDenial = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
                denied += ownRefusal && isDenial ? 1 : 0;
            } catch (IOException e) {
                record.write(id + " has no answer: " + e.getMessage());
            }
        }
    }
}
