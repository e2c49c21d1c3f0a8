package org.galenahinge.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.galenahinge.platform.PlatformProcess;
import org.galenahinge.platform.PlatformProcess.Role;
import org.galenahinge.standins.platform.DeploymentStandIn;
import org.galenahinge.standins.platform.ModelServerStandIn;

/**
 * Runs an entry and a slot process against stand-ins for a moment, so that the runtime can write an archive of the
 * classes that they load. The archive shortens each start.
 */
public final class ClassArchiveTrainingRun {
    private static final int ROUNDS = 30;
    private static final long PAUSE_MILLIS = 60;
    private static final int READ_TIMEOUT_MILLIS = 2_000;

    private ClassArchiveTrainingRun() {}

    /**
     * Rehearses, then exits with 0.
     *
     * @param arguments none
     * @throws IOException when no port is free
     * @throws InterruptedException never
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        DeploymentStandIn deployment = new DeploymentStandIn();
        ModelServerStandIn engine = deployment.server("engine-1", DeploymentStandIn.ENGINES, 0);
        deployment.server("plain-1", DeploymentStandIn.PLAIN, 0);
        DeploymentStandIn.Ports entryPorts = new DeploymentStandIn.Ports();
        PlatformProcess entry = PlatformProcess.start(Role.ENTRY, deployment.entrySettings("entry-1", entryPorts));
        byte[] slotSettings = deployment.slotSettings("slot-1", entryPorts, new DeploymentStandIn.Ports(), engine);
        PlatformProcess slot = PlatformProcess.start(Role.SLOT, slotSettings);
        for (int round = 0; round < ROUNDS; round++) {
            call(entryPorts.callers(), "/lookup/x", round);
            call(entryPorts.callers(), "/order/x", round);
            call(entryPorts.callers(), "/draft/stream", round);
            call(entryPorts.callers(), "/nothing", round);
            call(entryPorts.ready(), "/galenahinge/ready", round);
            call(entryPorts.directory(), "/galenahinge/resolve?zone=zone-a", round);
            if (round == ROUNDS / 2) {
                deployment.nameVersion(2);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        entry.stop().toCompletableFuture().join();
        slot.close();
        entry.close();
        System.exit(0);
    }

    private static void call(int port, String path, int round) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), READ_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(DeploymentStandIn.request(path, "r" + round + path.hashCode()));
            byte[] answer = socket.getInputStream().readAllBytes();
            System.err.println(path + " "
                    + new String(answer, StandardCharsets.UTF_8)
                            .lines()
                            .findFirst()
                            .orElse("-"));
        } catch (IOException e) {
            System.err.println(path + ": " + e.getMessage());
        }
    }
}
