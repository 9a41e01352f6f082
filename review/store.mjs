/**
 * Stand-in for the platform's store: keyed topics with one partition each, as
 * PROTOCOL.md describes them. It answers reads, long polls and appends.
 */
import * as http from 'node:http';

/** Longest wait of a read for a first record, in ms. */
const MAX_WAIT_MS = 30_000;

/** A store that keeps all records in memory. */
export class Store {
  #topics = new Map();
  #waiters = new Set();
  #server = http.createServer((request, response) =>
    this.#serve(request, response),
  );

  /** Listens at the address; the store serves until the process ends. */
  listen(host, port) {
    this.#server.keepAliveTimeout = 60_000;
    return new Promise(resolve => this.#server.listen(port, host, resolve));
  }

  /** Appends a record; without a value, deletes the key. */
  put(topic, key, value) {
    const bytes =
      value === undefined || Buffer.isBuffer(value)
        ? value
        : Buffer.from(JSON.stringify(value));
    const records = this.#records(topic);
    records.push({key, value: bytes});
    for (const wake of [...this.#waiters]) wake();
    return records.length - 1;
  }

  #records(topic) {
    if (!this.#topics.has(topic)) this.#topics.set(topic, []);
    return this.#topics.get(topic);
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (url.pathname === '/log-newest') this.#sendNewest(topic, response);
    else if (url.pathname === '/log-read') {
      await this.#sendRecords(topic, url.searchParams, request, response);
    } else if (url.pathname === '/log-append') {
      this.#append(topic, Buffer.concat(chunks), response);
    } else {
      response.writeHead(404).end();
    }
  }

  #sendNewest(topic, response) {
    const newest = new Map();
    this.#records(topic).forEach(({key, value}, offset) => {
      if (value)
        newest.set(key, {key, value: value.toString('base64'), offset});
      else newest.delete(key);
    });
    const items = [...newest.values()];
    const body = {items, hasMore: false, end: this.#records(topic).length};
    sendJson(response, body);
  }

  async #sendRecords(topic, query, request, response) {
    const from = Number(query.get('from'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    const records = this.#records(topic);
    if (records.length <= from && waitMs > 0) {
      await this.#waitForRecord(request, waitMs, () => records.length > from);
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const body = Buffer.concat([head, ...records.slice(from).map(encode)]);
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': body.length,
    });
    response.end(body);
  }

  #waitForRecord(request, waitMs, isDone) {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const wake = () => isDone() && finish();
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(wake);
      request.socket.once('close', finish);
    });
  }

  #append(topic, bytes, response) {
    const offset = this.#records(topic).length;
    for (let at = 0; at + 4 <= bytes.length;) {
      const end = at + 4 + bytes.readUInt32BE(at);
      const content = bytes.subarray(at + 4, end);
      const keyEnd = 1 + content[0];
      const key = content.toString('utf8', 1, keyEnd);
      const value = content.subarray(keyEnd);
      this.put(topic, key, value.length > 0 ? Buffer.from(value) : undefined);
      at = end;
    }
    sendJson(response, {offset, end: this.#records(topic).length});
  }
}

function encode({key, value = Buffer.alloc(0)}) {
  const keyBytes = Buffer.from(key);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(1 + keyBytes.length + value.length);
  return Buffer.concat([
    length,
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
}

function sendJson(response, body) {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}
