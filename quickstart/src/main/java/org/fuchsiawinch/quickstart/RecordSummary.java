package org.fuchsiawinch.quickstart;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.fuchsiawinch.wire.JsonCodec;

/**
 * Spend and fragmentation, summarised from a node's burn report records.
 *
 * @param spendMicros price of the finished jobs by workspace, in millionths of the currency unit
 * @param fragmentation mean of the fragmentation samples, from 0 to 1; 0 without samples
 * @param samples number of fragmentation samples
 */
record RecordSummary(Map<String, Long> spendMicros, double fragmentation, int samples) {

    /** Parses a node's records in JSON Lines format; throws {@code CodecException} on a malformed line. */
    static RecordSummary parse(String text) {
        JsonCodec json = new JsonCodec();
        List<ReportRecord> records = text.lines()
                .map(line -> json.decode(line.getBytes(StandardCharsets.UTF_8), ReportRecord.class))
                .toList();
        Map<String, Long> spend = records.stream()
                .filter(record -> record.type().equals("job"))
                .collect(Collectors.groupingBy(
                        ReportRecord::workspace, TreeMap::new, Collectors.summingLong(ReportRecord::spendMicros)));
        List<ReportRecord> samples = records.stream()
                .filter(record -> record.type().equals("sample"))
                .toList();
        double average = samples.stream()
                .mapToDouble(ReportRecord::fragmentation)
                .average()
                .orElse(0);
        return new RecordSummary(spend, average, samples.size());
    }

    long totalMicros() {
        return spendMicros.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Record of either type; the fields of the other type have their default values.
     *
     * @param type {@code job} or {@code sample}
     * @param workspace workspace of a job
     * @param spendMicros price of a job in millionths of the currency unit
     * @param fragmentation fragmentation of a sample, from 0 to 1
     */
    private record ReportRecord(String type, String workspace, long spendMicros, double fragmentation) {}
}
