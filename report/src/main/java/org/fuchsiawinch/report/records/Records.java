package org.fuchsiawinch.report.records;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * Records of one file, each type in the order of the file.
 *
 * @param jobs finished and refused jobs
 * @param samples samples of the system
 * @param spends samples of the spend of workspaces
 */
public record Records(List<JobRecord> jobs, List<SystemSample> samples, List<SpendSample> spends) {

    /** Copies the lists. */
    public Records {
        jobs = List.copyOf(jobs);
        samples = List.copyOf(samples);
        spends = List.copyOf(spends);
    }

    /** Returns the latest time in any record, in ms since the Unix epoch; empty if there are no records. */
    public OptionalLong latestMs() {
        LongStream jobTimes = jobs.stream().mapToLong(JobRecord::endedMs);
        LongStream sampleTimes = samples.stream().mapToLong(SystemSample::atMs);
        LongStream spendTimes = spends.stream().mapToLong(SpendSample::atMs);
        return LongStream.concat(jobTimes, LongStream.concat(sampleTimes, spendTimes))
                .max();
    }
}
