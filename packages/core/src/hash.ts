/** String hashes, for placement, signatures and short ids in messages. */
import * as xxhash from 'xxhash-wasm';

const xxhashApi = await xxhash.default();

/** The 32-bit xxHash of `text`. */
export function hash32(text: string, seed = 0): number {
  return xxhashApi.h32(text, seed);
}

/** The 64-bit xxHash of `text`, as 16 hexadecimal digits. */
export function hash64(text: string): string {
  return xxhashApi.h64ToString(text);
}

/** Number of bytes of a long input that are hashed at a time. */
const HASHED_BYTES = 16_384;

/**
 * The same as `hash64` of the text and the bytes as Latin-1. The hash function
 * copies its input into memory that is never given back, so it is fed piecewise.
 */
export function hash64Bytes(text: string, bytes: Buffer): string {
  if (bytes.length <= HASHED_BYTES) {
    return hash64(text + bytes.toString('latin1'));
  }
  const hash = xxhashApi.create64().update(text);
  for (let start = 0; start < bytes.length; start += HASHED_BYTES) {
    hash.update(bytes.toString('latin1', start, start + HASHED_BYTES));
  }
  return hash.digest().toString(16).padStart(16, '0');
}

/**
 * Score of `node` for `key` in rendezvous hashing: a key belongs to the node
 * with the highest score, so adding or removing a node moves only the keys of
 * that node.
 */
export function rendezvousScore(key: string, node: string): number {
  return xxhashApi.h32(key, xxhashApi.h32(node));
}

/** Nodes by descending rendezvous score for `key`; ties are sorted by name. */
export function rankNodes(key: string, nodes: readonly string[]): string[] {
  const scoredNodes = nodes.map(node => ({
    node,
    score: rendezvousScore(key, node),
  }));
  scoredNodes.sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1));
  return scoredNodes.map(entry => entry.node);
}

/**
 * The node with the highest rendezvous score for `key`, or undefined if there
 * are no nodes. Of several nodes with this score, the first by name wins.
 */
export function topNode(
  key: string,
  nodes: readonly string[],
): string | undefined {
  let winner: string | undefined;
  let winnerScore = -1;
  for (const node of nodes) {
    const score = rendezvousScore(key, node);
    const isTieWinner =
      score === winnerScore && winner !== undefined && node < winner;
    if (score > winnerScore || isTieWinner) {
      winner = node;
      winnerScore = score;
    }
  }
  return winner;
}
