package org.galenahinge.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the route of a request: the one with the longest matching path prefix among the routes of its host. Immutable.
 *
 * <p>A lookup reads one map entry per slash in the path, independent of the number of routes.
 */
public final class RouteTable {
    private final Map<String, Map<String, Route>> byHost;
    private final Map<String, Set<String>> regionsByHost;

    private RouteTable(Map<String, Map<String, Route>> byHost) {
        this.byHost = byHost;
        this.regionsByHost = regionsByHost(byHost);
    }

    /**
     * Creates a table.
     *
     * @param routes the routes; of two with the same host and prefix the later one replaces the earlier
     * @return the table
     */
    public static RouteTable of(Collection<Route> routes) {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(hostKey(route.host()), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        return new RouteTable(byHost);
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host of the request in any case, with or without a port
     * @param path the path, without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> prefixes = byHost.get(hostKey(host));
        if (prefixes == null) {
            return Optional.empty();
        }
        int end = path.length();
        while (true) {
            int slash = path.lastIndexOf('/', end - 1);
            if (slash < 0) {
                return Optional.empty();
            }
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = slash;
        }
    }

    /**
     * Returns the regions that the routes of a host allow together. Routes that allow any region do not count.
     *
     * @param host the host in any case, with or without a port
     * @return the regions, or any region if no route of the host has a list
     */
    public AllowedRegions allowedRegions(String host) {
        return AllowedRegions.listed(regionsByHost.getOrDefault(hostKey(host), Set.of()));
    }

    private static Map<String, Set<String>> regionsByHost(Map<String, Map<String, Route>> byHost) {
        Map<String, Set<String>> regions = new HashMap<>();
        byHost.forEach((host, prefixes) -> prefixes.values()
                .forEach(route ->
                        regions.computeIfAbsent(host, key -> new HashSet<>()).addAll(route.allowedRegions())));
        return regions;
    }

    /**
     * Returns all routes.
     *
     * @return a new list
     */
    public List<Route> routes() {
        return byHost.values().stream()
                .flatMap(prefixes -> prefixes.values().stream())
                .toList();
    }

    private static String hostKey(String host) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
