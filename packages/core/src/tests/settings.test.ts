/** Settings: which environment variables are rejected, and the messages. */
import * as chai from 'chai';
import * as settings from '../settings.js';

const SPECIFICATIONS = {
  port: {schema: settings.wholeNumberSchema(0, 65_535), meaning: 'a port'},
};

function loadProblems(environment: Record<string, string>): readonly string[] {
  const inputs = {flags: {port: '1'}, environment};
  const loaded = settings.loadSettings(SPECIFICATIONS, inputs);
  return loaded.ok ? [] : loaded.problems;
}

describe('settings', () => {
  it('accepts the environment variables of oleanderctl', () => {
    const operatorVariables = {
      OLEANDER_ADMIN_ADDRESS: '127.0.0.1:1',
      OLEANDER_OPERATOR: 'ada',
    };
    chai.expect(loadProblems(operatorVariables)).to.deep.equal([]);
  });

  it('reports an environment variable that no setting uses', () => {
    const [line, ...others] = loadProblems({OLEANDER_PROT: '1'});
    chai.expect(others).to.deep.equal([]);
    chai.expect(line).to.match(/^OLEANDER_PROT is not known/);
    chai.expect(line).to.contain('unset it');
  });
});
