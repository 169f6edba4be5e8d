package org.fuchsiawinch.explore;

import java.nio.charset.StandardCharsets;

import org.fuchsiawinch.model.JobSpec;

/**
 * Job with its actual run time.
 *
 * @param spec the job as declared; its deadline is relative to the start of the schedule
 * @param runMs actual run time of each part on a worker of speed 1.0, in ms
 */
record JobPlan(JobSpec spec, long runMs) {

    /** Returns the payload. Variant 0 is the job's own; other variants reuse the job's key for a different payload. */
    byte[] payload(int variant) {
        return (spec.id() + ":" + variant + ":" + runMs).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the run time encoded in a payload, in ms, or 1 if it encodes none. */
    static long runMs(byte[] payload) {
        String text = new String(payload, StandardCharsets.UTF_8);
        int colon = text.lastIndexOf(':');
        return colon < 0 ? 1 : Long.parseLong(text.substring(colon + 1));
    }

    /** Returns the answer of one part. */
    static byte[] partAnswer(byte[] payload, int part) {
        return (new String(payload, StandardCharsets.UTF_8) + "/" + part + ";").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the whole answer to the payload of a variant: the answers of all parts in order. */
    String wholeAnswer(int variant) {
        StringBuilder whole = new StringBuilder();
        for (int part = 0; part < spec.shape().parts(); part++) {
            whole.append(new String(partAnswer(payload(variant), part), StandardCharsets.UTF_8));
        }
        return whole.toString();
    }
}
