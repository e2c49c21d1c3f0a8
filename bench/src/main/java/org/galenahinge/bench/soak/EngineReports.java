package org.galenahinge.bench.soak;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.galenahinge.standins.platform.EntryFleetStandIn;
import org.galenahinge.standins.platform.RecordingEngine;
import org.galenahinge.wire.generated.SlotLoad;

/** Sends the load reports of engines to entries, in place of their slot processes. A suspended VM sends none. */
final class EngineReports implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 100;

    private final List<RecordingEngine> engines;
    private final List<InetSocketAddress> receivers;
    private final DatagramSocket socket = new DatagramSocket();

    EngineReports(List<RecordingEngine> engines, List<InetSocketAddress> receivers) throws IOException {
        this.engines = List.copyOf(engines);
        this.receivers = List.copyOf(receivers);
    }

    /** Sends reports until it is interrupted. */
    void sendAll() throws InterruptedException {
        while (true) {
            for (RecordingEngine engine : engines) {
                Optional<RecordingEngine.Report> report = engine.report();
                report.ifPresent(this::send);
            }
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
        }
    }

    private void send(RecordingEngine.Report report) {
        for (int position = 0; position < receivers.size(); position++) {
            send(message(report, position).toByteArray(), receivers.get(position));
        }
    }

    private void send(byte[] bytes, InetSocketAddress receiver) {
        try {
            socket.send(new DatagramPacket(bytes, bytes.length, receiver));
        } catch (IOException e) {
            // Nobody listens while the entry's process is gone.
            return;
        }
    }

    private SlotLoad message(RecordingEngine.Report report, int position) {
        return SlotLoad.newBuilder()
                .setAddress("127.0.0.1:" + report.port())
                .setBornMillis(report.incarnationMillis())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setPace(1)
                .setLoading(report.loading())
                .setModel(EntryFleetStandIn.MODEL)
                .setVersion(report.version())
                .setSharePosition(position)
                .setShareReceivers(receivers.size())
                .build();
    }

    @Override
    public void close() {
        socket.close();
    }
}
