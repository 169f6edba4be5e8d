package org.fuchsiawinch.server.stream;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.fuchsiawinch.workflow.record.RecordFormatException;

/** Decodes entries of the cell's stream and skips unreadable ones. Not thread-safe, because its log is not. */
public final class RecordReader {

    private final RecordCodec codec = new RecordCodec();
    private final DecisionLog log;

    /**
     * Creates a reader.
     *
     * @param log receives a line for each unreadable entry
     */
    public RecordReader(DecisionLog log) {
        this.log = log;
    }

    /**
     * Decodes entries, skipping unreadable ones.
     *
     * @param entries the entries
     * @return the records in the order of their entries
     */
    public List<CellRecord> read(List<StreamStore.StoredEntry> entries) {
        List<CellRecord> records = new ArrayList<>(entries.size());
        for (StreamStore.StoredEntry stored : entries) {
            try {
                records.add(codec.decode(stored.entry().key(), stored.entry().value()));
            } catch (RecordFormatException e) {
                log.line("record-unreadable", "offset", stored.offset(), "problem", e.getMessage());
            }
        }
        return records;
    }
}
