/** Guards against a router that exits when SIGHUP arrives during its start. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as chai from 'chai';
import * as polling from './polling.js';

const {expect} = chai;

const PROGRAM = url.fileURLToPath(new URL('../main.js', import.meta.url));

/** Settings with ephemeral ports and a store address without a listener. */
const SETTINGS = [
  'NAME=r1',
  'ADDRESS=127.0.0.1',
  'ZONE=z',
  'ENTRY_LISTEN=127.0.0.1:0',
  'READY_LISTEN=127.0.0.1:0',
  'DIRECTORY_LISTEN=127.0.0.1:0',
  'PEER_LISTEN=127.0.0.1:0',
  'GOSSIP_PORT=0',
  'STORE_ADDRESS=127.0.0.1:9',
].map(line => `OLEANDER_${line}\n`);

describe('a router that starts', () => {
  it('does not exit on SIGHUP', async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'signals-'));
    const file = path.join(folder, 'settings');
    // Reading the settings from a FIFO blocks the start until they are written.
    childProcess.execFileSync('mkfifo', [file]);
    const child = childProcess.spawn(process.execPath, [PROGRAM, 'direct'], {
      env: {...process.env, OLEANDERROCK_CONFIG: file},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    const writer = await fs.open(file, 'w');
    child.kill('SIGHUP');
    await writer.write(SETTINGS.join(''));
    await writer.close();
    await polling.until('the router started or exited', () => {
      return output.includes('event=started') || child.signalCode !== null;
    });
    expect(child.signalCode).to.equal(null);
    const exited = new Promise(resolve => child.once('close', resolve));
    child.kill('SIGKILL');
    await exited;
    await fs.rm(folder, {recursive: true});
  });
});
