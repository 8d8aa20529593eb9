function formatCell(value: unknown): string {
  if (value === undefined || value === null) {
    return '-';
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Formats rows as aligned columns below a header line. */
export function renderTable(
  rows: readonly Record<string, unknown>[],
  columns: readonly string[],
): string {
  const lines = [columns, ...rows.map((row) => columns.map((column) => formatCell(row[column])))];
  const widths = columns.map((column, index) =>
    Math.max(...lines.map((line) => (line[index] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((text, index) => text.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
