package org.galenahinge.wire;

/** The kinds of peers, as stated in the hello, the first frame on a connection. */
public final class Peers {
    /** Kind of an entry process. */
    public static final String ENTRY = "entry";
    /** Kind of a slot process. */
    public static final String SLOT = "slot";

    private Peers() {}
}
