package org.galenahinge.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the body of a server-sent event stream into its events, each of which ends with an empty line. Not
 * thread-safe.
 */
public final class EventSplitter {
    private static final String EVENT_END = "\n\n";

    private final int maximumEventBytes;
    private final StringBuilder buffer = new StringBuilder();
    private int searched;

    /**
     * Creates a splitter.
     *
     * @param maximumEventBytes maximum size of an event, in bytes
     */
    public EventSplitter(int maximumEventBytes) {
        this.maximumEventBytes = maximumEventBytes;
    }

    /**
     * Adds a part of the body.
     *
     * @param part the bytes; may start and end anywhere, also within a character
     * @return the events that this part completes, without the empty line, one character per byte
     * @throws IllegalStateException if an incomplete event exceeds the maximum size
     */
    public List<String> add(byte[] part) {
        // ISO 8859-1 maps each byte to one character, so that a part may end within a UTF-8 character.
        buffer.append(new String(part, StandardCharsets.ISO_8859_1));
        List<String> events = new ArrayList<>(1);
        int start = 0;
        for (int end = buffer.indexOf(EVENT_END, searched); end >= 0; end = buffer.indexOf(EVENT_END, start)) {
            events.add(buffer.substring(start, end));
            start = end + EVENT_END.length();
        }
        buffer.delete(0, start);
        // The end of an event may begin with the last character.
        searched = Math.max(0, buffer.length() - (EVENT_END.length() - 1));
        if (buffer.length() > maximumEventBytes) {
            throw new IllegalStateException("an event is larger than " + maximumEventBytes + " bytes");
        }
        return events;
    }

    /**
     * Returns the bytes of an event as they were received, including the empty line.
     *
     * @param event an event that {@link #add} returned
     * @return the bytes
     */
    public static byte[] bytesOf(String event) {
        return (event + EVENT_END).getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the number of bytes of an event as they were received, including the empty line.
     *
     * @param event an event that {@link #add} returned
     * @return the number of bytes
     */
    public static int lengthOf(String event) {
        return event.length() + EVENT_END.length();
    }

    /**
     * Returns whether the last event is incomplete.
     *
     * @return whether bytes of an incomplete event are buffered
     */
    public boolean hasIncompleteEvent() {
        return buffer.length() > 0;
    }
}
