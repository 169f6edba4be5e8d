package org.fuchsiawinch.core.internal;

import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;

/** Waiting jobs that are equivalent for placement: if one does not fit, none does. Not thread-safe. */
final class JobClass {

    /** Order in which jobs start within a class; classes are ordered by their first jobs. */
    static final Comparator<Job> ORDER = Comparator.<Job>comparingInt(
                    job -> job.spec().urgency().ordinal())
            .thenComparingLong(Job::orderKey)
            .thenComparingLong(Job::sequence);

    private final Key key;
    private final MisfitCache.Key misfitKey;
    private final TreeSet<Job> jobs = new TreeSet<>(ORDER);
    private ReasonCode waitCode = ReasonCode.WAIT_CAPACITY;
    private boolean blocked;

    JobClass(Key key) {
        this.key = key;
        this.misfitKey = new MisfitCache.Key(
                key.shape().parts(), key.perPart(), key.shape().adjacency(), CapacityScope.FREE);
    }

    Key key() {
        return key;
    }

    /** Returns the cache key of the search for free capacity for the class's shape. */
    MisfitCache.Key misfitKey() {
        return misfitKey;
    }

    TreeSet<Job> jobs() {
        return jobs;
    }

    Job first() {
        return jobs.first();
    }

    /** Returns whether the class is skipped until capacity grows. */
    boolean blocked() {
        return blocked;
    }

    void blocked(boolean on) {
        blocked = on;
    }

    ReasonCode waitCode() {
        return waitCode;
    }

    void waitCode(ReasonCode code) {
        waitCode = code;
    }

    /**
     * The properties in which the jobs of a class are equal.
     *
     * @param workspace the workspace
     * @param urgency the urgency
     * @param shape the declared shape
     * @param perPart granted resources of each part
     * @param reclaimable whether the job is idempotent or can be checkpointed
     * @param avoid workers that the next attempt must not use
     */
    record Key(
            WorkspaceId workspace,
            Urgency urgency,
            Shape shape,
            Resources perPart,
            boolean reclaimable,
            Set<WorkerId> avoid) {}
}
