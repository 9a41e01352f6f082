/**
 * JSON between routers, compressed: rows of tables and lists repeat much of
 * each other, and the links of small instances are slow.
 */
import type * as http from 'node:http';
import * as zlib from 'node:zlib';

/** The content encoding of such responses. */
export const CONTENT_ENCODING = 'gzip';

/** Encodes a value as compressed JSON. */
export function encode(value: unknown): Buffer {
  const level = zlib.constants.Z_BEST_SPEED;
  return zlib.gzipSync(JSON.stringify(value), {level});
}

/**
 * Decompresses JSON text; throws if the bytes are not valid or the text exceeds
 * `maxBytes`.
 */
export function decompress(bytes: Buffer, maxBytes: number): Buffer {
  return zlib.gunzipSync(bytes, {maxOutputLength: maxBytes});
}

/** Sends an encoded value. */
export function send(response: http.ServerResponse, encoded: Buffer): void {
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-encoding': CONTENT_ENCODING,
    'content-length': encoded.length,
  });
  response.end(encoded);
}
