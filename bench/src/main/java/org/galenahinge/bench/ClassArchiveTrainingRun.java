package org.galenahinge.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.galenahinge.platform.PlatformProcess;
import org.galenahinge.platform.PlatformProcess.Role;
import org.galenahinge.standins.platform.DeploymentStandIn;
import org.galenahinge.standins.platform.UpstreamStandIn;

/**
 * Runs an entry and a slot process against stand-ins for about two seconds, so that the Java runtime records which
 * classes they load. The class-data archive that is made from this list shortens the start of each process.
 */
public final class ClassArchiveTrainingRun {
    private static final int ROUNDS = 30;
    private static final long PAUSE_MILLIS = 60;
    private static final int READ_TIMEOUT_MILLIS = 2_000;

    private ClassArchiveTrainingRun() {}

    /**
     * Sends requests of every kind in several rounds, then exits with 0.
     *
     * @param arguments none
     * @throws IOException when no port is free
     * @throws InterruptedException when the thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        DeploymentStandIn deployment = new DeploymentStandIn();
        UpstreamStandIn engine = deployment.startUpstream("engine-1", DeploymentStandIn.ENGINES, 0);
        deployment.startUpstream("plain-1", DeploymentStandIn.PLAIN, 0);
        DeploymentStandIn.Ports entryPorts = new DeploymentStandIn.Ports();
        PlatformProcess entry = PlatformProcess.start(Role.ENTRY, deployment.entrySettings("entry-1", entryPorts));
        byte[] slotSettings = deployment.slotSettings("slot-1", entryPorts, new DeploymentStandIn.Ports(), engine);
        PlatformProcess slot = PlatformProcess.start(Role.SLOT, slotSettings);
        for (int round = 0; round < ROUNDS; round++) {
            sendRequest(entryPorts.callers(), "/lookup/x", round);
            sendRequest(entryPorts.callers(), "/order/x", round);
            sendRequest(entryPorts.callers(), "/draft/stream", round);
            sendRequest(entryPorts.callers(), "/nothing", round);
            sendRequest(entryPorts.ready(), "/galenahinge/ready", round);
            sendRequest(entryPorts.directory(), "/galenahinge/resolve?zone=zone-a", round);
            if (round == ROUNDS / 2) {
                deployment.publishNamedVersion(2);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        entry.stop().toCompletableFuture().join();
        slot.close();
        entry.close();
        System.exit(0);
    }

    private static void sendRequest(int port, String path, int round) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), READ_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(DeploymentStandIn.encodeRequest(path, "r" + round + path.hashCode()));
            byte[] response = socket.getInputStream().readAllBytes();
            System.err.println(path + " "
                    + new String(response, StandardCharsets.UTF_8)
                            .lines()
                            .findFirst()
                            .orElse("-"));
        } catch (IOException e) {
            System.err.println(path + ": " + e.getMessage());
        }
    }
}
