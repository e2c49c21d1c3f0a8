package org.galenahinge.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
    private static final String BODY = "data: {\"a\":\"é\"}\n\ndata: two\n\ndata: [DONE]\n\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000})
    void returnsTheSameEventsForAnySplitOfTheBody(int size) {
        byte[] body = BODY.getBytes(StandardCharsets.UTF_8);
        EventSplitter splitter = new EventSplitter(1_000);
        List<String> events = new ArrayList<>();
        for (int from = 0; from < body.length; from += size) {
            events.addAll(splitter.add(Arrays.copyOfRange(body, from, Math.min(body.length, from + size))));
        }

        assertThat(events).hasSize(3);
        assertThat(EventSplitter.bytesOf(events.get(0)))
                .isEqualTo("data: {\"a\":\"é\"}\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(splitter.hasIncompleteEvent()).isFalse();
    }

    @Test
    void reportsAnIncompleteEvent() {
        EventSplitter splitter = new EventSplitter(100);
        splitter.add("data: hal".getBytes(StandardCharsets.UTF_8));

        assertThat(splitter.hasIncompleteEvent()).isTrue();
    }

    @Test
    void rejectsAnEventAboveTheMaximumSize() {
        EventSplitter splitter = new EventSplitter(10);

        assertThatThrownBy(() -> splitter.add(new byte[20])).isInstanceOf(IllegalStateException.class);
    }
}
