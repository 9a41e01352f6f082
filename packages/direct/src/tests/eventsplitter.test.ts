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
    // An id that is no number may come again.
    const piece = fc.constantFrom('\n', '\r\n', '\r', 'id: i7\n', 'data: x');
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

  it('passes on the events before the first whose number goes back, and no other, however the stream is divided', () => {
    const event = fc.record({
      id: fc.option(fc.oneof(fc.nat(30), fc.constantFrom('x', '1.5', '-1'))),
      end: fc.constantFrom('\n', '\r\n'),
      dataFirst: fc.boolean(),
    });
    const rising = fc
      .array(event, {maxLength: 12})
      .map(events =>
        events.map((each, index) =>
          typeof each.id === 'number' && each.id > 4
            ? {...each, id: index * 2}
            : each,
        ),
      );
    const callerId = fc.option(fc.nat(3), {nil: undefined});
    const cuts = fc.array(fc.nat(300), {maxLength: 12});
    fc.assert(
      fc.property(rising, callerId, cuts, (events, callerLast, positions) => {
        let last = callerLast ?? -1;
        let lastText: string | undefined;
        let isBack = false;
        let expected = '';
        const texts = events.map(({id, end, dataFirst}, index) => {
          const lines = [`data: ${index}${end}`];
          if (id !== null) {
            lines[dataFirst ? 'push' : 'unshift'](`id: ${id}${end}`);
          }
          const text = lines.join('') + end;
          isBack ||= typeof id === 'number' && id <= last;
          if (isBack) return text;
          if (typeof id === 'number') last = id;
          if (id !== null) lastText = String(id);
          expected += text;
          return text;
        });
        const bytes = Buffer.from(texts.join(''));
        const ends = [...positions, bytes.length].sort((a, b) => a - b);
        const splitter = new direct.EventSplitter(
          callerLast === undefined ? undefined : String(callerLast),
        );
        let passed = '';
        let start = 0;
        for (const end of ends.map(each => Math.min(each, bytes.length))) {
          passed += splitter.push(bytes.subarray(start, end)).toString();
          start = end;
          if (splitter.oddEvent?.fault === 'back') break;
        }
        expect(passed).to.equal(expected);
        expect(splitter.lastEventId).to.equal(lastText);
        expect(splitter.oddEvent?.fault === 'back').to.equal(isBack);
      }),
      {seed: 20_261_208, numRuns: 3_000},
    );
  });

  it('compares the last id of each event of a read, over all endpoints', () => {
    const splitter = new direct.EventSplitter('4');
    const steps: ReadonlyArray<readonly [string, string]> = [
      ['id: 5\ndata: a\n\n', 'id: 5\ndata: a\n\n'],
      ['id: 3\nid: 6\ndata: b\n\n', 'id: 3\nid: 6\ndata: b\n\n'],
      // The last id of the read is in order, one before it isn't.
      ['id: 7\n\nid: 7\n\nid: 8\n\n', 'id: 7\n\n'],
      ['id: 1\ndata: anew\n\n', ''],
      ['id: 9\nid: 2\ndata: c\n\n', ''],
      [
        'weight-versions: 3\nid: 8\ndata: d\n\n',
        'weight-versions: 3\nid: 8\ndata: d\n\n',
      ],
    ];
    for (const [text, passed] of steps) {
      const events = splitter.push(Buffer.from(text)).toString();
      expect(events, JSON.stringify(text)).to.equal(passed);
      splitter.reset();
    }
    expect(splitter.lastEventId).to.equal('8');
  });

  it('cannot be resumed after an event without an id; a comment is no event', () => {
    const steps: ReadonlyArray<readonly [string, boolean]> = [
      [': comment\n\n', true],
      ['data: a\n\n', false],
      [': comment\n\n', false],
      ['id: 1\ndata: b\n\n', true],
      ['\r\n: comment\r\n\r\n', true],
      ['id: 2\ndata: c\n\ndata: d\n\n', false],
      ['data: e\nid: 3\n\n: comment\n\n', true],
      ['event: x\n\n', false],
      ['data: f\n\nid: 4\r\ndata: g\r\n\r\n', true],
      // The event without an id is passed on, the one that goes back isn't.
      ['id: 5\n\ndata: h\n\nid: 1\n\n', false],
      ['id:\n\n', false],
    ];
    const splitter = new direct.EventSplitter();
    for (const [text, canResume] of steps) {
      splitter.push(Buffer.from(text));
      splitter.reset();
      expect(splitter.canResume, JSON.stringify(text)).to.equal(canResume);
    }
  });
});
