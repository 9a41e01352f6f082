/** Settings: whose variables a program minds, and how it says what is wrong. */
import * as chai from 'chai';
import * as settings from '../settings.js';

const SPECIFICATIONS = {
  port: {schema: settings.wholeNumber(0, 65_535), meaning: 'a port'},
};

function problems(environment: Record<string, string>): readonly string[] {
  const inputs = {flags: {port: '1'}, environment};
  const loaded = settings.loadSettings(SPECIFICATIONS, inputs);
  return loaded.ok ? [] : loaded.problems;
}

describe('settings', () => {
  it('leave the variables of the operators alone', () => {
    const shell = {
      OLEANDER_ADMIN_ADDRESS: '127.0.0.1:1',
      OLEANDER_OPERATOR: 'ada',
    };
    chai.expect(problems(shell)).to.deep.equal([]);
  });

  it('name a variable that nothing reads', () => {
    const [line, ...others] = problems({OLEANDER_PROT: '1'});
    chai.expect(others).to.deep.equal([]);
    chai.expect(line).to.match(/^OLEANDER_PROT is not known/);
    chai.expect(line).to.contain('unset it');
  });
});
