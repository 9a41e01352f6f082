/** Tests which environment variables are rejected, and with which message. */
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
    const [problem, ...otherProblems] = loadProblems({OLEANDER_PROT: '1'});
    chai.expect(otherProblems).to.deep.equal([]);
    chai.expect(problem).to.match(/^OLEANDER_PROT is not known/);
    chai.expect(problem).to.contain('unset it');
  });
});
