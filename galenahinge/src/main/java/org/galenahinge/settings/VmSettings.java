package org.galenahinge.settings;

import java.time.Duration;
import java.util.List;
import org.galenahinge.membership.Vm;

/**
 * Settings that both daemons share: the VM that the process runs on, logging, and the time to stop.
 *
 * @param vm this VM, with its addresses and failure domain
 * @param logFormat {@code json} or {@code plain}
 * @param logLevel the minimum level that is logged
 * @param decisionLinesPerSecond the maximum number of decision lines logged per second
 * @param stopTimeout the time after which a graceful stop ends the requests that are left
 */
public record VmSettings(Vm vm, String logFormat, String logLevel, int decisionLinesPerSecond, Duration stopTimeout) {
    private static final Setting<String> NAME = Setting.name("name", "name of this VM, as in the VM list");
    private static final Setting<String> ADDRESS =
            Setting.address("address", "IP address of this VM, reachable from the fleet");
    private static final Setting<Long> WIRE_PORT =
            Setting.number("wire-port", "TCP port for connections between the system's processes", 1, 65_535, null);
    private static final Setting<Long> HTTP_PORT =
            Setting.number("http-port", "TCP port for HTTP: callers, operators, metrics", 1, 65_535, null);
    private static final Setting<String> REGION = Setting.name("region", "region of this VM");
    private static final Setting<String> FAILURE_DOMAIN = Setting.name("failure-domain", "failure domain of this VM");
    private static final Setting<String> LOG_FORMAT =
            Setting.choice("log-format", "format of log lines", "json", "json", "plain");
    private static final Setting<String> LOG_LEVEL =
            Setting.choice("log-level", "minimum level that is logged", "info", "debug", "info", "warn", "error");
    private static final Setting<Long> DECISION_LINES_PER_SECOND = Setting.number(
            "decision-lines-per-second", "maximum number of decision lines logged per second", 1, 100_000, 500L);
    private static final Setting<Long> STOP_TIMEOUT = Setting.number(
            "stop-timeout-seconds",
            "time after which a graceful stop ends the requests that are left, in seconds; the process exits within 5"
                    + " more",
            1,
            3_600,
            120L);

    /** All settings read by {@link #from}, which each daemon adds to its own. */
    static final List<Setting<?>> ALL = List.of(
            NAME,
            ADDRESS,
            WIRE_PORT,
            HTTP_PORT,
            REGION,
            FAILURE_DOMAIN,
            LOG_FORMAT,
            LOG_LEVEL,
            DECISION_LINES_PER_SECOND,
            STOP_TIMEOUT);

    static VmSettings from(SettingsReader.Values values, Vm.Kind kind) {
        Vm vm = new Vm(
                values.get(NAME),
                kind,
                values.get(ADDRESS),
                values.get(WIRE_PORT).intValue(),
                values.get(HTTP_PORT).intValue(),
                values.get(REGION),
                values.get(FAILURE_DOMAIN),
                false);
        if (vm.wirePort() == vm.httpPort()) {
            throw new SettingsException(
                    "--http-port: '" + vm.httpPort() + "' is also --wire-port; two ports are needed");
        }
        return new VmSettings(
                vm,
                values.get(LOG_FORMAT),
                values.get(LOG_LEVEL),
                values.get(DECISION_LINES_PER_SECOND).intValue(),
                Duration.ofSeconds(values.get(STOP_TIMEOUT)));
    }
}
