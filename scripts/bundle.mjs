/**
 * Bundles the program `oleanderrock` into target/, or into the directory given
 * as argument: loaded from a few files, a router starts faster and uses less
 * memory than loaded from the packages.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as esbuild from 'esbuild';
import * as buildId from './buildid.mjs';

const OUT_DIR = path.resolve(process.argv[2] ?? 'target');

// Bundled CommonJS modules call `require`, which ES modules do not define.
const BANNER = `import {createRequire} from 'node:module';
const require = createRequire(import.meta.url);`;

/** Esbuild plugin: resolves prom-client to the subset in scripts/prom.mjs. */
function resolvePromClient(build) {
  const promSubset = path.resolve('scripts/prom.mjs');
  build.onResolve({filter: /^prom-client$/}, () => ({path: promSubset}));
}

const compilation = childProcess.spawnSync(
  process.execPath,
  ['node_modules/typescript/bin/tsc', '-b', 'packages/router'],
  {stdio: 'inherit'},
);
if (compilation.status !== 0) process.exit(compilation.status ?? 1);

/**
 * Bundles one module and what it uses; the modules in `external` stay apart.
 * Returns the files, with a placeholder for the build id.
 */
async function bundle(name, entryPoint, external = []) {
  const {outputFiles} = await esbuild.build({
    entryPoints: {[name]: `packages/router/dist/${entryPoint}`},
    outdir: OUT_DIR,
    write: false,
    bundle: true,
    splitting: true,
    minify: true,
    keepNames: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    banner: {js: BANNER},
    external,
    define: {OLEANDER_BUILD_ID: JSON.stringify(buildId.PLACEHOLDER)},
    plugins: [{name: 'prom-client', setup: resolvePromClient}],
    logLevel: 'warning',
  });
  return outputFiles.map(file => ({
    name: path.relative(OUT_DIR, file.path),
    text: file.text,
  }));
}

// Each mode is a bundle of its own: in chunks that both share, esbuild puts
// every module of a shared package that either of them uses.
const files = [
  ...(await bundle('oleanderrock', 'main.js', ['./direct.js', './cli.js'])),
  ...(await bundle('direct', 'direct.js')),
  ...(await bundle('cli', 'cli.js')),
];
// A directory that was given may hold other files.
if (!process.argv[2]) fs.rmSync(OUT_DIR, {recursive: true, force: true});
fs.mkdirSync(OUT_DIR, {recursive: true});
for (const {name, text} of buildId.withBuildId(files)) {
  fs.writeFileSync(path.join(OUT_DIR, name), text);
}
fs.writeFileSync(path.join(OUT_DIR, 'package.json'), '{"type": "module"}\n');
