/** Chat memory, compared with a plain list in order of use. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as memory from '../memory.js';

const SEED = 412;
const RUNS = 300;
const MAX_CHATS = 5;

const chat = fc.nat(8).map(id => `chat-${id}`);
const endpoint = fc.nat(3).map(id => `engine-${id}`);
const STEP = fc.oneof(
  fc.record({type: fc.constant('recall' as const), chat}),
  fc.record({type: fc.constant('remember' as const), chat, endpoint}),
  fc.record({type: fc.constant('forget' as const), endpoint}),
  fc.record({type: fc.constant('remove' as const), endpoint, limit: fc.nat(3)}),
);
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

/** Model: a plain list, the most recently used chat first. */
class ListMemory implements memory.ChatMemory {
  private entries: memory.ChatEntry[] = [];

  recall(key: string): string | undefined {
    const existing = this.entries.find(entry => entry.chat === key);
    if (existing) this.remember(existing);
    return existing?.endpoint;
  }

  remember(entry: memory.ChatEntry): void {
    const others = this.entries.filter(other => other.chat !== entry.chat);
    this.entries = [entry, ...others].slice(0, MAX_CHATS);
  }

  forget(name: string): void {
    this.entries = this.entries.filter(entry => entry.endpoint !== name);
  }

  removeMatching(matches: (entry: memory.ChatEntry) => boolean, limit: number) {
    const removed = this.entries.filter(matches).slice(0, limit);
    this.entries = this.entries.filter(entry => !removed.includes(entry));
    return removed;
  }

  get size(): number {
    return this.entries.length;
  }
}

function applyStep(chatMemory: memory.ChatMemory, step: Step): unknown {
  if (step.type === 'recall') return chatMemory.recall(step.chat);
  if (step.type === 'forget') return chatMemory.forget(step.endpoint);
  if (step.type === 'remember') {
    return chatMemory.remember({chat: step.chat, endpoint: step.endpoint});
  }
  return chatMemory.removeMatching(
    entry => entry.endpoint === step.endpoint,
    step.limit,
  );
}

describe('memory of chats', () => {
  it('behaves like a plain list with the most recently used chat first', () => {
    const steps = fc.array(STEP, {maxLength: 60});
    const property = fc.property(steps, drawn => {
      const lruMemory = new memory.LruChatMemory({maxChats: MAX_CHATS});
      const model = new ListMemory();
      for (const step of drawn) {
        chai
          .expect(applyStep(lruMemory, step))
          .to.deep.equal(applyStep(model, step));
        chai.expect(lruMemory.size).to.equal(model.size);
      }
      const remaining = lruMemory.removeMatching(() => true, MAX_CHATS);
      chai
        .expect(remaining)
        .to.deep.equal(model.removeMatching(() => true, MAX_CHATS));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
