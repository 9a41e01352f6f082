/** Reads JSON from a file or from standard input. */
import * as fs from 'node:fs/promises';
import * as streamConsumers from 'node:stream/consumers';
import * as core from '@oleanderrock/core';
import * as results from './results.js';

/** File name that stands for standard input. */
export const STANDARD_INPUT = '-';

/** Reads JSON from the file `name`, or from `input` if the name is `-`. */
export async function readJson(
  name: string,
  input: NodeJS.ReadableStream,
): Promise<results.Result<unknown>> {
  try {
    const text =
      name === STANDARD_INPUT
        ? await streamConsumers.text(input)
        : await fs.readFile(name, 'utf8');
    return results.succeed(JSON.parse(text) as unknown);
  } catch (error) {
    return results.fail('usage', `${name}: ${core.errorMessage(error)}`);
  }
}
