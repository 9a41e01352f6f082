/** Unit tests of where the event splitter sees an event begin and end. */
import * as chai from 'chai';
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
