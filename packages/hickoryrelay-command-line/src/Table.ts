function cell(value: unknown): string {
  if (value === undefined || value === null) {
    return '-';
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Lays rows out in columns, with a line of column names first. */
export function renderTable(
  rows: readonly Record<string, unknown>[],
  columns: readonly string[],
): string {
  const lines = [columns, ...rows.map((row) => columns.map((column) => cell(row[column])))];
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
