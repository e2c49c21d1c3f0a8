package review;

import java.nio.file.Path;

/** Runs a case and turns its result into the exit code of the script. */
public final class CaseRun {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;

    private CaseRun() {}

    /** A case. */
    @FunctionalInterface
    public interface Case {
        /** Returns whether the rule held. */
        boolean run(CaseRecord record, boolean trouble) throws Exception;
    }

    public static void main(String[] arguments, Case reviewCase) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(run(Path.of(arguments[0]), trouble, reviewCase));
    }

    private static int run(Path file, boolean trouble, Case reviewCase) {
        try (CaseRecord record = new CaseRecord(file)) {
            record.line(trouble ? "with the disruption" : "without the disruption");
            return run(record, trouble, reviewCase);
        }
    }

    private static int run(CaseRecord record, boolean trouble, Case reviewCase) {
        try {
            boolean held = reviewCase.run(record, trouble);
            record.line(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
            System.out.println(held ? "the rule held" : "the rule was broken");
            return held ? HELD : BROKEN;
        } catch (Exception e) {
            record.line("RESULT: the case could not run: " + e);
            System.err.println("the case could not run: " + e);
            return COULD_NOT_RUN;
        }
    }
}
