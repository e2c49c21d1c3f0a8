package org.galenahinge.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts the body of a streamed answer into its events, each ended by an empty line. */
public final class EventSplitter {
    private static final String END = "\n\n";

    private final int maximumEventBytes;
    private final StringBuilder open = new StringBuilder();

    /**
     * Creates a splitter.
     *
     * @param maximumEventBytes the largest event taken
     */
    public EventSplitter(int maximumEventBytes) {
        this.maximumEventBytes = maximumEventBytes;
    }

    /**
     * Takes in a part of the body.
     *
     * @param part the bytes, cut anywhere
     * @return the events that are complete now, without the empty line
     */
    public List<String> take(byte[] part) {
        // One character for each byte, so that a part may end within a character.
        open.append(new String(part, StandardCharsets.ISO_8859_1));
        List<String> events = new ArrayList<>(1);
        int begin = 0;
        for (int end = open.indexOf(END); end >= 0; end = open.indexOf(END, begin)) {
            events.add(open.substring(begin, end));
            begin = end + END.length();
        }
        open.delete(0, begin);
        if (open.length() > maximumEventBytes) {
            throw new IllegalStateException("an event is larger than " + maximumEventBytes + " bytes");
        }
        return events;
    }

    /**
     * Returns the bytes of an event as they came, with the empty line.
     *
     * @param event an event that {@link #take} gave
     * @return the bytes
     */
    public static byte[] bytesOf(String event) {
        return (event + END).getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Tells whether an event has begun and not ended.
     *
     * @return whether bytes wait
     */
    public boolean isInEvent() {
        return open.length() > 0;
    }
}
