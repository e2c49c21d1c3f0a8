package org.galenahinge.bench;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.Verdicts;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.WireTraffic;
import org.galenahinge.wire.generated.CallStart;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;

/** The connection of an entry to a slot process; a test decides when it reads. */
final class SlowEntry implements AutoCloseable {
    private static final int REQUEST_TIMEOUT_MILLIS = 30_000;

    private final NetworkThreads threads = NetworkThreads.start(1);
    private final AtomicInteger answered = new AtomicInteger();
    private final CountDownLatch reading = new CountDownLatch(1);
    private volatile boolean closed;
    private final WireConnection connection;
    private int nextRequest;

    private SlowEntry(WireAddress slot) {
        WireNetwork network = WireNetwork.create(threads, new WireTraffic(new MetricRegistry()));
        connection = network.connect(slot, new Handler()).toCompletableFuture().join();
        Hello hello = Hello.newBuilder().setVm("entry-2").setKind(Peers.ENTRY).build();
        connection.send(Frame.newBuilder().setHello(hello).build());
    }

    static SlowEntry connect(WireAddress slot) {
        return new SlowEntry(slot);
    }

    /** Sends a request to the service "orders". */
    void send(String path) {
        CallStart request = CallStart.newBuilder()
                .setRequestId("request-" + nextRequest++)
                .setPath(path)
                .setOrganisation("o")
                .setTimeoutMillis(REQUEST_TIMEOUT_MILLIS)
                .build();
        connection.open(Frame.newBuilder().setCallStart(request), new Listener());
    }

    /** Reads nothing until {@link #readAll}. */
    void stopReading() {
        threads.schedule(0, () -> {
            try {
                reading.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    void readAll() {
        reading.countDown();
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns how many responses came completely. */
    int answeredRequests() {
        return answered.get();
    }

    @Override
    public void close() {
        readAll();
        threads.close();
    }

    private final class Listener implements WireConnection.ExchangeListener {
        @Override
        public void responseReceived(Frame frame) {
            if (frame.hasCallEnd() && Verdicts.fromWire(frame.getCallEnd()) instanceof Verdict.Answered) {
                answered.incrementAndGet();
            }
        }

        @Override
        public void lost() {
            // The responses that came are counted.
        }
    }

    private final class Handler implements WireHandler {
        @Override
        public void opened(WireConnection opened) {
            // The hello is sent by the constructor.
        }

        @Override
        public void received(WireConnection from, Frame frame) {
            // The state of the slot process is of no interest here.
        }

        @Override
        public void closed(WireConnection lost) {
            closed = true;
        }
    }
}
