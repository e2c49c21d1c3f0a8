package org.galenahinge.entry;

import org.galenahinge.membership.Fleet;
import org.galenahinge.reader.ConfigurationClient.Page;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.SlotState;
import org.galenahinge.wire.generated.TicketDelivery;
import org.galenahinge.wire.generated.TicketDigest;

/** An event that the ticket controller handles. */
sealed interface TicketEvent {
    /** The configuration service responded to a read. */
    record PageRead(Page page) implements TicketEvent {}

    /** A read of the configuration service failed. */
    record ReadFailed(String detail) implements TicketEvent {}

    /** A peer delivered tickets. */
    record TicketsDelivered(TicketDelivery delivery) implements TicketEvent {}

    /** A peer sent a digest of the tickets that it holds. */
    record DigestReceived(WireConnection connection, TicketDigest digest) implements TicketEvent {}

    /** A peer requests the tickets of groups. */
    record TicketsRequested(WireConnection connection, Frame request) implements TicketEvent {}

    /** A slot process reported its state, including the tickets that it holds. */
    record SlotReported(WireConnection connection, SlotState state) implements TicketEvent {}

    /** The VM list changed. */
    record FleetChanged(Fleet fleet) implements TicketEvent {}

    /** This process receives membership messages of other entries again, after its start or a long pause. */
    record MembershipRejoined() implements TicketEvent {}

    /** A connection to another entry was opened. */
    record EntryConnected(WireConnection connection) implements TicketEvent {}
}
