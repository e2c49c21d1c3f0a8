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

/**
 * Measures the time of the decisions that are made for each request: {@code java -cp ... org.openjdk.jmh.Main
 * DecisionBenchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final int ORGANISATIONS = 10;

    /** The number of replicas of the target, or of requests that wait in the queue. */
    @Param({"8", "48"})
    private int size;

    private ReplicaTable table = ReplicaTable.empty();
    private Admission admission = Admission.create(1, 64);
    private long nextId;

    /** Fills the replica table and the queue. */
    @Setup
    public void fill() {
        for (int index = 0; index < size; index++) {
            table = table.recordReport(new Replica.Report("vm-" + index, "inlay", "inlay/1", "f", true, index % 5, 16));
        }
        admission = Admission.create(1, 64).open(0).state();
        for (int index = 0; index < size; index++) {
            admission = admission.arrive(request(index)).state();
        }
    }

    /**
     * Chooses a replica.
     *
     * @return the chosen replica
     */
    @Benchmark
    public ReplicaTable.Choice route() {
        return table.choose(new ReplicaTable.Requirements("inlay", List.of("inlay/1"), nextId++, Set.of(), true), 0);
    }

    /**
     * Adds a request to a queue in which others wait.
     *
     * @return the state afterwards
     */
    @Benchmark
    public Admission.Step admit() {
        return admission.arrive(request(size + nextId++));
    }

    private static PendingRequest request(long id) {
        return new PendingRequest(id, "organisation-" + id % ORGANISATIONS, Priority.BATCH, 1, id, Long.MAX_VALUE);
    }
}
