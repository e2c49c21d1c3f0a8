package org.galenahinge.settings;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * One setting: its flag, environment variable, help text, default and validation.
 *
 * @param <T> the type of the value
 */
public final class Setting<T> {
    private static final String ENVIRONMENT_PREFIX = "GALENAHINGE_";
    private static final Pattern NUMERIC_IP = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private final String name;
    private final String help;
    private final String allowedValues;
    private final String defaultValue;
    private final Parser<T> parser;

    private Setting(String name, String help, String allowedValues, String defaultValue, Parser<T> parser) {
        this.name = name;
        this.help = help;
        this.allowedValues = allowedValues;
        this.defaultValue = defaultValue;
        this.parser = parser;
    }

    /**
     * Parses and validates a text.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    interface Parser<T> {
        /**
         * Parses a text.
         *
         * @param text the text of a flag or environment variable
         * @return the value, or empty if it is not allowed
         */
        Optional<T> parse(String text);
    }

    /**
     * Creates a setting for a name.
     *
     * @param name the flag without dashes
     * @param help what it is for, for the help text
     * @return a required setting
     */
    public static Setting<String> name(String name, String help) {
        String allowed = "1 to 63 letters, digits, '.', '_' or '-'";
        return new Setting<>(
                name,
                help,
                allowed,
                null,
                text -> Optional.of(text)
                        .filter(value -> NAME_PATTERN.matcher(value).matches()));
    }

    /**
     * Creates a setting for a numeric IP address.
     *
     * @param name the flag without dashes
     * @param help what it is for, for the help text
     * @return a required setting
     */
    public static Setting<String> address(String name, String help) {
        return new Setting<>(name, help, "an IP address", null, Setting::parseAddress);
    }

    /**
     * Creates a setting for an HTTP URI that consists of a numeric IP address and a port.
     *
     * @param name the flag without dashes
     * @param help what it is for, for the help text
     * @return a required setting
     */
    public static Setting<URI> httpAddress(String name, String help) {
        return new Setting<>(name, help, "http://IP:PORT", null, Setting::parseHttpAddress);
    }

    /**
     * Creates a setting for an integer.
     *
     * @param name the flag without dashes
     * @param help what it is for, with the unit, for the help text
     * @param minimum the minimum value
     * @param maximum the maximum value
     * @param defaultValue the default, or null when the setting is required
     * @return the setting
     */
    public static Setting<Long> number(String name, String help, long minimum, long maximum, Long defaultValue) {
        String allowed = "a whole number from " + minimum + " to " + maximum;
        String text = defaultValue == null ? null : Long.toString(defaultValue);
        return new Setting<>(name, help, allowed, text, value -> parseNumber(value, minimum, maximum));
    }

    /**
     * Creates a setting with a fixed set of values.
     *
     * @param name the flag without dashes
     * @param help what it is for, for the help text
     * @param defaultValue the default, or null when the setting is required
     * @param values the values allowed
     * @return the setting
     */
    public static Setting<String> choice(String name, String help, String defaultValue, String... values) {
        List<String> allowed = List.of(values);
        return new Setting<>(
                name,
                help,
                "one of " + String.join(", ", allowed),
                defaultValue,
                text -> Optional.of(text).filter(allowed::contains));
    }

    /**
     * Creates a boolean setting.
     *
     * @param name the flag without dashes
     * @param help what it is for, for the help text
     * @param defaultValue the default, or null when the setting is required
     * @return the setting
     */
    public static Setting<Boolean> flag(String name, String help, Boolean defaultValue) {
        String text = defaultValue == null ? null : defaultValue.toString();
        return new Setting<>(name, help, "true or false", text, Setting::parseBoolean);
    }

    T parse(String text, String source) {
        return parser.parse(text)
                .orElseThrow(() ->
                        new SettingsException(source + ": '" + text + "' is not allowed; allowed is " + allowedValues));
    }

    String name() {
        return name;
    }

    String flag() {
        return "--" + name;
    }

    String environmentVariable() {
        return ENVIRONMENT_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    Optional<String> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    String describe() {
        String byDefault = defaultValue == null ? "required" : "default " + defaultValue;
        return help + "; " + allowedValues + "; " + byDefault + "; or " + environmentVariable();
    }

    private static Optional<String> parseAddress(String text) {
        if (!NUMERIC_IP.matcher(text).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(text).getHostAddress());
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    private static Optional<URI> parseHttpAddress(String text) {
        try {
            URI uri = URI.create(text);
            boolean valid = Objects.equals(uri.getScheme(), "http")
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getPath().isEmpty()
                    && parseAddress(uri.getHost().replace("[", "").replace("]", ""))
                            .isPresent();
            return valid ? Optional.of(uri) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<Long> parseNumber(String text, long minimum, long maximum) {
        try {
            long value = Long.parseLong(text);
            return value >= minimum && value <= maximum ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Boolean> parseBoolean(String text) {
        if (text.equals("true") || text.equals("false")) {
            return Optional.of(Boolean.valueOf(text));
        }
        return Optional.empty();
    }
}
