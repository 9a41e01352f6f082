/** The build id: the same for the same code, named by lines and metrics. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as standins from '@oleanderrock/standins';
import * as polling from './polling.js';

const {expect} = chai;
const ROOT = url.fileURLToPath(new URL('../../../..', import.meta.url));
const execFile = util.promisify(childProcess.execFile);

const BUILD_ID = /^[\da-f]{8}$/;

/** A file of the bundle. */
interface BundleFile {
  readonly name: string;
  readonly text: string;
}

/** What the bundler uses of scripts/buildid.mjs. */
interface BuildIdModule {
  readonly PLACEHOLDER: string;
  readonly buildIdOf: (files: readonly BundleFile[]) => string;
  readonly withBuildId: (files: readonly BundleFile[]) => BundleFile[];
}

/** Bundles the program into the directory; returns the build that it names. */
async function bundle(directory: string): Promise<string> {
  const script = path.join('scripts', 'bundle.mjs');
  await execFile(process.execPath, [script, directory], {cwd: ROOT});
  const program = path.join(directory, 'oleanderrock.js');
  const {stdout} = await execFile(process.execPath, [program, '--version']);
  return stdout.replace('build ', '').trim();
}

/** Starts a bundled direct router without a store. */
function startRouter(
  directory: string,
  readyPort: number,
): standins.ChildProcess {
  const program = path.join(directory, 'oleanderrock.js');
  return new standins.ChildProcess('router', program, ['direct'], {
    OLEANDER_NAME: 'r1',
    OLEANDER_ADDRESS: '127.0.0.1',
    OLEANDER_ZONE: 'z',
    OLEANDER_ENTRY_LISTEN: '127.0.0.1:0',
    OLEANDER_READY_LISTEN: `127.0.0.1:${readyPort}`,
    OLEANDER_DIRECTORY_LISTEN: '127.0.0.1:0',
    OLEANDER_PEER_LISTEN: '127.0.0.1:0',
    OLEANDER_GOSSIP_PORT: '0',
    OLEANDER_STORE_ADDRESS: '127.0.0.1:9',
  });
}

describe('the build id', () => {
  let directory: string;

  beforeEach(async () => {
    directory = await fs.mkdtemp(path.join(os.tmpdir(), 'build-'));
  });

  afterEach(() => fs.rm(directory, {recursive: true}));

  it('is the same in two bundles, and named by each line and the metrics', async () => {
    const first = path.join(directory, 'first');
    const buildId = await bundle(first);
    expect(buildId).to.match(BUILD_ID);
    const second = path.join(directory, 'elsewhere', 'second');
    expect(await bundle(second)).to.equal(buildId);

    const [readyPort = 0] = await standins.freePorts(1);
    const router = startRouter(first, readyPort);
    try {
      await polling.until('the router has started', () =>
        router.outputLines.some(line => line.includes('event=started ')),
      );
      for (const line of router.outputLines) {
        expect(line).to.contain(` build=${buildId}`);
      }
      const response = await fetch(`http://127.0.0.1:${readyPort}/metrics`);
      expect(await response.text()).to.contain(
        `oleander_build_info{build="${buildId}"} 1`,
      );
    } finally {
      router.signal('SIGKILL');
      await router.exited;
    }
  });

  it('differs when a name or a content differs, whatever the order of the files', async () => {
    const script = path.join(ROOT, 'scripts', 'buildid.mjs');
    const {PLACEHOLDER, buildIdOf, withBuildId} = (await import(
      script
    )) as BuildIdModule;
    const main = {name: 'main.js', text: `log("${PLACEHOLDER}")`};
    const chunk = {name: 'chunk.js', text: 'export const a = 1;'};
    const buildId = buildIdOf([main, chunk]);
    expect(buildId).to.match(BUILD_ID);
    expect(buildIdOf([chunk, main])).to.equal(buildId);
    const changed = {...chunk, text: 'export const a = 2;'};
    expect(buildIdOf([main, changed])).not.to.equal(buildId);
    const renamed = {...chunk, name: 'chunk2.js'};
    expect(buildIdOf([main, renamed])).not.to.equal(buildId);
    expect(withBuildId([main, chunk])).to.deep.equal([
      {name: 'main.js', text: `log("${buildId}")`},
      chunk,
    ]);
  });

  it('says that the compiled packages are not bundled', () => {
    expect(core.BUILD_ID).to.equal('unbundled');
  });
});
