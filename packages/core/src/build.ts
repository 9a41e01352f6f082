/**
 * Identity of the program's build, so that log lines and metrics name the code
 * that wrote them. `scripts/bundle.mjs` fills it in.
 */

/** Replaced by the bundler with a string literal; not defined elsewhere. */
declare const OLEANDER_BUILD_ID: string | undefined;

/**
 * Id of the bundle that runs: 8 hexadecimal digits that follow from its code
 * alone. `unbundled` if the program runs from the compiled packages.
 */
export const BUILD_ID =
  typeof OLEANDER_BUILD_ID === 'undefined' ? 'unbundled' : OLEANDER_BUILD_ID;
