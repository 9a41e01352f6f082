/** Program of the stand-ins: exit status and messages on usage errors. */
import * as url from 'node:url';
import * as chai from 'chai';
import * as processes from '../processes.js';
import * as servers from '../servers.js';

const PROGRAM = url.fileURLToPath(new URL('../main.js', import.meta.url));

async function run(...args: string[]) {
  const child = new processes.ChildProcess('standin', PROGRAM, args);
  const {status} = await child.exited;
  return {status, lines: child.outputLines};
}

describe('program of the stand-ins', () => {
  it('reports a port in use in one line', async () => {
    const platform = new servers.PlatformServer();
    await platform.listen();
    const {status, lines} = await run('platform', `--port=${platform.port}`);
    await platform.close();
    chai.expect(status).to.equal(1);
    chai.expect(lines).to.have.length(1);
    chai.expect(lines[0]).to.match(/^standins: .*address already in use/);
  });

  it('reports an unknown command in one line', async () => {
    const {status, lines} = await run('nonsense');
    chai.expect(status).to.equal(2);
    chai.expect(lines).to.have.length(1);
    chai.expect(lines[0]).to.match(/^standins: .*nonsense.*--help/);
  });

  it('prints its help', async () => {
    const {status, lines} = await run('--help');
    chai.expect(status).to.equal(0);
    chai.expect(lines.join('\n')).to.contain('standins engine');
  });
});
