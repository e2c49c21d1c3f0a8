package org.galenahinge.wire;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.TicketContent;
import org.galenahinge.wire.generated.TicketDelivery;
import org.galenahinge.wire.generated.TicketDigest;

/** Encodes tickets and digests of tickets as frames, and compares the tickets of two nodes. */
public final class TicketFrames {
    private TicketFrames() {}

    /**
     * Returns whether a peer holds a newer ticket of a group.
     *
     * @param peerDigest the digest of the peer's ticket
     * @param localTicket the local ticket of the group, if any
     * @return whether the peer's ticket is newer
     */
    public static boolean isNewer(GroupDigest peerDigest, Optional<Ticket> localTicket) {
        return localTicket.isEmpty() || compare(peerDigest, localTicket.get()) > 0;
    }

    /**
     * Returns whether a peer lacks the local ticket of a group.
     *
     * @param peerDigest the digest of the peer's ticket of the group, or null when it has none
     * @param localTicket the local ticket of the group
     * @return whether the peer has no ticket of the group or an older one
     */
    public static boolean isOlder(GroupDigest peerDigest, Ticket localTicket) {
        return peerDigest == null || compare(peerDigest, localTicket) < 0;
    }

    /**
     * Orders tickets as {@link TicketState#merge} does: the higher number is newer, and at the same number the smaller
     * content hash.
     */
    private static int compare(GroupDigest peerDigest, Ticket localTicket) {
        if (peerDigest.getNumber() != localTicket.number()) {
            return Long.compare(peerDigest.getNumber(), localTicket.number());
        }
        return localTicket.contentHash().compareTo(peerDigest.getContentHash().toStringUtf8());
    }

    /**
     * Builds the frame with the digests of groups.
     *
     * @param groups the groups with their tickets
     * @param full whether these are all groups of the sender
     * @return the frame
     */
    public static Frame digest(List<EffectiveGroup> groups, boolean full) {
        TicketDigest.Builder digest = TicketDigest.newBuilder().setFull(full);
        groups.forEach(group -> digest.addGroups(digestOf(group)));
        return Frame.newBuilder().setTicketDigest(digest).build();
    }

    /**
     * Builds the digest of one group.
     *
     * @param group the group with its ticket
     * @return the digest
     */
    public static GroupDigest digestOf(EffectiveGroup group) {
        return GroupDigest.newBuilder()
                .setGroup(group.content().group())
                .setNumber(group.ticket().number())
                .setContentHash(ByteString.copyFrom(group.ticket().contentHash(), StandardCharsets.US_ASCII))
                .build();
    }

    /**
     * Builds the frame that delivers tickets.
     *
     * @param tickets the tickets
     * @param peers the VMs of the receiver's group that are considered up; empty when they did not change
     * @return the frame
     */
    public static Frame delivery(List<Ticket> tickets, List<Peer> peers) {
        TicketDelivery.Builder delivery = TicketDelivery.newBuilder().addAllPeers(peers);
        for (Ticket ticket : tickets) {
            delivery.addTickets(TicketContent.newBuilder()
                    .setNumber(ticket.number())
                    .setJson(ByteString.copyFromUtf8(ticket.json())));
        }
        return Frame.newBuilder().setTicketDelivery(delivery).build();
    }

    /**
     * Returns a hash over all tickets in effect, by which two nodes compare their states. Equal states have equal hashes.
     *
     * @param state the state
     * @return the hash
     */
    public static long rootOf(TicketState state) {
        long rootHash = 0;
        for (EffectiveGroup group : state.effectiveGroups()) {
            String groupText = group.content().group()
                    + ' '
                    + group.ticket().number()
                    + ' '
                    + group.ticket().contentHash();
            rootHash ^= Hashing.murmur3_128()
                    .hashString(groupText, StandardCharsets.UTF_8)
                    .asLong();
        }
        return rootHash;
    }
}
