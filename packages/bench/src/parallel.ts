/** Runs tasks with a limit on concurrency. */

/**
 * Starts all tasks in order, at most `limit` at a time, and resolves with their
 * results in the same order. Rejects with the first error, after which no more
 * tasks are started.
 */
export async function runAll<T>(
  tasks: ReadonlyArray<() => Promise<T>>,
  limit: number,
): Promise<T[]> {
  const results: T[] = [];
  const pendingTasks = tasks.entries();
  let hasFailed = false;
  const runWorker = async () => {
    for (const [index, task] of pendingTasks) {
      if (hasFailed) return;
      try {
        results[index] = await task();
      } catch (error) {
        hasFailed = true;
        throw error;
      }
    }
  };
  await Promise.all([...Array(limit).keys()].map(runWorker));
  return results;
}
