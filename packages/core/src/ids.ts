/** Ids: UUID version 7, which carry their time of creation. */
import * as uuid from 'uuid';

/** A new id; ids made later sort later. */
export function createId(): string {
  return uuid.v7();
}

/** Whether `text` is a UUID of version 7. */
export function isTimed(text: string): boolean {
  return uuid.validate(text) && uuid.version(text) === 7;
}

/** When a version 7 id was made, in ms since 1970. */
export function createdMs(id: string): number {
  return Number.parseInt(id.replaceAll('-', '').slice(0, 12), 16);
}
