package org.fuchsiawinch.ctl.output;

import java.util.ArrayList;
import java.util.List;

/**
 * Formats rows of cells as aligned columns. Replaces control characters in cells by {@code ?}, so that a node's reply
 * or a file cannot send escape sequences to the terminal. Stateless.
 */
public final class TextTable {

    private static final String COLUMN_GAP = "  ";

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
        List<List<String>> cells = rows.stream()
                .map(row ->
                        row.stream().map(TextTable::replaceControlCharacters).toList())
                .toList();
        int columns = cells.isEmpty() ? 0 : cells.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : cells) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        cells.forEach(row -> text.append(formatRow(row, widths)));
        return text.toString();
    }

    private static String formatRow(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            line.append(i == 0 ? "" : COLUMN_GAP).append(row.get(i));
            line.append(" ".repeat(widths[i] - row.get(i).length()));
        }
        return line.toString().stripTrailing() + "\n";
    }

    private static String replaceControlCharacters(String cell) {
        return cell.replaceAll("\\p{Cntrl}", "?");
    }
}
