package org.fuchsiawinch.ctl.output;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of cells as aligned columns. Replaces control characters in cells by {@code ?}. Stateless. */
public final class TextTable {

    private static final String GAP = "  ";

    private TextTable() {}

    /**
     * Formats a table with a header.
     *
     * @param header names of the columns
     * @param rows rows with as many cells as the header
     * @return lines, each with a trailing line break
     */
    public static String withHeader(List<String> header, List<List<String>> rows) {
        List<List<String>> all = new ArrayList<>();
        all.add(header);
        all.addAll(rows);
        return withoutHeader(all);
    }

    /**
     * Formats a table without a header.
     *
     * @param rows rows of equal length
     * @return lines, each with a trailing line break
     */
    public static String withoutHeader(List<List<String>> rows) {
        List<List<String>> printable = rows.stream()
                .map(row -> row.stream().map(TextTable::printable).toList())
                .toList();
        int columns = printable.isEmpty() ? 0 : printable.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : printable) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        printable.forEach(row -> text.append(line(row, widths)));
        return text.toString();
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            line.append(i == 0 ? "" : GAP).append(row.get(i));
            line.append(" ".repeat(widths[i] - row.get(i).length()));
        }
        return line.toString().stripTrailing() + "\n";
    }

    private static String printable(String cell) {
        return cell.replaceAll("\\p{Cntrl}", "?");
    }
}
