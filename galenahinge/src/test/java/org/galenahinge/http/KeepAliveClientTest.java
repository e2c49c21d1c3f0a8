package org.galenahinge.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;

class KeepAliveClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int MAXIMUM_BYTES = 1 << 10;

    /** Guards against a load command that is sent although what it rests on was outdated while it waited. */
    @Test
    void doesNotSendARequestThatBecameInvalidWhileItWaited() throws Exception {
        Queue<String> received = new ConcurrentLinkedQueue<>();
        try (NetworkThreads threads = NetworkThreads.start(1)) {
            WireAddress address = new WireAddress("127.0.0.1", freePort());
            HttpServer.start(threads, address, uri -> {
                received.add(uri);
                return Optional.empty();
            });
            CompletableFuture<String> outcomes = new CompletableFuture<>();
            threads.group()
                    .next()
                    .execute(() -> sendThree(KeepAliveClient.to(threads, address, MAXIMUM_BYTES), outcomes));
            assertThat(outcomes.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo("404 failed 404");
        }
        assertThat(received).containsExactly("/first", "/third");
    }

    /** The second request becomes invalid while the first one is in progress. */
    private static void sendThree(KeepAliveClient client, CompletableFuture<String> outcomes) {
        AtomicBoolean valid = new AtomicBoolean(true);
        CompletableFuture<String> first = outcome(client, "/first", () -> true);
        CompletableFuture<String> second = outcome(client, "/second", valid::get);
        CompletableFuture<String> third = outcome(client, "/third", () -> true);
        valid.set(false);
        third.thenAccept(last -> outcomes.complete(first.join() + " " + second.join() + " " + last));
    }

    private static CompletableFuture<String> outcome(KeepAliveClient client, String path, BooleanSupplier stillValid) {
        return client.send(Exchange.Request.get(path), TIMEOUT, stillValid)
                .handle((response, error) -> error == null ? Integer.toString(response.status()) : "failed")
                .toCompletableFuture();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
