package org.galenahinge.entry;

import org.galenahinge.membership.Fleet;
import org.galenahinge.reader.ConfigurationClient.Page;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.SlotState;
import org.galenahinge.wire.generated.TicketDelivery;
import org.galenahinge.wire.generated.TicketDigest;

/** What the ticket controller hears. */
sealed interface TicketEvent {
    /** The configuration service answered a read. */
    record Read(Page page) implements TicketEvent {}

    /** A read of the configuration service failed. */
    record ReadFailed(String detail) implements TicketEvent {}

    /** A peer delivered tickets. */
    record Delivered(TicketDelivery delivery) implements TicketEvent {}

    /** A peer says what it holds. */
    record Compared(WireConnection link, TicketDigest digest) implements TicketEvent {}

    /** A peer asks for the tickets of groups. */
    record Asked(WireConnection link, Frame request) implements TicketEvent {}

    /** A slot process says what it holds. */
    record SlotReported(WireConnection link, SlotState state) implements TicketEvent {}

    /** The VMs of the fleet, or those believed to be up, changed. */
    record FleetChanged(Fleet fleet) implements TicketEvent {}

    /** This process was paused for long and has just heard from another entry again. */
    record Awake() implements TicketEvent {}

    /** A link to another entry came up. */
    record EntryLinked(WireConnection link) implements TicketEvent {}
}
