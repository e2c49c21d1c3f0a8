package org.galenahinge.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.galenahinge.membership.Vm;

/**
 * Validated settings of a slot process.
 *
 * @param vmSettings the settings that all daemons share: this VM and logging
 * @param upstream the URI of the upstream on this VM
 * @param upstreamKind whether the upstream is a model engine or a plain service
 * @param upstreamChecksFencing whether the upstream rejects load commands with an old fencing number
 * @param requestsIdempotent whether requests to the upstream may be run more than once
 * @param weightsStore the URI of the weights store
 * @param origin the URI of the origin of weights
 * @param maximumConcurrent the maximum number of requests that run on the upstream at once
 * @param maximumQueued the maximum number of requests that wait for the upstream
 * @param weightsMemoryBytes the maximum memory for weights, in bytes
 * @param vmLinkBytesPerSecond the bandwidth budget for weights on this VM's link, in each direction, in bytes per
 *     second
 * @param originLinkBytesPerSecond this VM's bandwidth budget on the origin's link, in bytes per second
 * @param regionLinkBytesPerSecond the bandwidth budget on the links to other regions, shared by all VMs of this
 *     region, in each direction, in bytes per second
 * @param originCopies the maximum number of copies of each chunk that a group may fetch from the origin
 */
public record SlotSettings(
        VmSettings vmSettings,
        URI upstream,
        UpstreamKind upstreamKind,
        boolean upstreamChecksFencing,
        boolean requestsIdempotent,
        URI weightsStore,
        URI origin,
        int maximumConcurrent,
        int maximumQueued,
        long weightsMemoryBytes,
        long vmLinkBytesPerSecond,
        long originLinkBytesPerSecond,
        long regionLinkBytesPerSecond,
        int originCopies) {
    private static final long MAXIMUM_MEMORY_BYTES = 1L << 40;
    private static final long MAXIMUM_BYTES_PER_SECOND = 100_000_000_000L;
    private static final Setting<URI> UPSTREAM = Setting.httpAddress("upstream", "upstream on this VM");
    private static final Setting<String> UPSTREAM_KIND =
            Setting.choice("upstream-kind", "kind of the upstream", null, "model", "service");
    private static final Setting<Boolean> UPSTREAM_CHECKS_FENCING = Setting.flag(
            "upstream-checks-fencing", "whether the upstream rejects load commands with an old fencing number", null);
    private static final Setting<Boolean> REQUESTS_IDEMPOTENT =
            Setting.flag("calls-repeatable", "whether requests to the upstream may be run more than once", null);
    private static final Setting<URI> WEIGHTS_STORE = Setting.httpAddress("store", "weights store");
    private static final Setting<URI> ORIGIN = Setting.httpAddress("origin", "origin of weights");
    private static final Setting<Long> MAXIMUM_CONCURRENT =
            Setting.number("maximum-concurrent", "maximum number of requests on the upstream at once", 1, 100_000, 32L);
    private static final Setting<Long> MAXIMUM_QUEUED =
            Setting.number("maximum-queued", "maximum number of requests waiting for the upstream", 0, 100_000, 64L);
    private static final Setting<Long> WEIGHTS_MEMORY_BYTES = Setting.number(
            "weights-memory-bytes", "maximum memory for weights, in bytes", 1 << 20, MAXIMUM_MEMORY_BYTES, 1L << 30);
    private static final Setting<Long> VM_LINK_RATE = Setting.number(
            "vm-link-rate",
            "bandwidth for weights on this VM's link, in each direction, in bytes a second",
            1_024,
            MAXIMUM_BYTES_PER_SECOND,
            125_000_000L);
    private static final Setting<Long> ORIGIN_LINK_RATE = Setting.number(
            "origin-link-rate",
            "bandwidth for this VM on the origin's link, in bytes a second",
            1_024,
            MAXIMUM_BYTES_PER_SECOND,
            125_000_000L);
    private static final Setting<Long> REGION_LINK_RATE = Setting.number(
            "region-link-rate",
            "bandwidth on the links to other regions, shared by the VMs of the region, in bytes a second",
            1_024,
            MAXIMUM_BYTES_PER_SECOND,
            1_875_000L);
    private static final Setting<Long> ORIGIN_COPIES = Setting.number(
            "origin-copies",
            "copies of each chunk that a group may fetch from the origin: 1 saves its bandwidth, more can save time",
            1,
            16,
            1L);

    /** The kind of an upstream. */
    public enum UpstreamKind {
        /** A model engine. */
        MODEL,
        /** A plain service. */
        SERVICE
    }

    /**
     * Returns the reader for these settings, which also creates the help text.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        List<Setting<?>> settings = new ArrayList<>(VmSettings.ALL);
        settings.addAll(List.of(
                UPSTREAM,
                UPSTREAM_KIND,
                UPSTREAM_CHECKS_FENCING,
                REQUESTS_IDEMPOTENT,
                WEIGHTS_STORE,
                ORIGIN,
                MAXIMUM_CONCURRENT,
                MAXIMUM_QUEUED,
                WEIGHTS_MEMORY_BYTES,
                VM_LINK_RATE,
                ORIGIN_LINK_RATE,
                REGION_LINK_RATE,
                ORIGIN_COPIES));
        return SettingsReader.of(
                "galenahinged slot",
                "Controls the upstream of a VM: admits requests, sends load commands, fetches weights.",
                settings);
    }

    /**
     * Reads and checks the settings.
     *
     * @param arguments the flags
     * @param environment the environment variables
     * @return the validated settings
     * @throws SettingsException when a setting is missing or invalid; the message names it
     */
    public static SlotSettings read(List<String> arguments, Map<String, String> environment) {
        SettingsReader.Values values = reader().read(arguments, environment);
        return new SlotSettings(
                VmSettings.from(values, Vm.Kind.UPSTREAM),
                values.get(UPSTREAM),
                values.get(UPSTREAM_KIND).equals("model") ? UpstreamKind.MODEL : UpstreamKind.SERVICE,
                values.get(UPSTREAM_CHECKS_FENCING),
                values.get(REQUESTS_IDEMPOTENT),
                values.get(WEIGHTS_STORE),
                values.get(ORIGIN),
                values.get(MAXIMUM_CONCURRENT).intValue(),
                values.get(MAXIMUM_QUEUED).intValue(),
                values.get(WEIGHTS_MEMORY_BYTES),
                values.get(VM_LINK_RATE),
                values.get(ORIGIN_LINK_RATE),
                values.get(REGION_LINK_RATE),
                values.get(ORIGIN_COPIES).intValue());
    }
}
