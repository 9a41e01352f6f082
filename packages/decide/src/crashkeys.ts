/**
 * Crash keys: what requests that crash endpoints may have in common. A request
 * has one key for the whole of it, which a resend shares, and one for each part
 * of its prompt that other requests may share.
 */
import * as core from '@oleanderrock/core';

const WHOLE_REQUEST_MARK = 'w';
const PART_MARK = 'p';

/** Maximum number of parts of one prompt that are tracked. */
const MAX_PARTS = 16;

/** Ids of parts that are kept as they are; a hash has 16 characters. */
const SHORT_ID = /^[0-9a-f]{1,15}$/;

/** Maximum length of a key. */
export const MAX_KEY_LENGTH = 17;

/**
 * The crash keys of a request.
 * @param signature hash of the whole request, of 16 characters
 * @param promptParts ids of the parts of its prompt that others may share
 */
export function crashKeys(
  signature: string,
  promptParts: readonly string[],
): readonly string[] {
  const parts = new Set(promptParts.slice(0, MAX_PARTS));
  return [WHOLE_REQUEST_MARK + signature, ...[...parts].map(partKey)];
}

/** The crash key of a part of prompts. */
export function partKey(id: string): string {
  return PART_MARK + (SHORT_ID.test(id) ? id : core.hash64(id));
}

/** Whether the key stands for a whole request. */
export function isWholeRequest(key: string): boolean {
  return key.startsWith(WHOLE_REQUEST_MARK);
}
