/**
 * Stand-in for an engine: it answers with `Attempt-Id` and `Response-Seal`,
 * refuses requests for another instance with 421, and records what it runs.
 */
import * as http from 'node:http';
import {freePort} from './deployment.mjs';

export class Engine {
  /** Requests that began to run, by id. */
  runs = [];

  /**
   * @param handle answers a request that was accepted; it calls `run` once it
   *     begins to work on the request
   */
  constructor(deployment, id, {service = 'oleander-pool', zone, handle}) {
    Object.assign(this, {deployment, id, service, zone, handle});
    this.server = http.createServer((request, response) =>
      this.#serve(request, response),
    );
    this.server.keepAliveTimeout = 30_000;
  }

  async start() {
    this.host = this.deployment.nextAddress();
    this.port = await freePort(this.host);
    await new Promise(resolve =>
      this.server.listen(this.port, this.host, resolve),
    );
    this.deployment.register(this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      born: Date.now(),
    });
  }

  /** Headers of an answer to the request. */
  headersFor(request) {
    return {
      'attempt-id': request.headers['attempt-id'] ?? '',
      'response-seal': `seal.${this.id}`,
    };
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'instance-id': this.id}).end();
      return;
    }
    const id = request.headers['attempt-id'];
    const run = () => {
      this.runs.push({id, atMs: performance.now(), path: request.url});
      this.deployment.record.add('run', {id, engine: this.id});
    };
    await this.handle({engine: this, id, request, response, run});
  }
}

/** Text of an event of a stream. */
export function eventText(number) {
  return `id: ${number}\ndata: token ${number}\n\n`;
}
