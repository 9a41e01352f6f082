/** Notes on crashes as datagrams: what one router writes, others read. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as crashNotes from '../crashnotes.js';

const {expect} = chai;

const PROPERTY_PARAMETERS = {seed: 20_261_205, numRuns: 300};
const NOW_MS = 100_000;

describe('crash notes', () => {
  it('keep their content, with ages in steps of 20 ms', () => {
    const note = fc.record({
      crash: fc.nat(2 ** 31),
      reporter: fc.nat(2 ** 31),
      atMs: fc.nat(NOW_MS / 20).map(steps => steps * 20),
      keys: fc.array(fc.string({maxLength: 17}), {maxLength: 24}),
    });
    const property = fc.property(fc.array(note), notes => {
      const bytes = crashNotes.encode(notes, NOW_MS);
      expect(crashNotes.decode(bytes, NOW_MS)).to.deep.equal(notes);
    });
    fc.assert(property, PROPERTY_PARAMETERS);
  });

  it('are not read from other bytes, nor with too many or too long keys', () => {
    const decode = (bytes: Uint8Array) =>
      crashNotes.decode(Buffer.from(bytes), NOW_MS);
    const noteWith = (keys: string[]) =>
      crashNotes.encode([{crash: 1, reporter: 2, atMs: 0, keys}], NOW_MS);
    expect(decode(noteWith([...Array(25).keys()].map(String)))).to.equal(
      undefined,
    );
    expect(decode(noteWith(['p'.repeat(18)]))).to.equal(undefined);
    const isNote = (item: unknown) =>
      typeof item === 'object' && item !== null && 'keys' in item;
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 60}), bytes => {
        const notes = decode(bytes);
        expect(notes?.every(isNote) ?? true).to.equal(true);
      }),
      PROPERTY_PARAMETERS,
    );
  });
});
