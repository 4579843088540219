import test from 'ava';
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const packages = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
/** Where time, chance and I/O may come from: the shells, and what is for tests alone. */
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
const shellFiles = new Set([
  'main.ts',
  'run.ts',
  'conns.ts',
  'proxy-host.ts',
  'client-request-reader.ts',
  'outgoing-request.ts',
  'own-responses.ts',
  'api-server.ts',
  'warm.ts',
  'caller-answer.ts',
  'caller-server.ts',
  'exchange.ts',
  'read-answer.ts',
  'scripted-origin.ts',
  'proxy-harness.ts',
  'membership-search.ts',
]);

test('no reducer looks at a clock, draws by chance or does I/O: clocks may jump, seeds replay', (t) => {
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
