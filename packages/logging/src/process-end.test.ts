import { EventEmitter } from 'node:events';
import test from 'ava';
import type { Logger } from './logging.js';
import { emptyEventLoopExitCode, logProcessEnd, type ObservedProcess } from './process-end.js';

type Entry = { readonly event: string; readonly fields: Readonly<Record<string, unknown>> };

class FakeProcess extends EventEmitter {
  exitCode?: number;
  readonly memoryUsage = () => ({
    rss: 1,
    heapTotal: 2,
    heapUsed: 3,
    external: 4,
    arrayBuffers: 5,
  });
  readonly uptime = () => 1.5;
}

const observe = (): { readonly fake: FakeProcess; readonly entries: Entry[] } => {
  const fake = new FakeProcess();
  const entries: Entry[] = [];
  const write: Logger['info'] = (event, fields = {}) => void entries.push({ event, fields });
  logProcessEnd({ info: write, warn: write, error: write }, fake as unknown as ObservedProcess);
  return { fake, entries };
};

const memory = { rssBytes: 1, heapBytes: 3, externalBytes: 4 };

test('an exit is logged with its code and the memory', (t) => {
  const { fake, entries } = observe();
  fake.emit('exit', 4);
  t.deepEqual(entries, [
    { event: 'process.ended', fields: { code: 4, uptimeMs: 1_500, ...memory } },
  ]);
});

test('an uncaught error is logged with its origin', (t) => {
  const { fake, entries } = observe();
  fake.emit('uncaughtExceptionMonitor', new TypeError('no kind'), 'unhandledRejection');
  t.like(entries[0], {
    event: 'process.failed',
    fields: { origin: 'unhandledRejection', why: 'no kind' },
  });
});

test('an empty event loop does not look like a requested stop', (t) => {
  const { fake, entries } = observe();
  fake.emit('beforeExit', 0);
  t.is(entries[0]?.event, 'process.idle');
  t.is(fake.exitCode, emptyEventLoopExitCode);
});
