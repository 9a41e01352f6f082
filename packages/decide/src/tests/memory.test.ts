/** Memory of chats against a plain list, the newest first. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as memory from '../memory.js';

const SEED = 412;
const RUNS = 300;
const MAX_CHATS = 5;

const chat = fc.nat(8).map(id => `chat-${id}`);
const endpoint = fc.nat(3).map(id => `engine-${id}`);
const step = fc.oneof(
  fc.record({type: fc.constant('recall' as const), chat}),
  fc.record({type: fc.constant('remember' as const), chat, endpoint}),
  fc.record({type: fc.constant('forget' as const), endpoint}),
  fc.record({type: fc.constant('select' as const), endpoint, limit: fc.nat(3)}),
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

class ListMemory implements memory.ChatMemory {
  private entries: memory.ChatEntry[] = [];

  recall(key: string): string | undefined {
    const found = this.entries.find(entry => entry.chat === key);
    if (found) this.remember(found);
    return found?.endpoint;
  }

  remember(entry: memory.ChatEntry): void {
    const others = this.entries.filter(other => other.chat !== entry.chat);
    this.entries = [entry, ...others].slice(0, MAX_CHATS);
  }

  forget(name: string): void {
    this.entries = this.entries.filter(entry => entry.endpoint !== name);
  }

  select(isWanted: (entry: memory.ChatEntry) => boolean, limit: number) {
    const taken = this.entries.filter(isWanted).slice(0, limit);
    this.entries = this.entries.filter(entry => !taken.includes(entry));
    return taken;
  }

  get size(): number {
    return this.entries.length;
  }
}

function apply(target: memory.ChatMemory, one: Step): unknown {
  if (one.type === 'recall') return target.recall(one.chat);
  if (one.type === 'forget') return target.forget(one.endpoint);
  if (one.type === 'remember') {
    return target.remember({chat: one.chat, endpoint: one.endpoint});
  }
  return target.select(entry => entry.endpoint === one.endpoint, one.limit);
}

describe('memory of chats', () => {
  it('answers as a plain list does', () => {
    const steps = fc.array(step, {maxLength: 60});
    const property = fc.property(steps, list => {
      const chosen = new memory.LruChatMemory({maxChats: MAX_CHATS});
      const model = new ListMemory();
      for (const one of list) {
        chai.expect(apply(chosen, one)).to.deep.equal(apply(model, one));
        chai.expect(chosen.size).to.equal(model.size);
      }
      const rest = chosen.select(() => true, MAX_CHATS);
      chai.expect(rest).to.deep.equal(model.select(() => true, MAX_CHATS));
    });
    fc.assert(property, {seed: SEED, numRuns: RUNS});
  });
});
