/** The record of a case: what was sent, answered and run, with times. */
import * as fs from 'node:fs';
import * as path from 'node:path';

/** Writes `record.txt` in the folder of the case. */
export class Record {
  #startMs = performance.now();
  #file;

  constructor(folder) {
    this.#file = fs.openSync(path.join(folder, 'record.txt'), 'w');
  }

  /** Adds a line: the time since the start in ms, the event and its fields. */
  add(event, fields = {}) {
    const atMs = Math.round(performance.now() - this.#startMs);
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    fs.writeSync(this.#file, `${atMs} ${event} ${text}\n`);
  }
}
