/** Slopes of memory, by the classes that hold the state. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as samples from './samples.js';
import * as slopes from './slope.js';

const CHATS = 50_000;
const CUSTOMERS = 20_000;
const PEERS = 4_100;
const KEYS = 20_000;
const FAR_MS = 1e12;

/** Bytes of heap of one chat, customer, peer and key. */
export class MemorySlopes implements slopes.Measurement {
  run(): Promise<slopes.Slope[]> {
    const bytes = (name: string, count: number, make: () => object) => ({
      name,
      value: slopes.heapBytes(count, make),
      unit: 'B',
    });
    return Promise.resolve([
      bytes('memory of a remembered chat', CHATS, rememberChats),
      bytes('memory of a customer in the book of usage', CUSTOMERS, useAll),
      bytes('memory of a customer waiting in a queue', CUSTOMERS, queueAll),
      bytes('memory of a peer and its digest', PEERS, meetPeers),
      bytes('memory of a claimed and answered key', KEYS, claimKeys),
    ]);
  }
}

function rememberChats(): object {
  const memory = new decide.LruChatMemory({maxChats: CHATS});
  for (const index of slopes.range(CHATS)) {
    const endpoint = `engine-${index % 8}`;
    memory.remember({chat: `${core.createId()}`, endpoint});
  }
  return memory;
}

function useAll(): object {
  const book = new decide.MinuteUsageTracker({maxCustomers: CUSTOMERS});
  for (const index of slopes.range(CUSTOMERS)) {
    const customer = `customer-${index}`;
    const use = {route: 'chat', pool: 'model', requests: 1, tokens: 1_000};
    book.add({customer, ...use}, 0);
  }
  return book;
}

function queueAll(): object {
  const queue = new decide.FairQueue<number>({maxQueued: CUSTOMERS});
  for (const index of slopes.range(CUSTOMERS)) {
    const customer = `customer-${index}`;
    queue.offer({customer, priority: 1, deadlineMs: FAR_MS, value: index});
  }
  return queue;
}

function meetPeers(): object {
  const state = new samples.PeerState();
  const names = slopes.range(PEERS).map(index => `router-${index}`);
  state.membership.watch(names, 0);
  for (const [index, name] of names.entries()) {
    state.adopt(name, samples.digest(index, 2));
  }
  return state;
}

function claimKeys(): object {
  const book = new decide.StreamClaimRegistry({windowMs: FAR_MS});
  for (const index of slopes.range(KEYS)) {
    book.apply(index, samples.claims(1), Date.now());
  }
  return book;
}
