import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync } from 'node:fs';
import test from 'ava';

const loggingModule = new URL('./index.js', import.meta.url).href;

/** A program that logs a line for each line that it reads, and then confirms it. */
const program = `
  import { openLogger } from ${JSON.stringify(loggingModule)};
  const logger = openLogger({ program: 'test' });
  process.stdin.on('data', () => {
    logger.info('read');
    setImmediate(() => process.stdout.write('.'));
  });
`;

const startProgram = (stderr: 'pipe' | number): ChildProcess =>
  spawn(process.execPath, ['--input-type=module', '--eval', program], {
    stdio: ['pipe', 'pipe', stderr],
  });

/** Lets the program log a line; resolves once it confirms that, or has ended. */
const logLine = async (child: ChildProcess): Promise<void> => {
  const confirmed = once(child.stdout ?? child, 'data');
  child.stdin?.write('\n');
  await Promise.race([confirmed, once(child, 'exit')]);
};

// Guards against a program ending with code 1 at a log line, since the reader of its log had gone.
test('a program goes on when the reader of its log has gone', async (t) => {
  const child = startProgram('pipe');
  t.teardown(() => child.kill('SIGKILL'));
  await logLine(child);
  child.stderr?.destroy();
  for (let line = 0; line < 3 && child.exitCode === null; line += 1) await logLine(child);
  t.is(child.exitCode, null);
});

test('a program goes on when the disk of its log is full', async (t) => {
  const fullDevice = openSync('/dev/full', 'w');
  const child = startProgram(fullDevice);
  closeSync(fullDevice);
  t.teardown(() => child.kill('SIGKILL'));
  for (let line = 0; line < 3 && child.exitCode === null; line += 1) await logLine(child);
  t.is(child.exitCode, null);
});
