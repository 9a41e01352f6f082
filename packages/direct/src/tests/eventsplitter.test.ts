/** Unit tests of where the event splitter sees an event begin and end. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as direct from '../index.js';

const {expect} = chai;

describe('the event splitter', () => {
  it('is inside an event from its first byte to its empty line; blank lines are no event', () => {
    const splitter = new direct.EventSplitter();
    const steps: ReadonlyArray<readonly [string, boolean]> = [
      ['', false],
      ['\n', false],
      ['\r\n', false],
      ['d', true],
      ['ata: x\n', true],
      ['\n', false],
      ['\n', false],
      ['id: 2\r\n\r', true],
      ['\n', false],
      [': comment', true],
    ];
    for (const [text, isInside] of steps) {
      splitter.push(Buffer.from(text));
      expect(splitter.isInsideEvent, JSON.stringify(text)).to.equal(isInside);
    }
  });

  it('passes on all complete events however the stream is divided into chunks', () => {
    const piece = fc.constantFrom('\n', '\r\n', '\r', 'id: 7\n', 'data: x');
    const chunks = fc.array(fc.array(piece).map(pieces => pieces.join('')));
    fc.assert(
      fc.property(chunks, texts => {
        const whole = new direct.EventSplitter();
        const divided = new direct.EventSplitter();
        const text = texts.join('');
        whole.push(Buffer.from(text));
        const events = Buffer.concat(
          texts.map(chunk => divided.push(Buffer.from(chunk))),
        ).toString();
        const rest = divided.remainder().toString();
        expect(events + rest).to.equal(text);
        expect(events).to.match(/^$|\n\r?\n$/);
        // Blank lines between events belong to neither.
        expect(rest.trimStart()).not.to.match(/\n\r?\n/);
        expect(divided.isInsideEvent).to.equal(whole.isInsideEvent);
        expect(divided.lastEventId).to.equal(whole.lastEventId);
      }),
      {seed: 20_261_205, numRuns: 2_000},
    );
  });

  it('takes time in proportion to the bytes of an event, not to their square', () => {
    const {MAX_EVENT_BYTES} = direct;
    const chunk = Buffer.alloc(64, 'x');
    const splitter = new direct.EventSplitter();
    const startMs = performance.now();
    for (let bytes = 0; bytes + 64 <= MAX_EVENT_BYTES; bytes += 64) {
      splitter.push(chunk);
    }
    expect(performance.now() - startMs).to.be.below(1_000);
  });

  it('passes on an event of the largest size, and rejects a larger one', () => {
    const largest = Buffer.alloc(direct.MAX_EVENT_BYTES, 'x');
    const splitter = new direct.EventSplitter();
    splitter.push(largest);
    expect(splitter.push(Buffer.from('\n\n'))).to.have.length(
      largest.length + 2,
    );
    splitter.push(largest);
    expect(() => splitter.push(Buffer.from('x'))).to.throw(
      direct.EventTooLargeError,
    );
  });

  it('keeps the last id over events without one, and takes no other text for an id', () => {
    const splitter = new direct.EventSplitter();
    const steps: ReadonlyArray<readonly [string, string | undefined]> = [
      ['data: token\n\n', undefined],
      [': comment\n\n', undefined],
      ['id: 1\ndata: a\n\n', '1'],
      ['data: b\n\n', '1'],
      ['data: c\nid: 2\n\n: comment\n\n', '2'],
    ];
    for (const [text, id] of steps) {
      splitter.push(Buffer.from(text));
      expect(splitter.lastEventId, JSON.stringify(text)).to.equal(id);
    }
  });
});
