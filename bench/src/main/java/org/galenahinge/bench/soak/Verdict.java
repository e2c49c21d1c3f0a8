package org.galenahinge.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.standins.platform.CallerResponse;
import org.galenahinge.standins.platform.UpstreamRun;

/** Judges requests by what their callers and the upstreams saw, and by what was done to their entry. */
final class Verdict {
    private final Bounds bounds;

    Verdict(Bounds bounds) {
        this.bounds = Objects.requireNonNull(bounds, "bounds");
    }

    /**
     * What the verdict says.
     *
     * @param finding the finding
     * @param detail what was seen, empty if the finding says it all
     */
    record Judgement(Finding finding, String detail) {}

    /**
     * Judges a request.
     *
     * @param attempt what its caller saw
     * @param runs what upstreams saw of it
     * @param runsBefore what upstreams saw of the request before it whose response was cut, empty if there is none
     * @param work what was done to its entry
     * @return how it ended, and each broken promise beside
     */
    List<Judgement> judge(Attempt attempt, List<UpstreamRun> runs, List<UpstreamRun> runsBefore, PlannedWork work) {
        List<Judgement> judgements = new ArrayList<>();
        judgements.add(new Judgement(judgeEnding(attempt, runs, runsBefore, work), ""));
        long executed = runs.stream().filter(UpstreamRun::executed).count();
        if (!attempt.order().kind().isRepeatable() && executed > 1) {
            judgements.add(new Judgement(Finding.TWICE, "ran " + executed + " times"));
        }
        attempt.mixture().ifPresent(detail -> judgements.add(new Judgement(Finding.MIXED, detail)));
        attempt.disorder().ifPresent(detail -> judgements.add(new Judgement(Finding.DISORDER, detail)));
        return List.copyOf(judgements);
    }

    /**
     * Judges on which versions of the weights the runs of a request began.
     *
     * @param runs what upstreams saw of it
     * @param namings the versions that the store acknowledged
     * @param work what was done to the entry that passed it on
     * @return a judgement for each run that began on a version whose time was over, also if that is excused
     */
    List<Judgement> judgeVersions(List<UpstreamRun> runs, List<Naming> namings, PlannedWork work) {
        return runs.stream()
                .flatMap(run -> run
                        .begin()
                        .flatMap(begin -> findOverdue(begin, namings))
                        .map(overdue -> new Judgement(versionFinding(run, work), describe(run, overdue)))
                        .stream())
                .toList();
    }

    private Finding versionFinding(UpstreamRun run, PlannedWork work) {
        long beginNanos = run.begin().orElseThrow().nanos();
        return isDisturbed(run.arrivalNanos(), beginNanos, work) ? Finding.EXCUSED_VERSION : Finding.VERSION;
    }

    /** Finds the first of the newer versions whose time was over when a run began. */
    private Optional<Naming> findOverdue(UpstreamRun.Begin begin, List<Naming> namings) {
        return namings.stream()
                .filter(naming -> naming.version() > begin.version())
                .filter(naming -> begin.nanos() - naming.acknowledgedNanos()
                        > bounds.versionTime().toNanos())
                .min(Comparator.comparingLong(Naming::acknowledgedNanos));
    }

    private static String describe(UpstreamRun run, Naming overdue) {
        UpstreamRun.Begin begin = run.begin().orElseThrow();
        return "begun by " + run.upstream() + " on version " + begin.version() + ", "
                + Duration.ofNanos(begin.nanos() - overdue.acknowledgedNanos()).toMillis() + " ms after version "
                + overdue.version() + " was acknowledged";
    }

    /** Whether something was done to the entry from the stable window before it passed a request on until that began. */
    private boolean isDisturbed(long passedOnNanos, long beginNanos, PlannedWork work) {
        long fromNanos = passedOnNanos - bounds.stableWindow().toNanos();
        return overlapsAny(work.freezes(), fromNanos, beginNanos)
                || overlapsAny(work.storeAway(), fromNanos, beginNanos)
                || containsAny(work.kills(), fromNanos, beginNanos)
                || containsAny(work.starts(), fromNanos, beginNanos);
    }

    private Finding judgeEnding(
            Attempt attempt, List<UpstreamRun> runs, List<UpstreamRun> runsBefore, PlannedWork work) {
        if (attempt.isComplete()) {
            return judgeComplete(attempt, runs);
        }
        if (attempt.ending() == CallerResponse.Ending.LEFT) {
            return Finding.LEFT_BY_CALLER;
        }
        if (runs.isEmpty() && !wasReadByEntry(attempt)) {
            return judgeUnread(attempt);
        }
        if (runs.isEmpty() && runsBefore.stream().anyMatch(UpstreamRun::brokeOff)) {
            return Finding.BEHIND_BROKEN_OFF;
        }
        if (runs.stream().anyMatch(UpstreamRun::brokeOff)) {
            return Finding.EXCUSED_UPSTREAM;
        }
        if (timeWasOver(attempt)) {
            return Finding.EXCUSED_TIME;
        }
        if (work.stops().stream().anyMatch(stop -> isExcusedAtLastSixth(attempt, runs, stop))) {
            return Finding.EXCUSED_LAST_SIXTH;
        }
        return judgeCut(attempt, !runs.isEmpty(), work);
    }

    private static Finding judgeComplete(Attempt attempt, List<UpstreamRun> runs) {
        if (attempt.isRefused()) {
            boolean ran = runs.stream().anyMatch(UpstreamRun::executed);
            boolean broken = ran && !attempt.order().kind().isRepeatable();
            return broken ? Finding.REFUSED_BUT_RUN : Finding.REFUSED_NOT_RUN;
        }
        return attempt.status() == 502 || attempt.status() == 504 ? Finding.UNKNOWN_OUTCOME : Finding.COMPLETE;
    }

    /**
     * Returns whether the entry must have read a request that it passed to no upstream: it closed the connection in order,
     * with nothing unread on it, and so late that the request did not cross the close.
     */
    private boolean wasReadByEntry(Attempt attempt) {
        long waitedNanos = attempt.endNanos() - attempt.sentNanos();
        return !attempt.closeAnnounced()
                && !attempt.wasReset()
                && !attempt.sentWhileReading()
                && waitedNanos > bounds.lossSlack().toNanos();
    }

    private Finding judgeUnread(Attempt attempt) {
        if (timeWasOver(attempt)) {
            return Finding.EXCUSED_TIME;
        }
        boolean late =
                attempt.endNanos() - attempt.sentNanos() > bounds.lossSlack().toNanos();
        return late && !attempt.closeAnnounced() ? Finding.UNSEEN : Finding.CROSSED;
    }

    private boolean timeWasOver(Attempt attempt) {
        Duration budget = Duration.ofMillis(attempt.budgetMillis());
        Duration least = budget.compareTo(bounds.routeTimeout()) < 0 ? budget : bounds.routeTimeout();
        return attempt.endNanos() - attempt.beginNanos() >= least.toNanos();
    }

    private boolean isExcusedAtLastSixth(Attempt attempt, List<UpstreamRun> runs, long stopNanos) {
        Span lastSixth = bounds.lastSixth(stopNanos);
        boolean early = attempt.sentNanos() <= stopNanos + Bounds.EARLY_REQUEST.toNanos();
        return early && runs.stream().anyMatch(run -> lastSixth.overlaps(run.arrivalNanos(), run.endNanos()));
    }

    private Finding judgeCut(Attempt attempt, boolean passedOn, PlannedWork work) {
        if (isImpaired(attempt, work)) {
            return Finding.DISTURBED;
        }
        if (isAroundStop(attempt, work) || isAroundReload(attempt, work)) {
            return Finding.LOST;
        }
        if (isBesideConfig(attempt, work) && !hasUsedSevenTenths(attempt)) {
            return Finding.CUT_BESIDE_CONFIG;
        }
        return passedOn && isInTouch(attempt, work) ? Finding.CUT_AT_ANY_TIME : Finding.DISTURBED;
    }

    /** A fault of the store alone excuses streams only. */
    private boolean isImpaired(Attempt attempt, PlannedWork work) {
        long fromNanos = attempt.sentNanos() - bounds.stableWindow().toNanos();
        boolean storeCounts = attempt.order().kind().isStream();
        return overlapsAny(work.freezes(), fromNanos, attempt.endNanos())
                || containsAny(work.kills(), fromNanos, attempt.endNanos())
                || (storeCounts && overlapsAny(work.storeAway(), fromNanos, attempt.endNanos()));
    }

    private static boolean overlapsAny(List<Span> spans, long fromNanos, long toNanos) {
        return spans.stream().anyMatch(span -> span.overlaps(fromNanos, toNanos));
    }

    private static boolean containsAny(List<Long> moments, long fromNanos, long toNanos) {
        return moments.stream().anyMatch(new Span(fromNanos, toNanos)::contains);
    }

    private boolean isAroundStop(Attempt attempt, PlannedWork work) {
        return work.stops().stream().map(bounds::stopSpan).anyMatch(span -> span.contains(attempt.endNanos()));
    }

    private boolean isAroundReload(Attempt attempt, PlannedWork work) {
        long applyNanos = bounds.configApply().toNanos();
        return work.reloads().stream()
                .anyMatch(reload -> attempt.sentNanos() <= reload + applyNanos && attempt.endNanos() >= reload);
    }

    private boolean isBesideConfig(Attempt attempt, PlannedWork work) {
        return work.configs().stream().map(bounds::configSpan).anyMatch(span -> span.contains(attempt.endNanos()));
    }

    private static boolean hasUsedSevenTenths(Attempt attempt) {
        long usedNanos = attempt.endNanos() - attempt.beginNanos();
        return usedNanos * 10 >= Duration.ofMillis(attempt.budgetMillis()).toNanos() * 7;
    }

    private boolean isInTouch(Attempt attempt, PlannedWork work) {
        long fromNanos = attempt.sentNanos() - bounds.stableWindow().toNanos();
        Span needed = new Span(fromNanos, attempt.endNanos());
        return !overlapsAny(work.storeAway(), fromNanos, attempt.endNanos())
                && work.stops().stream().noneMatch(needed::contains)
                && work.starts().stream().noneMatch(needed::contains);
    }
}
