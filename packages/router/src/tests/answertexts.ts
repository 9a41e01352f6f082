/**
 * Test data: texts of answers that endpoints might send a second time, with
 * their lines in any order.
 */
import * as fc from 'fast-check';

/** Statuses of refusals, which promise that the request did not run. */
export const REFUSAL_STATUSES = [
  '503 Service Unavailable',
  '429 Too Many Requests',
  '421 Misdirected Request',
  '408 Request Timeout',
];

/** Statuses of requests that ran. */
export const RUN_STATUSES = [
  '500 Internal Server Error',
  '404 Not Found',
  '200 OK',
  '204 No Content',
];

const INFORMATION_STATUSES = [
  '100 Continue',
  '101 Switching Protocols',
  '103 Early Hints',
];

const ID_LINE = 'attempt-id: earlier';
/** States that the request did not run. */
export const MARK_LINE = 'not-executed: 1';
const SEAL_LINE = 'response-seal: e1.earlier';
/** Further lines of an answer. */
export const OTHER_LINES = [
  'retry-after: 0.25',
  'server-load: 1,0,8',
  'connection: close',
  'content-length: 0',
];

/** Head with the lines. */
export function headText(status: string, lines: readonly string[]): string {
  return [`HTTP/1.1 ${status}`, ...lines, '', ''].join('\r\n');
}

/** Heads with the line and some of the others, in any order. */
function headTexts(
  status: string,
  line: string,
  otherLines: readonly string[],
): fc.Arbitrary<string> {
  return fc
    .shuffledSubarray([...otherLines])
    .chain(others =>
      fc
        .nat(others.length)
        .map(index => headText(status, others.toSpliced(index, 0, line))),
    );
}

/** Refusals, with or without id. */
export const REFUSAL_TEXTS = fc
  .constantFrom(...REFUSAL_STATUSES)
  .chain(status => headTexts(status, MARK_LINE, [ID_LINE, ...OTHER_LINES]));

/** A refusal of each status, without id. */
export const REFUSAL_EXAMPLES = REFUSAL_STATUSES.map(status =>
  headText(status, [MARK_LINE, ...OTHER_LINES]),
);

/** Failures and successes, with or without id. */
export const RUN_TEXTS = fc
  .constantFrom(...RUN_STATUSES)
  .chain(status => headTexts(status, SEAL_LINE, [ID_LINE, ...OTHER_LINES]));

/** Informational heads, with or without id. */
export const INFORMATION_TEXTS = fc
  .constantFrom(...INFORMATION_STATUSES)
  .chain(status => headTexts(status, SEAL_LINE, [ID_LINE, ...OTHER_LINES]));

/** The text cut at each offset, its start and its end excluded. */
export function cutsOf(text: string): string[] {
  return Array.from({length: text.length - 1}, (unused, index) =>
    text.slice(0, index + 1),
  );
}
