/**
 * Test support: the response to a caller that takes all at once and keeps
 * nothing. It has each method of the interface, so that a method that is added
 * there can't be missing here.
 */
import * as core from '@oleanderrock/core';
import type * as direct from '../index.js';

/** Drops what it is given. */
export class QuietCallerResponse implements direct.CallerResponse {
  readonly memory = new core.CallMemory();
  readonly hasBegun = false;

  constructor(
    readonly callerGone: AbortSignal = new AbortController().signal,
  ) {}

  writeHead(): void {}

  write(): undefined {}

  writeAll(): undefined {}

  end(): void {}

  endWith(): void {}

  abort(): void {}
}
