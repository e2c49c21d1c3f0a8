package org.galenahinge.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Reads settings from flags and, where a flag is not given, from environment variables.
 *
 * <pre>
 * SettingsReader reader = SettingsReader.of("galenahinged entry", "Serves callers.", List.of(NAME, PORT));
 * SettingsReader.Values values = reader.read(arguments, System.getenv());
 * </pre>
 */
public final class SettingsReader {
    private final ArgumentParser parser;
    private final List<Setting<?>> settings;

    private SettingsReader(ArgumentParser parser, List<Setting<?>> settings) {
        this.parser = parser;
        this.settings = List.copyOf(settings);
    }

    /**
     * Creates a reader.
     *
     * @param program the program's name, for the help text
     * @param description what the program does, in one line
     * @param settings every setting of the program
     * @return the reader
     */
    public static SettingsReader of(String program, String description, List<Setting<?>> settings) {
        ArgumentParser parser = ArgumentParsers.newFor(program).build().description(description);
        for (Setting<?> setting : settings) {
            parser.addArgument(setting.flag())
                    .dest(setting.name())
                    .metavar("VALUE")
                    .help(escape(setting.describe()));
        }
        return new SettingsReader(parser, settings);
    }

    /**
     * Reads and validates all settings.
     *
     * @param arguments the flags
     * @param environment the environment variables
     * @return the validated values
     * @throws SettingsException naming all settings that are missing, or the first one that is invalid
     */
    public Values read(List<String> arguments, Map<String, String> environment) {
        Namespace flags = parse(arguments);
        Map<Setting<?>, Object> values = new HashMap<>();
        List<String> missing = new ArrayList<>();
        for (Setting<?> setting : settings) {
            Optional<Object> value = valueOf(setting, flags, environment);
            if (value.isEmpty()) {
                missing.add(setting.flag() + " (or " + setting.environmentVariable() + ")");
            } else {
                values.put(setting, value.get());
            }
        }
        if (!missing.isEmpty()) {
            throw new SettingsException("missing: " + String.join(", ", missing));
        }
        return new Values(values);
    }

    /**
     * Returns the help text, with each flag, its environment variable, the allowed values and the default.
     *
     * @return several lines
     */
    public String help() {
        return parser.formatHelp();
    }

    private Namespace parse(List<String> arguments) {
        try {
            return parser.parseArgs(arguments.toArray(String[]::new));
        } catch (ArgumentParserException e) {
            throw new SettingsException(e.getMessage());
        }
    }

    private static Optional<Object> valueOf(Setting<?> setting, Namespace flags, Map<String, String> environment) {
        String flag = flags.getString(setting.name());
        if (flag != null) {
            return Optional.of(setting.parse(flag, setting.flag()));
        }
        String variable = environment.get(setting.environmentVariable());
        if (variable != null) {
            return Optional.of(setting.parse(variable, setting.environmentVariable()));
        }
        return setting.defaultValue().map(text -> setting.parse(text, setting.flag()));
    }

    private static String escape(String text) {
        return text.replace("%", "%%");
    }

    /** The validated values. */
    public static final class Values {
        private final Map<Setting<?>, Object> values;

        private Values(Map<Setting<?>, Object> values) {
            this.values = Map.copyOf(values);
        }

        /**
         * Returns the value of a setting.
         *
         * @param setting one of the reader's settings
         * @param <T> the type of the value
         * @return the validated value
         */
        @SuppressWarnings("unchecked") // each value was created by the parser of its own setting
        public <T> T get(Setting<T> setting) {
            Object value = values.get(setting);
            if (value == null) {
                throw new IllegalArgumentException(setting.flag() + " is not a setting of this reader");
            }
            return (T) value;
        }
    }
}
