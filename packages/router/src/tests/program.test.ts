/** The program `oleanderrock`: start, settings, help and error messages. */
import * as url from 'node:url';
import * as chai from 'chai';
import * as standins from '@oleanderrock/standins';
import * as polling from './polling.js';

const {expect} = chai;
const PROGRAM = url.fileURLToPath(new URL('../main.js', import.meta.url));
const HOST = '127.0.0.1';
const SECRETS = ['--peer-token=12345678', '--admin-token=12345678'];
const UNREACHABLE_PLATFORM = '--platform-url=http://127.0.0.1:1';
const FREE_PORTS = ['--entry-port=0', '--peer-port=0', '--admin-port=0'];

async function runRouter(...args: string[]) {
  const child = new standins.ChildProcess('router', PROGRAM, args);
  const {status} = await child.exited;
  return {status, lines: child.outputLines};
}

describe('oleanderrock', () => {
  it('prints problems with the settings along with the settings table', async () => {
    const {status, lines} = await runRouter('settings', '--entry-port=x');
    expect(status).to.equal(2);
    expect(lines.filter(line => line.startsWith('oleanderrock: '))).to.include(
      'oleanderrock: --entry-port (OLEANDER_ENTRY_PORT) from flag: "x": must be a whole number',
    );
    expect(lines).to.include('    value: (missing); default: none');
  });

  it('prints its help without colours when the output is not a terminal', async () => {
    const {status, lines} = await runRouter('--help');
    expect(status).to.equal(0);
    expect(lines.join('\n')).to.not.contain('\u001b');
  });

  it('refuses a platform URL with a host name', async () => {
    const platformFlag = '--platform-url=http://localhost:7000';
    const {status, lines} = await runRouter(
      '--name=r1',
      platformFlag,
      ...SECRETS,
    );
    expect(status).to.equal(2);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.contain('not a host name');
  });

  it('names the flag of a port that is in use', async () => {
    const platform = new standins.PlatformServer();
    await platform.listen();
    const takenPort = `--admin-port=${platform.port}`;
    const ports = ['--entry-port=0', '--peer-port=0', takenPort];
    const args = ['--name=r1', UNREACHABLE_PLATFORM, ...SECRETS, ...ports];
    const {status, lines} = await runRouter(...args);
    await platform.close();
    expect(status).to.equal(1);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.contain(`${HOST}:${platform.port}`);
    expect(lines[0]).to.contain('--admin-port');
  });

  it('logs that it is not listed, or that the list is unavailable and when it retries', async () => {
    const platform = new standins.PlatformServer();
    await platform.listen();
    const platformFlag = `--platform-url=http://127.0.0.1:${platform.port}`;
    const unlistedArgs = [
      '--name=ghost',
      platformFlag,
      ...SECRETS,
      ...FREE_PORTS,
    ];
    const unconnectedArgs = [
      '--name=lost',
      UNREACHABLE_PLATFORM,
      ...SECRETS,
      ...FREE_PORTS,
    ];
    const shortDrain = '--where-keep-ms=1';
    const children = [unlistedArgs, unconnectedArgs].map(
      args =>
        new standins.ChildProcess('router', PROGRAM, [...args, shortDrain]),
    );
    const [unlisted, unconnected] = children as [
      standins.ChildProcess,
      standins.ChildProcess,
    ];
    const hasLine = (child: standins.ChildProcess, pattern: RegExp) => () =>
      child.outputLines.some(line => pattern.test(line));
    await polling.until(
      'the event not_listed',
      hasLine(unlisted, /event=not_listed/),
    );
    await polling.until(
      'the event list_unavailable',
      hasLine(unconnected, /event=list_unavailable .*retry_ms=\d+/),
    );
    for (const child of children) child.signal('SIGTERM');
    await Promise.all(children.map(child => child.exited));
    await platform.close();
  });
});
