package org.galenahinge.settings;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.galenahinge.membership.Vm;

/**
 * Validated settings of an entry.
 *
 * @param vmSettings the settings that all daemons share: this VM and logging
 * @param configurationService the URI of the service that tickets are read from
 * @param vmList the URI that the list of VMs is read from
 * @param maximumRequests the maximum number of active requests
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param requestTimeout the maximum timeout of a request, and the timeout of a request whose caller sets none
 * @param drainReportInterval the interval at which a graceful stop logs the number of requests that it waits for
 * @param entryListLifetime how long callers may cache the list of entries
 * @param routeByPrefix whether draft requests with the same prompt prefix are routed to the same replica while its load
 *     allows it
 */
public record EntrySettings(
        VmSettings vmSettings,
        URI configurationService,
        URI vmList,
        int maximumRequests,
        int maximumBodyBytes,
        Duration requestTimeout,
        Duration drainReportInterval,
        Duration entryListLifetime,
        boolean routeByPrefix) {
    private static final Setting<URI> CONFIGURATION_SERVICE =
            Setting.httpAddress("configuration-service", "configuration service that tickets are read from");
    private static final Setting<URI> VM_LIST = Setting.httpAddress("vm-list", "platform's list of VMs");
    private static final Setting<Long> MAXIMUM_REQUESTS =
            Setting.number("maximum-requests", "maximum number of active requests", 1, 1_000_000, 4_000L);
    private static final Setting<Long> MAXIMUM_BODY_BYTES =
            Setting.number("maximum-body-bytes", "maximum size of a request body, in bytes", 1_024, 4 << 20, 1L << 20);
    private static final Setting<Long> REQUEST_TIMEOUT = Setting.number(
            "request-timeout-seconds", "maximum and default timeout of a request, in seconds", 1, 3_600, 120L);
    private static final Setting<Long> DRAIN_REPORT_INTERVAL = Setting.number(
            "drain-report-seconds",
            "interval at which a graceful stop logs the requests that it waits for, in seconds",
            1,
            3_600,
            10L);
    private static final Setting<Long> ENTRY_LIST_LIFETIME = Setting.number(
            "entry-lifetime-seconds", "how long callers may cache the list of entries, in seconds", 1, 600, 15L);

    private static final Setting<String> DRAFT_ROUTING = Setting.choice(
            "draft-routing",
            "how draft requests are routed: by prompt prefix, or to the replica with the least load",
            "prefix",
            "prefix",
            "least-loaded");

    /**
     * Returns the reader for these settings, which also creates the help text.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        List<Setting<?>> settings = new ArrayList<>(VmSettings.ALL);
        settings.addAll(List.of(
                CONFIGURATION_SERVICE,
                VM_LIST,
                MAXIMUM_REQUESTS,
                MAXIMUM_BODY_BYTES,
                REQUEST_TIMEOUT,
                DRAIN_REPORT_INTERVAL,
                ENTRY_LIST_LIFETIME,
                DRAFT_ROUTING));
        return SettingsReader.of(
                "galenahinged entry", "Serves callers and operators on an entry VM and routes requests.", settings);
    }

    /**
     * Reads and checks the settings.
     *
     * @param arguments the flags
     * @param environment the environment variables
     * @return the validated settings
     * @throws SettingsException when a setting is missing or invalid; the message names it
     */
    public static EntrySettings read(List<String> arguments, Map<String, String> environment) {
        SettingsReader.Values values = reader().read(arguments, environment);
        return new EntrySettings(
                VmSettings.from(values, Vm.Kind.ENTRY),
                values.get(CONFIGURATION_SERVICE),
                values.get(VM_LIST),
                values.get(MAXIMUM_REQUESTS).intValue(),
                values.get(MAXIMUM_BODY_BYTES).intValue(),
                Duration.ofSeconds(values.get(REQUEST_TIMEOUT)),
                Duration.ofSeconds(values.get(DRAIN_REPORT_INTERVAL)),
                Duration.ofSeconds(values.get(ENTRY_LIST_LIFETIME)),
                values.get(DRAFT_ROUTING).equals("prefix"));
    }
}
