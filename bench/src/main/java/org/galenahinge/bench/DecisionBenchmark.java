package org.galenahinge.bench;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.galenahinge.limit.Admission;
import org.galenahinge.limit.PendingRequest;
import org.galenahinge.limit.Priority;
import org.galenahinge.routing.Replica;
import org.galenahinge.routing.ReplicaTable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Times the decisions that are taken for each request: {@code java -cp ... org.openjdk.jmh.Main DecisionBenchmark}. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final int ORGANISATIONS = 10;

    /** Replicas of the target, or calls that wait. */
    @Param({"8", "48"})
    private int size;

    private ReplicaTable table = ReplicaTable.empty();
    private Admission admission = Admission.create(1, 64);
    private long next;

    /** Fills the table and the queue. */
    @Setup
    public void fill() {
        for (int index = 0; index < size; index++) {
            table = table.recordReport(new Replica.Report("vm-" + index, "inlay", "inlay/1", "f", true, index % 5, 16));
        }
        admission = Admission.create(1, 64).open(0).state();
        for (int index = 0; index < size; index++) {
            admission = admission.arrive(call(index)).state();
        }
    }

    /**
     * Chooses a replica.
     *
     * @return the choice
     */
    @Benchmark
    public ReplicaTable.Choice route() {
        return table.choose(new ReplicaTable.Requirements("inlay", List.of("inlay/1"), next++, Set.of(), true), 0);
    }

    /**
     * Admits a call to a queue that others wait in.
     *
     * @return the state afterwards
     */
    @Benchmark
    public Admission.Step admit() {
        return admission.arrive(call(size + next++));
    }

    private static PendingRequest call(long id) {
        return new PendingRequest(id, "organisation-" + id % ORGANISATIONS, Priority.BATCH, 1, id, Long.MAX_VALUE);
    }
}
