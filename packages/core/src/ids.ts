/** Ids are UUIDs of version 7, which contain their creation time. */
import * as uuid from 'uuid';

/** Creates an id; ids created later sort later. */
export function createId(): string {
  return uuid.v7();
}

/** Whether `text` is a UUID of version 7. */
export function isUuidV7(text: string): boolean {
  return uuid.validate(text) && uuid.version(text) === 7;
}

/** Creation time of a UUID of version 7, in ms since the Unix epoch. */
export function creationTimeMs(id: string): number {
  return Number.parseInt(id.replaceAll('-', '').slice(0, 12), 16);
}
