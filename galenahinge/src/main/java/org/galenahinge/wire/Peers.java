package org.galenahinge.wire;

/** Names the kinds of peers, as they stand in the first frame on a link. */
public final class Peers {
    /** An entry process. */
    public static final String ENTRY = "entry";
    /** A slot process. */
    public static final String SLOT = "slot";

    private Peers() {}
}
