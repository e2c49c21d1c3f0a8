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

/** Turns tickets into frames, and compares what two processes hold. */
public final class TicketFrames {
    private TicketFrames() {}

    /**
     * Tells whether a peer holds a later ticket of a group.
     *
     * @param theirs what the peer holds
     * @param own the ticket held here, if any
     * @return whether the peer's is later
     */
    public static boolean isNewer(GroupDigest theirs, Optional<Ticket> own) {
        return own.isEmpty() || order(theirs, own.get()) > 0;
    }

    /**
     * Tells whether a peer lacks the ticket held here.
     *
     * @param theirs what the peer holds of the group, or null when it holds none
     * @param own the ticket held here
     * @return whether the peer's is earlier
     */
    public static boolean isOlder(GroupDigest theirs, Ticket own) {
        return theirs == null || order(theirs, own) < 0;
    }

    /** Orders as the join does: the higher number first, then the smaller content hash. */
    private static int order(GroupDigest theirs, Ticket own) {
        if (theirs.getNumber() != own.number()) {
            return Long.compare(theirs.getNumber(), own.number());
        }
        return own.contentHash().compareTo(theirs.getContentHash().toStringUtf8());
    }

    /**
     * Makes the frame that says which tickets are held.
     *
     * @param groups the groups to tell of
     * @param full whether these are all groups held
     * @return the frame
     */
    public static Frame digest(List<EffectiveGroup> groups, boolean full) {
        TicketDigest.Builder digest = TicketDigest.newBuilder().setFull(full);
        groups.forEach(group -> digest.addGroups(digestOf(group)));
        return Frame.newBuilder().setTicketDigest(digest).build();
    }

    /**
     * Makes the digest of one group.
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
     * Makes the frame that delivers tickets.
     *
     * @param tickets the tickets
     * @param peers the VMs of the receiver's group that are believed to be up; empty when that did not change
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
     * Returns one number over all tickets in force, the same for equal states.
     *
     * @param state the state
     * @return the number
     */
    public static long rootOf(TicketState state) {
        long root = 0;
        for (EffectiveGroup group : state.effectiveGroups()) {
            String line = group.content().group()
                    + ' '
                    + group.ticket().number()
                    + ' '
                    + group.ticket().contentHash();
            root ^= Hashing.murmur3_128()
                    .hashString(line, StandardCharsets.UTF_8)
                    .asLong();
        }
        return root;
    }
}
