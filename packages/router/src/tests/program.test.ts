/** The program `oleanderrock` as a new operator meets it. */
import * as url from 'node:url';
import * as chai from 'chai';
import * as standins from '@oleanderrock/standins';
import * as until from './until.js';

const {expect} = chai;
const PROGRAM = url.fileURLToPath(new URL('../main.js', import.meta.url));
const LISTENER = '127.0.0.1';
const SECRETS = ['--peer-token=12345678', '--admin-token=12345678'];
const NOWHERE = '--platform-url=http://127.0.0.1:1';
const FREE = ['--entry-port=0', '--peer-port=0', '--admin-port=0'];

async function run(...words: string[]) {
  const child = new standins.Child('router', PROGRAM, words);
  const {status} = await child.exited;
  return {status, lines: child.lines};
}

describe('oleanderrock', () => {
  it('says beside the table of settings what is wrong', async () => {
    const {status, lines} = await run('settings', '--entry-port=x');
    expect(status).to.equal(2);
    expect(lines.filter(line => line.startsWith('oleanderrock: '))).to.include(
      'oleanderrock: --entry-port (OLEANDER_ENTRY_PORT) from flag: "x": must be a whole number',
    );
    expect(lines).to.include('    value: (missing); default: none');
  });

  it('prints its help without colours where no terminal reads', async () => {
    const {status, lines} = await run('--help');
    expect(status).to.equal(0);
    expect(lines.join('\n')).to.not.contain('\u001b');
  });

  it('wants the platform by IP number', async () => {
    const place = '--platform-url=http://localhost:7000';
    const {status, lines} = await run('--name=r1', place, ...SECRETS);
    expect(status).to.equal(2);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.contain('no host name');
  });

  it('names the flag of a port that is in use', async () => {
    const platform = new standins.PlatformServer();
    await platform.listen();
    const taken = `--admin-port=${platform.port}`;
    const ports = ['--entry-port=0', '--peer-port=0', taken];
    const words = ['--name=r1', NOWHERE, ...SECRETS, ...ports];
    const {status, lines} = await run(...words);
    await platform.close();
    expect(status).to.equal(1);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.contain(`${LISTENER}:${platform.port}`);
    expect(lines[0]).to.contain('--admin-port');
  });

  it('says that it is not on the list, and when it asks again', async () => {
    const platform = new standins.PlatformServer();
    await platform.listen();
    const place = `--platform-url=http://127.0.0.1:${platform.port}`;
    const ghost = ['--name=ghost', place, ...SECRETS, ...FREE];
    const lost = ['--name=lost', NOWHERE, ...SECRETS, ...FREE];
    const quick = '--where-keep-ms=1';
    const children = [ghost, lost].map(
      words => new standins.Child('router', PROGRAM, [...words, quick]),
    );
    const [unlisted, alone] = children as [standins.Child, standins.Child];
    const hasLine = (child: standins.Child, pattern: RegExp) => () =>
      child.lines.some(line => pattern.test(line));
    await until.until('not listed', hasLine(unlisted, /event=not_listed/));
    await until.until(
      'no list',
      hasLine(alone, /event=list_unavailable .*retry_ms=\d+/),
    );
    for (const child of children) child.signal('SIGTERM');
    await Promise.all(children.map(child => child.exited));
    await platform.close();
  });
});
