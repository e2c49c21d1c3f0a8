package org.galenahinge.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.galenahinge.membership.MemberState;
import org.galenahinge.membership.MemberState.Status;
import org.galenahinge.membership.MembershipMessages;
import org.galenahinge.membership.MembershipMessages.Acknowledgement;
import org.galenahinge.membership.MembershipMessages.IndirectPing;
import org.galenahinge.membership.MembershipMessages.Notice;
import org.galenahinge.membership.MembershipMessages.Ping;
import org.galenahinge.wire.generated.MemberStatus;
import org.galenahinge.wire.generated.MemberUpdate;
import org.galenahinge.wire.generated.MembershipKind;
import org.galenahinge.wire.generated.MembershipMessage;

/** Encodes membership messages as datagrams and decodes them. */
public final class MembershipCodec {
    private MembershipCodec() {}

    /**
     * A decoded message with its sender.
     *
     * @param sender the name of the sender's VM
     * @param message the message
     */
    public record Received(String sender, MembershipMessages message) {}

    /**
     * Encodes a message.
     *
     * @param sender the name of the VM that sends it
     * @param message the message
     * @return the datagram's bytes
     */
    public static byte[] write(String sender, MembershipMessages message) {
        MembershipMessage.Builder datagram = MembershipMessage.newBuilder().setSender(sender);
        message.updates()
                .forEach(update -> datagram.addUpdates(MemberUpdate.newBuilder()
                        .setVm(update.vm())
                        .setNumber(update.stateVersion())
                        .setStatus(toWire(update.status()))));
        if (message instanceof Ping ping) {
            datagram.setKind(MembershipKind.PING).setSequence(ping.sequence());
        } else if (message instanceof Acknowledgement acknowledgement) {
            datagram.setKind(MembershipKind.ACKNOWLEDGEMENT)
                    .setSequence(acknowledgement.sequence())
                    .setSubject(acknowledgement.subject());
        } else if (message instanceof IndirectPing indirect) {
            datagram.setKind(MembershipKind.INDIRECT_PING)
                    .setSequence(indirect.sequence())
                    .setSubject(indirect.subject());
        } else {
            datagram.setKind(MembershipKind.NOTICE);
        }
        return datagram.build().toByteArray();
    }

    /**
     * Decodes a datagram.
     *
     * @param bytes the datagram's bytes
     * @return the message, or empty when it is malformed
     */
    public static Optional<Received> read(ByteBuffer bytes) {
        try {
            MembershipMessage datagram = MembershipMessage.parseFrom(bytes);
            return message(datagram).map(message -> new Received(datagram.getSender(), message));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private static Optional<MembershipMessages> message(MembershipMessage datagram) {
        List<MemberState> updates = datagram.getUpdatesList().stream()
                .map(update -> new MemberState(update.getVm(), update.getNumber(), fromWire(update.getStatus()), 0))
                .toList();
        long sequence = datagram.getSequence();
        return switch (datagram.getKind()) {
            case PING -> Optional.of(new Ping(sequence, updates));
            case ACKNOWLEDGEMENT -> Optional.of(new Acknowledgement(sequence, datagram.getSubject(), updates));
            case INDIRECT_PING -> Optional.of(new IndirectPing(sequence, datagram.getSubject(), updates));
            case NOTICE -> Optional.of(new Notice(updates));
            case UNRECOGNIZED -> Optional.empty();
        };
    }

    private static MemberStatus toWire(Status status) {
        return switch (status) {
            case ALIVE -> MemberStatus.ALIVE;
            case SUSPECT -> MemberStatus.SUSPECT;
            case DEAD -> MemberStatus.DEAD;
            case LEFT -> MemberStatus.LEFT;
        };
    }

    private static Status fromWire(MemberStatus status) {
        return switch (status) {
            case SUSPECT -> Status.SUSPECT;
            case DEAD -> Status.DEAD;
            case LEFT -> Status.LEFT;
            default -> Status.ALIVE;
        };
    }
}
