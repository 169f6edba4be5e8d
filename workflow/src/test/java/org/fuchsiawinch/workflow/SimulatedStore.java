package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Simulated store: the stream of one cell with appends fenced by epoch, and the list of workers. */
final class SimulatedStore {

    /** Silence in ms after which a worker's entry expires. */
    static final long ENTRY_EXPIRY_MS = 1500;

    final List<CellRecord> stream = new ArrayList<>();
    final Map<WorkerId, WorkerRegistration> listed = new TreeMap<>();
    boolean down;
    private final Map<String, CellRecord> newest = new LinkedHashMap<>();
    private final Map<WorkerId, Long> lastCheckInMs = new HashMap<>();
    private long fence;
    private long lastSequence;

    /** Returns the newest record of each key, in order of their offsets. */
    List<CellRecord> newest() {
        return List.copyOf(newest.values());
    }

    /** Appends records once per sequence number; returns whether the epoch is the highest so far. */
    boolean append(long epoch, long sequence, List<CellRecord> records) {
        if (epoch < fence) {
            return false;
        }
        if (epoch == fence && sequence <= lastSequence) {
            return true;
        }
        fence = epoch;
        lastSequence = sequence;
        records.forEach(this::append);
        return true;
    }

    void append(CellRecord record) {
        stream.add(record);
        newest.remove(record.key());
        if (!(record instanceof CellRecord.Removed)) {
            newest.put(record.key(), record);
        }
    }

    void checkIn(WorkerRegistration registration, long nowMs) {
        listed.put(registration.id(), registration);
        lastCheckInMs.put(registration.id(), nowMs);
    }

    void removeEntry(WorkerId worker) {
        listed.remove(worker);
    }

    /** Removes entries without a check-in for too long. */
    void expireEntries(long nowMs) {
        listed.keySet().removeIf(worker -> nowMs - lastCheckInMs.get(worker) > ENTRY_EXPIRY_MS);
    }

    /** Counts the silence of all workers from now, as a store does that was down and pauses the expiry meanwhile. */
    void restartExpiry(long nowMs) {
        lastCheckInMs.replaceAll((worker, checkInMs) -> nowMs);
    }
}
