/** Runs many tasks with a bound on how many run at a time. */

/**
 * Runs all tasks, in order of their start, and resolves with their results.
 * Once one fails no other is started.
 */
export async function run<T>(
  tasks: ReadonlyArray<() => Promise<T>>,
  limit: number,
): Promise<T[]> {
  const results: T[] = [];
  const waiting = tasks.entries();
  let hasFailed = false;
  const work = async () => {
    for (const [index, task] of waiting) {
      if (hasFailed) return;
      try {
        results[index] = await task();
      } catch (error) {
        hasFailed = true;
        throw error;
      }
    }
  };
  await Promise.all([...Array(limit).keys()].map(work));
  return results;
}
