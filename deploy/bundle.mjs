// Bundles each program and everything that it imports into one file under target/. The file runs
// without node_modules.
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';

const root = path.resolve(import.meta.dirname, '..');
/**
 * Maps each package of the workspace to its TypeScript sources, so that nothing has to be compiled
 * first.
 */
const sourceByPackage = Object.fromEntries(
  readdirSync(path.join(root, 'packages')).map((folder) => {
    const { name } = JSON.parse(
      readFileSync(path.join(root, 'packages', folder, 'package.json'), 'utf8'),
    );
    return [name, path.join(root, 'packages', folder, 'src/index.ts')];
  }),
);

await build({
  absWorkingDir: root,
  entryPoints: ['proxy', 'agent', 'replica'].map((program) => `platform/src/${program}.ts`),
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minify: true,
  keepNames: true,
  logLevel: 'warning',
  alias: sourceByPackage,
});
