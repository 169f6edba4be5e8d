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
record SystemRecords(Map<String, Long> spendMicros, double fragmentation, int samples) {

    /** Parses a node's records in JSON Lines format. */
    static SystemRecords parse(String text) {
        JsonCodec json = new JsonCodec();
        List<Line> lines = text.lines()
                .map(line -> json.decode(line.getBytes(StandardCharsets.UTF_8), Line.class))
                .toList();
        Map<String, Long> spend = lines.stream()
                .filter(line -> line.type().equals("job"))
                .collect(Collectors.groupingBy(
                        Line::workspace, TreeMap::new, Collectors.summingLong(Line::spendMicros)));
        List<Line> samples =
                lines.stream().filter(line -> line.type().equals("sample")).toList();
        double average =
                samples.stream().mapToDouble(Line::fragmentation).average().orElse(0);
        return new SystemRecords(spend, average, samples.size());
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
    private record Line(String type, String workspace, long spendMicros, double fragmentation) {}
}
