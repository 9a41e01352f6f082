/**
 * A caller with one kept channel to a router. It sends one request after the
 * other, and leaves a stream after a gap of `gapMs`.
 */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import {HOST} from './deployment.mjs';

/** Longest gap in a stream that a caller accepts, in ms. */
const DEFAULT_GAP_MS = 3_200;

export class Caller {
  #agent = new http.Agent({keepAlive: true, maxSockets: 1});

  constructor(router, record) {
    this.router = router;
    this.record = record;
  }

  /**
   * Sends a request; resolves with its id, the status and the body that came,
   * whether the answer is whole, and whether the channel was reset or closed.
   */
  send({path, method = 'POST', headers = {}, deadlineMs, gapMs, isStream}) {
    const id = crypto.randomBytes(8).toString('hex');
    const limitMs = isStream ? (gapMs ?? DEFAULT_GAP_MS) : deadlineMs;
    const result = {id, path, router: this.router.name, body: ''};
    result.sentMs = performance.now();
    this.record.add('sent', {id, path, router: this.router.name});
    return new Promise(resolve => {
      const request = http.request({
        host: this.router.host,
        port: this.router.port,
        method,
        path,
        agent: this.#agent,
        headers: {
          host: HOST,
          'attempt-id': id,
          'deadline-ms': deadlineMs,
          ...headers,
        },
      });
      let timer;
      const leave = () => {
        result.hasLeft = true;
        request.destroy();
        finish('left');
      };
      const restart = () => {
        clearTimeout(timer);
        timer = setTimeout(leave, limitMs);
      };
      const deadline = setTimeout(leave, deadlineMs);
      const finish = outcome => {
        if (result.outcome) return;
        clearTimeout(timer);
        clearTimeout(deadline);
        result.outcome = outcome;
        result.tookMs = Math.round(performance.now() - result.sentMs);
        const {status = 'none', tookMs} = result;
        this.record.add('answered', {id, outcome, status, ms: tookMs});
        resolve(result);
      };
      restart();
      request.on('error', () => finish('closed'));
      request.on('response', response => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.on('data', chunk => {
          if (result.body.length < 100_000) result.body += chunk;
          if (isStream) restart();
        });
        response.on('error', () => finish('closed'));
        response.on('end', () =>
          finish(response.complete ? 'complete' : 'closed'),
        );
        response.on('close', () => finish('closed'));
      });
      request.end();
    });
  }
}
