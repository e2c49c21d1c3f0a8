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
 * Describes one setting: its flag, its environment variable, its default and how a value is checked.
 *
 * @param <T> the type of the value
 */
public final class Setting<T> {
    private static final String ENVIRONMENT_PREFIX = "GALENAHINGE_";
    private static final Pattern IP_NUMBER = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private final String name;
    private final String help;
    private final String allowed;
    private final String defaultValue;
    private final Check<T> check;

    private Setting(String name, String help, String allowed, String defaultValue, Check<T> check) {
        this.name = name;
        this.help = help;
        this.allowed = allowed;
        this.defaultValue = defaultValue;
        this.check = check;
    }

    /**
     * Turns a text into a value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    interface Check<T> {
        /**
         * Checks a text.
         *
         * @param text the text given
         * @return the value, or empty when the text is not allowed
         */
        Optional<T> parse(String text);
    }

    /**
     * Creates a setting that names something.
     *
     * @param name the flag without dashes
     * @param help what it is for
     * @return a required setting
     */
    public static Setting<String> name(String name, String help) {
        String allowed = "1 to 63 letters, digits, '.', '_' or '-'";
        return new Setting<>(
                name,
                help,
                allowed,
                null,
                text -> Optional.of(text).filter(value -> NAME.matcher(value).matches()));
    }

    /**
     * Creates a setting for an own IP address.
     *
     * @param name the flag without dashes
     * @param help what it is for
     * @return a required setting
     */
    public static Setting<String> address(String name, String help) {
        return new Setting<>(name, help, "an IP address", null, Setting::parseAddress);
    }

    /**
     * Creates a setting for an HTTP address.
     *
     * @param name the flag without dashes
     * @param help what it is for
     * @return a required setting
     */
    public static Setting<URI> httpAddress(String name, String help) {
        return new Setting<>(name, help, "http://IP:PORT", null, Setting::parseHttpAddress);
    }

    /**
     * Creates a setting for a whole number.
     *
     * @param name the flag without dashes
     * @param help what it is for, with the unit
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @param defaultValue the default, or null when the setting is required
     * @return the setting
     */
    public static Setting<Long> number(String name, String help, long least, long most, Long defaultValue) {
        String allowed = "a whole number from " + least + " to " + most;
        String text = defaultValue == null ? null : Long.toString(defaultValue);
        return new Setting<>(name, help, allowed, text, value -> parseNumber(value, least, most));
    }

    /**
     * Creates a setting with a few values allowed.
     *
     * @param name the flag without dashes
     * @param help what it is for
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
     * Creates a yes-or-no setting.
     *
     * @param name the flag without dashes
     * @param help what it is for
     * @param defaultValue the default, or null when the setting is required
     * @return the setting
     */
    public static Setting<Boolean> flag(String name, String help, Boolean defaultValue) {
        String text = defaultValue == null ? null : defaultValue.toString();
        return new Setting<>(name, help, "true or false", text, Setting::parseBoolean);
    }

    T parse(String text, String source) {
        return check.parse(text)
                .orElseThrow(
                        () -> new SettingsException(source + ": '" + text + "' is not allowed; allowed is " + allowed));
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
        return help + "; " + allowed + "; " + byDefault + "; or " + environmentVariable();
    }

    private static Optional<String> parseAddress(String text) {
        if (!IP_NUMBER.matcher(text).matches()) {
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

    private static Optional<Long> parseNumber(String text, long least, long most) {
        try {
            long value = Long.parseLong(text);
            return value >= least && value <= most ? Optional.of(value) : Optional.empty();
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
