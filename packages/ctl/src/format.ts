/** Formats tables, times and rows for text output. */

/** Aligns rows of cells in columns below a header. */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [header.map(title => title.toUpperCase()), ...rows];
  const widths = [...header.keys()].map(column =>
    Math.max(...lines.map(cells => cells[column]?.length ?? 0)),
  );
  return lines
    .map(cells =>
      cells
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats a wall-clock time in ms as an ISO 8601 time. */
export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString();
}

/** Formats a value as JSON, but a string without quotes. */
export function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Joins items by commas; a dash if there are none. */
export function commaSeparated(items: readonly string[]): string {
  return items.length === 0 ? '-' : items.join(',');
}

/** Lists the fields of a row by path, such as `match.method`, with values. */
export function flattenFields(
  row: object,
  prefix = '',
): ReadonlyArray<[string, string]> {
  return Object.entries(row).flatMap(([name, value]: [string, unknown]) => {
    const path = prefix + name;
    if (isNestedObject(value)) return flattenFields(value, `${path}.`);
    return [[path, formatValue(value)] as [string, string]];
  });
}

function isNestedObject(fieldValue: unknown): fieldValue is object {
  return (
    typeof fieldValue === 'object' &&
    fieldValue !== null &&
    !Array.isArray(fieldValue)
  );
}
