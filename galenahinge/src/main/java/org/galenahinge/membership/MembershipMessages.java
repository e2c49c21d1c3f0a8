package org.galenahinge.membership;

import java.util.List;

/** What members say to each other. */
public sealed interface MembershipMessages {
    /**
     * Returns what the message carries on other members.
     *
     * @return the updates, a bounded number
     */
    List<MemberState> updates();

    /**
     * Asks for an acknowledgement.
     *
     * @param sequence its number
     * @param updates what it carries
     */
    record Ping(long sequence, List<MemberState> updates) implements MembershipMessages {}

    /**
     * Answers a ping.
     *
     * @param sequence the ping's number
     * @param subject the member that it speaks for
     * @param updates what it carries
     */
    record Acknowledgement(long sequence, String subject, List<MemberState> updates) implements MembershipMessages {}

    /**
     * Asks to ping a third member and to pass its acknowledgement on.
     *
     * @param sequence the number that the acknowledgement must carry
     * @param subject the third member
     * @param updates what it carries
     */
    record IndirectPing(long sequence, String subject, List<MemberState> updates) implements MembershipMessages {}

    /**
     * Says something without asking.
     *
     * @param updates what it carries
     */
    record Notice(List<MemberState> updates) implements MembershipMessages {}

    /**
     * A message to be sent.
     *
     * @param to the member that it goes to
     * @param message the message
     */
    record Outgoing(String to, MembershipMessages message) {}
}
