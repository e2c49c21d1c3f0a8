package org.galenahinge.membership;

import java.util.List;

/** The messages that members exchange. */
public sealed interface MembershipMessages {
    /**
     * Returns the states of members that the message carries.
     *
     * @return the updates, at most {@link MembershipProtocol#MAXIMUM_UPDATES} in a message that the protocol creates
     */
    List<MemberState> updates();

    /**
     * Asks the receiver for an acknowledgement.
     *
     * @param sequence the sequence number of the ping
     * @param updates the states of members that it carries
     */
    record Ping(long sequence, List<MemberState> updates) implements MembershipMessages {}

    /**
     * Acknowledges a ping.
     *
     * @param sequence the sequence number of the ping
     * @param subject the member that was pinged
     * @param updates the states of members that it carries
     */
    record Acknowledgement(long sequence, String subject, List<MemberState> updates) implements MembershipMessages {}

    /**
     * Asks the receiver to ping a third member and to relay its acknowledgement.
     *
     * @param sequence the sequence number that the relayed acknowledgement must carry
     * @param subject the member to ping
     * @param updates the states of members that it carries
     */
    record IndirectPing(long sequence, String subject, List<MemberState> updates) implements MembershipMessages {}

    /**
     * Carries updates and asks for no acknowledgement.
     *
     * @param updates the states of members that it carries
     */
    record Notice(List<MemberState> updates) implements MembershipMessages {}

    /**
     * A message to send.
     *
     * @param to the receiver
     * @param message the message
     */
    record Outgoing(String to, MembershipMessages message) {}
}
