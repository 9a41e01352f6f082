/**
 * The version that a pool had alone, by the views of several routers. A router may
 * have missed a version, so it doesn't conclude from its own view alone.
 */

/** What one router knows of the versions that streams of a pool may have. */
export interface VersionView {
  readonly versions: readonly string[];
  /** Whether the router has missed none, as far as it can tell. */
  readonly isComplete: boolean;
}

/**
 * The version that the views agree on: one of them must be complete, and none may
 * hold a second version. Undefined if there is none.
 */
export function agreedVersion(
  views: readonly VersionView[],
): string | undefined {
  const [version, ...others] = new Set(views.flatMap(view => view.versions));
  const isComplete = views.some(view => view.isComplete);
  return isComplete && others.length === 0 ? version : undefined;
}
