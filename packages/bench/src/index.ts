/** Package in preparation. */
export {};
