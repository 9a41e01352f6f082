/** JSON from a file or from standard input. */
import * as fs from 'node:fs/promises';
import * as streamConsumers from 'node:stream/consumers';
import * as core from '@oleanderrock/core';
import * as exits from './exits.js';

/** Name that stands for standard input. */
export const STANDARD_INPUT = '-';

/** Reads JSON; `-` is standard input. */
export async function readJson(
  name: string,
  input: NodeJS.ReadableStream,
): Promise<exits.Result<unknown>> {
  try {
    const text =
      name === STANDARD_INPUT
        ? await streamConsumers.text(input)
        : await fs.readFile(name, 'utf8');
    return exits.succeed(JSON.parse(text) as unknown);
  } catch (error) {
    return exits.stop('usage', `${name}: ${core.reason(error)}`);
  }
}
