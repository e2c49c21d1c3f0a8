package org.galenahinge.http;

import java.util.Optional;

/** Decides which status codes of a response are valid. */
final class StatusCode {
    private static final int LENGTH = 3;
    private static final char MINIMUM_CLASS = '1';
    private static final char MAXIMUM_CLASS = '5';
    private static final String SWITCHING_PROTOCOLS = "101";

    private StatusCode() {}

    /**
     * Finds a fault in a status code. A response with an invalid one must not be believed in any other respect: its server
     * is in trouble, or the bytes are no response to the request.
     *
     * @param code the code as it stands in the status line
     * @return why it is invalid, empty when it is valid
     */
    static Optional<String> faultOf(String code) {
        if (!hasThreeDigits(code) || code.charAt(0) < MINIMUM_CLASS || code.charAt(0) > MAXIMUM_CLASS) {
            return Optional.of("the status is not a number of three digits from 100 to 599");
        }
        // What follows would be in another protocol. No request asks for an upgrade.
        return code.equals(SWITCHING_PROTOCOLS)
                ? Optional.of("the server switches to another protocol, which was not requested")
                : Optional.empty();
    }

    private static boolean hasThreeDigits(String code) {
        return code.length() == LENGTH && code.chars().allMatch(character -> character >= '0' && character <= '9');
    }
}
