/** Text for people: tables, times and rows. */

/** Lays cells out in columns under a head. */
export function table(
  head: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [head.map(title => title.toUpperCase()), ...rows];
  const widths = [...head.keys()].map(column =>
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

/** A wall-clock time in milliseconds as an ISO time. */
export function time(atMs: number): string {
  return new Date(atMs).toISOString();
}

/** A value on one line; text stands without quotes. */
export function value(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content);
}

/** Words joined by commas, or a dash for none. */
export function words(list: readonly string[]): string {
  return list.length === 0 ? '-' : list.join(',');
}

/** The fields of a row as `a.b=1`, nested names joined by dots. */
export function fields(
  row: object,
  prefix = '',
): ReadonlyArray<[string, string]> {
  return Object.entries(row).flatMap(([name, content]: [string, unknown]) => {
    const path = prefix + name;
    if (isNested(content)) return fields(content, `${path}.`);
    return [[path, value(content)] as [string, string]];
  });
}

function isNested(content: unknown): content is object {
  return (
    typeof content === 'object' && content !== null && !Array.isArray(content)
  );
}
