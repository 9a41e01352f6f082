/** Which headers of a message go on to the next hop. */
import type * as http from 'node:http';

/** Headers that apply to one connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
]);

/** Headers to forward to the next hop; repeated values are joined by commas. */
export function endToEndHeaders(
  headers: http.IncomingHttpHeaders,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}
