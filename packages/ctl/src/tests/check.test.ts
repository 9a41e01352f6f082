/** The command `check` on files of both formats and against a router. */
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as platform from '@oleanderrock/platform';
import * as results from '../results.js';
import * as commandRunner from './commandrunner.js';

const {expect} = chai;
const {EXIT_CODES} = results;

const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'r1',
      host: 'chat.example',
      pathPrefix: '/a/',
      kind: 'idempotent',
      service: 'desk',
      timeoutMs: 1_000,
      goalMs: 100,
    },
  ],
  services: [{name: 'desk'}],
  limits: {bodyBytes: 4_096, idleMs: 15_000},
  tenants: [{name: 'ada', keys: ['secret-1', 'secret-2']}],
};

const TABLES = {
  pools: [{name: 'services', endpoints: ['s1']}],
  routes: [{name: 'lookup', match: {path_prefix: '/lookup'}, pool: 'services'}],
};

describe('oleanderctl check', () => {
  let folder = '';

  before(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'oleanderctl-check-'));
  });
  after(() => fs.rm(folder, {recursive: true}));

  function check(content: unknown, ...args: string[]) {
    const input = JSON.stringify(content);
    return commandRunner.runProgram(input, ['check', '-', ...args]);
  }

  async function writeJson(name: string, content: unknown): Promise<string> {
    const file = path.join(folder, name);
    await fs.writeFile(file, JSON.stringify(content));
    return file;
  }

  it('accepts sound files of both formats', async () => {
    for (const content of [CONFIG, TABLES]) {
      const {exitCode, stdout} = await check(content);
      expect(stdout).to.equal('0 errors, 0 warnings\n');
      expect(exitCode).to.equal(EXIT_CODES.ok);
    }
  });

  it('refuses errors with their place, without colors', async () => {
    const [route] = CONFIG.routes;
    const routes = [{...route, goalMs: 2_000, service: 'gone'}];
    const {exitCode, stdout} = await check({...CONFIG, routes});
    expect(exitCode).to.equal(EXIT_CODES.refused);
    expect(stdout).to.contain(
      'error: routes[0] (r1): pools: there is no pool "gone"',
    );
    expect(stdout).to.contain('error: routes[0] (r1): goalMs: ');
    expect(stdout).not.to.contain('\x1b');
  });

  it('names the place of a value of the wrong type', async () => {
    const [route] = CONFIG.routes;
    const routes = [{...route, timeoutMs: 'soon'}];
    const {exitCode, stdout} = await check({...CONFIG, routes});
    expect(exitCode).to.equal(EXIT_CODES.refused);
    expect(stdout).to.contain('error: routes.0.timeoutMs: ');
  });

  it('finds all errors of tables, not just the first', async () => {
    const hidden = {...TABLES.routes[0], name: 'again'};
    const lost = {name: 'lost', match: {path_prefix: '/l'}, pool: 'gone'};
    const bad = {name: 'Bad Name', match: {path_prefix: '/b'}, pool: 'x'};
    const routes = [...TABLES.routes, hidden, lost, bad];
    const {stdout} = await check({...TABLES, routes}, '--json');
    const {findings} = JSON.parse(stdout) as {
      findings: Array<{kind: string}>;
    };
    expect(findings.map(({kind}) => kind)).to.have.members([
      'malformed',
      'never_matches',
      'unknown_name',
    ]);
  });

  it('prints what differs from another file, but no keys', async () => {
    const base = await writeJson('old.json', CONFIG);
    const tenants = [{name: 'ada', keys: ['secret-1']}];
    const next = {...CONFIG, version: 8, tenants};
    const {stdout} = await check(next, '--against', base);
    expect(stdout).to.contain('~ customers/ada');
    expect(stdout).to.contain('1 of 2 keys go, 0 come');
    expect(stdout).not.to.contain('secret');
    const tablesBase = await writeJson('oldtables.json', TABLES);
    const changed = await check({pools: TABLES.pools}, '--against', tablesBase);
    expect(changed.stdout).to.contain('- routes/lookup');
  });

  it('refuses what it cannot read', async () => {
    for (const content of [[], 3, {}, null]) {
      const {exitCode, stderr} = await check(content);
      expect(exitCode, JSON.stringify(content)).to.equal(EXIT_CODES.usage);
      expect(stderr).to.match(/^oleanderctl: .*\n$/);
    }
    const broken = await writeJson('broken.json', {version: 1});
    const result = await check(CONFIG, '--against', broken);
    expect(result.exitCode).to.equal(EXIT_CODES.usage);
  });

  it('compares with the tables in force at a router', async () => {
    const tables = platform.tables.decodeTables(CONFIG);
    const server = http.createServer((request, response) => {
      response.end(JSON.stringify({tables}));
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as net.AddressInfo;
    const address = ['--address', `127.0.0.1:${port}`];
    try {
      const same = await check(CONFIG, '--against', 'live', ...address);
      expect(same.stdout).to.equal('0 errors, 0 warnings, 0 changes\n');
      const next = {...CONFIG, routes: []};
      const changed = await check(next, '--against', 'live', ...address);
      expect(changed.stdout).to.contain('- routes/r1');
    } finally {
      server.close();
    }
    const {UNREACHABLE_ADDRESS} = commandRunner;
    const unreachable = await check(
      CONFIG,
      '--against',
      'live',
      '--address',
      UNREACHABLE_ADDRESS,
    );
    expect(unreachable.exitCode).to.equal(EXIT_CODES.unreachable);
  });
});
