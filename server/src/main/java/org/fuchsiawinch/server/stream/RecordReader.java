package org.fuchsiawinch.server.stream;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import org.fuchsiawinch.workflow.record.RecordFormatException;

/** Decodes entries of the cell's stream; passes over those that cannot be read. Not thread-safe, as its log. */
public final class RecordReader {

    private final RecordCodec codec = new RecordCodec();
    private final DecisionLog log;

    /**
     * Creates a reader.
     *
     * @param log takes a line for each entry that cannot be read
     */
    public RecordReader(DecisionLog log) {
        this.log = log;
    }

    /**
     * Decodes entries.
     *
     * @param entries the entries
     * @return their records, in order
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
