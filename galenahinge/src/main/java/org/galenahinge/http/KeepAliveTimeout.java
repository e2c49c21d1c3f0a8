package org.galenahinge.http;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;

/** How long a server keeps an idle connection open, from the {@code Keep-Alive} header of its last response. */
final class KeepAliveTimeout {
    /** The timeout of a server that names none. */
    static final Duration DEFAULT = Duration.ofSeconds(3);

    private static final String PARAMETER = "timeout=";
    private static final int MAXIMUM_SECONDS = 10_000;
    private static final int DECIMAL = 10;

    private KeepAliveTimeout() {}

    /** Returns the timeout that a response names, {@link #DEFAULT} if it names none. */
    static Duration of(HttpResponse response) {
        String header = response.headers().get("Keep-Alive");
        int at = header == null ? -1 : header.indexOf(PARAMETER);
        if (at < 0) {
            return DEFAULT;
        }
        return Duration.ofSeconds(leadingNumber(header, at + PARAMETER.length()));
    }

    /** Returns the number that begins at an index, 0 if there is none; further digits of a large one are left out. */
    private static int leadingNumber(String text, int begin) {
        int number = 0;
        for (int index = begin;
                index < text.length() && Character.isDigit(text.charAt(index)) && number < MAXIMUM_SECONDS;
                index++) {
            number = number * DECIMAL + (text.charAt(index) - '0');
        }
        return number;
    }
}
