/**
 * The id of a build: a hash of the bundle's files, in which a placeholder stands
 * for the id until it is known.
 */
import * as crypto from 'node:crypto';

/** Stands for the id in the files that are hashed. */
export const PLACEHOLDER = '__OLEANDER_BUILD_ID__';

const ID_LENGTH = 8;

/** Hash of the names and contents of the files, in any order. */
export function buildIdOf(files) {
  const hash = crypto.createHash('sha256');
  const entries = files.map(({name, text}) => JSON.stringify([name, text]));
  for (const entry of entries.sort()) hash.update(entry);
  return hash.digest('hex').slice(0, ID_LENGTH);
}

/** The files with their build id in place of the placeholder. */
export function withBuildId(files) {
  const id = buildIdOf(files);
  return files.map(({name, text}) => ({
    name,
    text: text.replaceAll(PLACEHOLDER, id),
  }));
}
