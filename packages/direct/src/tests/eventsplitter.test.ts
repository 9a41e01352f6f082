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
});
