package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The requests that consumers of the small deployment send. */
final class Requests {
    static final String KEY = "jnbanfqasnmgkcuyj8pj";
    static final String SERVED = "status 200";

    private static final int ORDER_MILLIS = 800;
    private static final int DRAFT_MILLIS = 6_000;
    private static final int ANSWER_SLACK_MILLIS = 1_000;

    private Requests() {}

    /** Sends an order, which may run once at most, on an open channel; returns what came back. */
    static String order(CaseRun run, Consumer consumer, String key, String attemptId) throws IOException {
        consumer.send(
                "POST " + Deployment.ORDER_PATH + "2f",
                headers(attemptId, key, ORDER_MILLIS),
                "one board".getBytes(StandardCharsets.US_ASCII));
        String outcome = consumer.outcome(ORDER_MILLIS + ANSWER_SLACK_MILLIS);
        run.record("consumer sent " + attemptId + " with key " + key + ": " + outcome);
        return outcome;
    }

    /** Asks for a draft of the model on a channel of its own; returns what came back. */
    static String draft(Machine entry, String attemptId) throws IOException {
        String ownPart = Integer.toHexString(attemptId.hashCode());
        String headers = headers(attemptId, KEY, DRAFT_MILLIS) + "Model: " + Deployment.MODEL
                + "\r\nToken-Counts: 100,20\r\nPrompt-Prefix: 5c1e07a2:40," + ownPart + ":60\r\n";
        try (Consumer consumer = new Consumer(entry.host(), entry.consumerPort())) {
            consumer.send(
                    "POST " + Deployment.DRAFT_PATH + "2f", headers, "draft".getBytes(StandardCharsets.US_ASCII));
            return consumer.outcome(DRAFT_MILLIS + ANSWER_SLACK_MILLIS);
        }
    }

    /** Fails unless a request was served, since the case shows nothing then. */
    static void requireServed(String outcome) {
        if (!outcome.equals(SERVED)) {
            throw new IllegalStateException("a request was not served before the disruption: " + outcome);
        }
    }

    private static String headers(String attemptId, String key, int deadlineMillis) {
        return "Host: " + Deployment.HOST + "\r\nAttempt-Id: " + attemptId + "\r\nDeadline-Ms: " + deadlineMillis
                + "\r\nApi-Key: " + key + "\r\n";
    }
}
