package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.galenahinge.standins.platform.StoreStandIn;

/** A model server: it stages pieces, loads what is staged when it is ordered to, and reports what it holds. */
public final class ModelServerStandIn {
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");
    private static final int LAYERS = 16;

    private final StoreStandIn store;
    private final CaseRecord record;
    private final ServerStandIn server;
    private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();
    private volatile long version;
    private volatile int accepted;

    ModelServerStandIn(
            String id, String ip, long version, StoreStandIn store, CaseRecord record, ServerStandIn.Work work)
            throws IOException {
        this.store = store;
        this.record = record;
        this.version = version;
        for (int number = 0; version > 0 && number < OriginStandIn.PIECES; number++) {
            staged.put(number, OriginStandIn.piece(version, number));
        }
        this.server = new ServerStandIn(id, "drafts", ip, record, work, new Control());
        store.put(server.key(), server.storeRecord());
    }

    public String address() {
        return server.address();
    }

    public ServerStandIn server() {
        return server;
    }

    public long version() {
        return version;
    }

    private String weights() {
        if (version == 0) {
            return "\"models\":[],\"layers\":null";
        }
        return "\"models\":[{\"name\":\"" + OriginStandIn.MODEL + "\",\"version\":" + version
                + ",\"adapters\":[]}],\"layers\":{\"from\":0,\"to\":" + LAYERS + ",\"version\":" + version + "}";
    }

    private String report() {
        return "{\"stage\":\"both\"," + weights() + ",\"busy\":false,\"seq\":" + accepted
                + ",\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":5072000,\"handles\":0,\"pace\":1.0,\"born\":"
                + server.born() + "}";
    }

    private void order(Message call, ServerStandIn.Answer answer) throws IOException {
        Matcher named = VERSION.matcher(call.text());
        if (!named.find()) {
            answer.whole(400, "");
            return;
        }
        version = Long.parseLong(named.group(1));
        accepted++;
        record.line("server " + server.key() + " loads version " + version + ", staged pieces are "
                + (isStagedWhole() ? "whole" : "NOT WHOLE"));
        store.put(server.key(), server.storeRecord());
        answer.whole(202, "");
    }

    private boolean isStagedWhole() {
        for (int number = 0; number < OriginStandIn.PIECES; number++) {
            byte[] piece = staged.get(number);
            if (piece == null || !Arrays.equals(piece, OriginStandIn.piece(version, number))) {
                return false;
            }
        }
        return true;
    }

    private final class Control implements ServerStandIn.Control {
        @Override
        public String recordFields() {
            return "," + weights() + ",\"seq\":" + accepted;
        }

        @Override
        public void answer(Message call, ServerStandIn.Answer answer) throws IOException {
            if (call.path().equals("/galenahinge/report")) {
                answer.whole(200, report());
            } else if (call.path().startsWith("/galenahinge/stage-put/")) {
                staged.put((int) Query.number(call.path(), "num"), call.body());
                answer.whole(200, "");
            } else if (call.path().startsWith("/galenahinge/stage-get/")) {
                byte[] piece = staged.get((int) Query.number(call.path(), "num"));
                answer.whole(
                        piece == null ? 404 : 200,
                        piece == null ? "" : new String(piece, StandardCharsets.ISO_8859_1));
            } else {
                order(call, answer);
            }
        }
    }
}
