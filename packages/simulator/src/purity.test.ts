import test from 'ava';
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const packages = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
/** Packages that may use clocks, random numbers and I/O: hosts around reducers, and test tools. */
const shells = new Set([
  'origin-stand-in',
  'client-stand-in',
  'testbed',
  'simulator',
  'reedyard',
  'write-ahead-log',
  'logging',
  'rpc',
  'settings',
]);
/** Files with the same permission in other packages. */
const shellFiles = new Set([
  'main.ts',
  'run.ts',
  'origin-connections.ts',
  'proxy-host.ts',
  'client-request-reader.ts',
  'outgoing-request.ts',
  'local-responses.ts',
  'api-server.ts',
  'warm.ts',
  'client-response-writer.ts',
  'inbound-server.ts',
  'exchange.ts',
  'response-reader.ts',
  'scripted-origin.ts',
  'proxy-harness.ts',
  'proxy-program.ts',
  'overload.ts',
  'membership-search.ts',
]);

test('no reducer reads a clock, draws random numbers or does I/O, so that runs can be replayed from a seed', (t) => {
  let fileCount = 0;
  for (const name of readdirSync(packages)) {
    if (shells.has(name)) continue;
    const folder = path.join(packages, name, 'src');
    for (const file of readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(
      (each) =>
        each.endsWith('.ts') && !each.endsWith('.test.ts') && !shellFiles.has(path.basename(each)),
    )) {
      const text = readFileSync(path.join(folder, file), 'utf8');
      for (const word of [
        'Date.now',
        'new Date',
        'Math.random',
        'performance.now',
        'setTimeout',
        'setInterval',
        "from 'node:",
      ]) {
        if (text.includes(word) && !(name === 'schemas' && word === "from 'node:"))
          t.fail(`${name}/${file}: ${word}`);
      }
      fileCount += 1;
    }
  }
  t.true(fileCount > 20);
});
