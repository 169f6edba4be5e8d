package org.fuchsiawinch.explore;

import java.nio.charset.StandardCharsets;

import org.fuchsiawinch.model.JobSpec;

/**
 * A job with its true run time.
 *
 * @param spec the job as declared; its deadline is relative to the start of the schedule
 * @param runMs true run time in ms of each part on a worker of speed 1.0
 */
record JobPlan(JobSpec spec, long runMs) {

    /** Gives the payload; variant 0 is the right one, others reuse the key. */
    byte[] payload(int variant) {
        return (spec.id() + ":" + variant + ":" + runMs).getBytes(StandardCharsets.UTF_8);
    }

    /** Gives the run time in ms that a payload asks for. */
    static long runMs(byte[] payload) {
        String text = new String(payload, StandardCharsets.UTF_8);
        int colon = text.lastIndexOf(':');
        return colon < 0 ? 1 : Long.parseLong(text.substring(colon + 1));
    }

    /** Gives the answer of one part. */
    static byte[] partAnswer(byte[] payload, int part) {
        return (new String(payload, StandardCharsets.UTF_8) + "/" + part + ";").getBytes(StandardCharsets.UTF_8);
    }

    /** Gives the whole answer to a payload. */
    String wholeAnswer(int variant) {
        StringBuilder whole = new StringBuilder();
        for (int part = 0; part < spec.shape().parts(); part++) {
            whole.append(new String(partAnswer(payload(variant), part), StandardCharsets.UTF_8));
        }
        return whole.toString();
    }
}
