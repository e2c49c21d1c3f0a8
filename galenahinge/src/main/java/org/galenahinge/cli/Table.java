package org.galenahinge.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of text in aligned columns, separated by two spaces. The first row holds the column names. */
final class Table {
    private final List<List<String>> rows = new ArrayList<>();

    private Table() {}

    static Table withColumns(String... names) {
        return new Table().row(names);
    }

    /** Adds a row, with as many cells as there are columns, and returns this table. */
    Table row(String... cells) {
        rows.add(List.of(cells));
        return this;
    }

    String render() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int column = 0; column < columns; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                String cell = row.get(column);
                line.append(cell).append(" ".repeat(widths[column] - cell.length() + 2));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
