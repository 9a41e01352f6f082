/**
 * Stand-in for a model engine in trouble, a process of its own: the body of one
 * in `everyNth` of its answers goes on with bytes that are no events, without
 * end, until the caller closes. The bytes come at the speed of a machine's link.
 * It prints the id of each such answer when its channel closes.
 *
 * Arguments: address, port, id of the engine, everyNth (0: never).
 */
import * as http from 'node:http';
import {eventText} from './engine.mjs';

const [host, port, engineId, everyNth] = process.argv.slice(2);
const EVENTS = 4;
const STEP_MS = 60;
/** 600 KB every 10 ms are 480 Mbit/s, the speed of a machine's link. */
const GARBAGE = Buffer.alloc(600_000, 'x');
const GARBAGE_INTERVAL_MS = 10;
let count = 0;

function answer(id, response, isEndless) {
  let number = 0;
  const timer = setInterval(() => {
    number += 1;
    response.write(eventText(number));
    if (number < EVENTS && !isEndless) return;
    clearInterval(timer);
    if (isEndless) pour(id, response);
    else response.end();
  }, STEP_MS);
  response.once('close', () => clearInterval(timer));
}

function pour(id, response) {
  let isFull = false;
  response.on('drain', () => (isFull = false));
  const timer = setInterval(() => {
    if (!isFull) isFull = !response.write(GARBAGE);
  }, GARBAGE_INTERVAL_MS);
  response.once('close', () => {
    clearInterval(timer);
    process.stdout.write(`closed ${id}\n`);
  });
}

const server = http.createServer((request, response) => {
  request.resume();
  if (request.headers['expect-instance'] !== engineId) {
    response.writeHead(421, {'instance-id': engineId}).end();
    return;
  }
  count += 1;
  response.writeHead(200, {
    'attempt-id': request.headers['attempt-id'],
    'response-seal': `seal.${engineId}`,
    'content-type': 'text/event-stream',
  });
  const isEndless = Number(everyNth) > 0 && count % Number(everyNth) === 0;
  answer(request.headers['attempt-id'], response, isEndless);
});
server.listen(Number(port), host, () => process.stdout.write('listening\n'));
