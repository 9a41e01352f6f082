/** Asks every router of the fleet the same question. */
import * as core from '@oleanderrock/core';
import * as fleet from './fleet.js';

/** Calls that run at a time, so that a large fleet is asked in steps. */
const MAX_CALLS = 64;

/** What one router said, or why it said nothing. */
export interface Reported<T> {
  readonly router: string;
  readonly result: core.Result<T>;
}

/** A question to this router and to another one. */
export interface Question<T> {
  own(): T;
  ask(router: string): Promise<core.Result<T>>;
}

/** Asks all routers on the list; the answers come in the order of names. */
export async function survey<T>(
  kernel: core.Kernel,
  question: Question<T>,
): Promise<ReadonlyArray<Reported<T>>> {
  const known = kernel.find(fleet.FLEET);
  const self = known.self();
  const rest = known.peers().map(peer => peer.name);
  const reports: Array<Reported<T>> = [
    {router: self, result: core.succeed(question.own())},
  ];
  const work = async () => {
    for (let router = rest.pop(); router; router = rest.pop()) {
      reports.push({router, result: await question.ask(router)});
    }
  };
  const workers = Math.min(MAX_CALLS, rest.length);
  await Promise.all(Array.from({length: workers}, work));
  return reports.sort((left, right) => left.router.localeCompare(right.router));
}

/** The names of the routers that gave no answer. */
export function silent(
  reports: ReadonlyArray<Reported<unknown>>,
): readonly string[] {
  return reports.filter(item => !item.result.ok).map(item => item.router);
}
