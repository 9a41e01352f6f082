/** Memory slopes of the classes that hold a router's state. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as fixtures from './fixtures.js';
import * as measurements from './measurement.js';

const CHATS = 50_000;
const CUSTOMERS = 20_000;
const PEERS = 4_100;
const KEYS = 20_000;
const NO_EXPIRY_MS = 1e12;

/** Measures the heap bytes of one chat, customer, peer and key. */
export class MemorySlopes implements measurements.Measurement {
  measure(): Promise<measurements.Slope[]> {
    const measureBytes = (
      name: string,
      count: number,
      build: () => object,
    ) => ({
      name,
      value: measurements.heapBytesPerItem(count, build),
      unit: 'B',
    });
    return Promise.resolve([
      measureBytes('memory of a remembered chat', CHATS, fillChatMemory),
      measureBytes(
        'memory of a customer in the book of usage',
        CUSTOMERS,
        fillUsageTracker,
      ),
      measureBytes(
        'memory of a customer waiting in a queue',
        CUSTOMERS,
        fillQueue,
      ),
      measureBytes('memory of a peer and its digest', PEERS, fillPeerState),
      measureBytes(
        'memory of a claimed and answered key',
        KEYS,
        fillClaimRegistry,
      ),
    ]);
  }
}

function fillChatMemory(): object {
  const memory = new decide.LruChatMemory({maxChats: CHATS});
  for (const index of measurements.indexes(CHATS)) {
    const endpoint = `engine-${index % 8}`;
    memory.remember({chat: `${core.createId()}`, endpoint});
  }
  return memory;
}

function fillUsageTracker(): object {
  const tracker = new decide.MinuteUsageTracker({maxCustomers: CUSTOMERS});
  for (const index of measurements.indexes(CUSTOMERS)) {
    const customer = `customer-${index}`;
    const usage = {route: 'chat', pool: 'model', requests: 1, tokens: 1_000};
    tracker.add({customer, ...usage}, 0);
  }
  return tracker;
}

function fillQueue(): object {
  const queue = new decide.FairQueue<number>({maxQueued: CUSTOMERS});
  for (const index of measurements.indexes(CUSTOMERS)) {
    const customer = `customer-${index}`;
    queue.offer({
      customer,
      priority: 1,
      deadlineMs: NO_EXPIRY_MS,
      value: index,
    });
  }
  return queue;
}

function fillPeerState(): object {
  const state = new fixtures.PeerState();
  const names = measurements.indexes(PEERS).map(index => `router-${index}`);
  state.membership.watch(names, 0);
  for (const [index, name] of names.entries()) {
    state.applyDigest(name, fixtures.createDigest(index, 2));
  }
  return state;
}

function fillClaimRegistry(): object {
  const registry = new decide.StreamClaimRegistry({maxAgeMs: NO_EXPIRY_MS});
  for (const index of measurements.indexes(KEYS)) {
    registry.apply(index, fixtures.createClaims(1), Date.now());
  }
  return registry;
}
