package review;

import java.io.IOException;
import java.util.List;

/**
 * The slot process of a model server stands still after it has read back the staged pieces and before it orders the
 * server to load them. One piece turns bad meanwhile.
 */
public final class FreezeBeforeLoad {
    private static final int FREEZE_MILLIS = 3_900;
    private static final int WAIT_MILLIS = 20_000;
    private static final int DRAFT_BUDGET_MILLIS = 6_000;

    private FreezeBeforeLoad() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, FreezeBeforeLoad::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        try (OriginStandIn origin = new OriginStandIn(record, version -> false);
                Deployment deployment = new Deployment(record)) {
            deployment.publishEngineConfig(
                    1, origin, Deployment.route("/draft/", "streaming", "drafts", DRAFT_BUDGET_MILLIS, 500));
            Deployment.Entry entry = deployment.startEntry("edge-bagmati-a-1");
            ModelServerStandIn server = deployment.startModelServer("drafts-1", 0, FreezeBeforeLoad::draft);
            Process slot = deployment.slotOf(server);
            server.onWholeReadBack(() -> Threads.start("trouble", () -> trouble(slot, server, record, trouble)));
            entry.awaitReady();
            for (int waited = 0; waited < WAIT_MILLIS && server.version() == 0; waited += 100) {
                Pause.millis(100);
            }
            Pause.millis(1_000);
            if (server.version() == 0) {
                throw new IllegalStateException("the server was not ordered to load");
            }
            if (!server.loadedWhole()) {
                draft(entry, record);
            }
            return server.loadedWhole();
        }
    }

    private static void trouble(Process slot, ModelServerStandIn server, CaseRecord record, boolean freeze) {
        if (freeze) {
            record.line("the slot process stands still");
            signal("STOP", slot);
        }
        server.spoil(7);
        record.line("piece 7 turns bad");
        if (freeze) {
            Pause.millis(FREEZE_MILLIS);
            record.line("the slot process goes on");
            signal("CONT", slot);
        }
    }

    private static void signal(String name, Process process) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new IllegalStateException("cannot send the signal " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void draft(Message request, ServerStandIn.Answer answer) throws IOException {
        answer.beginStream();
        answer.chunk("id: 1\ndata: token\n\n");
        answer.endStream();
    }

    private static void draft(Deployment.Entry entry, CaseRecord record) throws IOException {
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            String model = "Model: " + OriginStandIn.MODEL + "\r\nToken-Counts: 100,25\r\nPrompt-Prefix: 5c1e:40,77:60\r\n";
            channel.send("/draft/x", "draft-1", DRAFT_BUDGET_MILLIS, model, new byte[2]);
            Message answer = channel.readAnswer();
            record.line("consumer: draft-1: " + (answer == null ? "none" : answer.startLine()));
        }
    }
}
