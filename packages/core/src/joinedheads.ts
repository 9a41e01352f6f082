/**
 * Detects a head that the parser read from two responses: a server broke the
 * first off inside its status line or a header, and sent the next one on the same
 * connection. Status and headers of such a head may belong to either of the two.
 */
import type * as http from 'node:http';

/** The beginning of a status line; no header of a single response holds one. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;

/** Whether the head of the response holds the status line of another. */
export function isJoinedHead({
  statusMessage = '',
  rawHeaders,
}: Pick<http.IncomingMessage, 'statusMessage' | 'rawHeaders'>): boolean {
  return (
    STATUS_LINE.test(statusMessage) ||
    rawHeaders.some(text => STATUS_LINE.test(text))
  );
}
