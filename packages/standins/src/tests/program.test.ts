/** The stand-ins' program: what it says of faults in its command line. */
import * as url from 'node:url';
import * as chai from 'chai';
import * as processes from '../processes.js';
import * as servers from '../servers.js';

const PROGRAM = url.fileURLToPath(new URL('../main.js', import.meta.url));

async function run(...words: string[]) {
  const child = new processes.Child('standin', PROGRAM, words);
  const {status} = await child.exited;
  return {status, lines: child.lines};
}

describe('the program of the stand-ins', () => {
  it('says in one line that a port is in use', async () => {
    const platform = new servers.PlatformServer();
    await platform.listen();
    const {status, lines} = await run('platform', `--port=${platform.port}`);
    await platform.close();
    chai.expect(status).to.equal(1);
    chai.expect(lines).to.have.length(1);
    chai.expect(lines[0]).to.match(/^standins: .*address already in use/);
  });

  it('says in one line that it has no such command', async () => {
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
