/** Hashes of strings, for placement, signatures and short ids on the wire. */
import * as xxhash from 'xxhash-wasm';

const api = await xxhash.default();

/** A 32-bit hash of `text`. */
export function hash32(text: string, seed = 0): number {
  return api.h32(text, seed);
}

/** A 64-bit hash of `text`, as 16 hexadecimal digits. */
export function hash64(text: string): string {
  return api.h64ToString(text);
}

/**
 * Rendezvous score of `node` for `key`: each key ranks all nodes, and a node
 * that comes or goes moves only its own keys.
 */
export function score(key: string, node: string): number {
  return api.h32(key, api.h32(node));
}

/** Nodes in descending order of their score for `key`. */
export function rank(key: string, nodes: readonly string[]): string[] {
  const scored = nodes.map(node => ({node, value: score(key, node)}));
  scored.sort((a, b) => b.value - a.value || (a.node < b.node ? -1 : 1));
  return scored.map(entry => entry.node);
}

/** The node with the highest score for `key`; undefined where there is none. */
export function best(
  key: string,
  nodes: readonly string[],
): string | undefined {
  let found: string | undefined;
  let highest = -1;
  for (const node of nodes) {
    const value = score(key, node);
    const isFirst = value === highest && found !== undefined && node < found;
    if (value > highest || isFirst) {
      found = node;
      highest = value;
    }
  }
  return found;
}
