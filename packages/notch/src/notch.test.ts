import test from 'ava';
import os from 'node:os';
import path from 'node:path';
import { promises as fs } from 'node:fs';
import { appendFileSync, copyFileSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, truncateSync, writeFileSync } from 'node:fs';
import { frame, NotchError, openNotch, unframe } from './index.js';

const folder = (): string => mkdtempSync(path.join(os.tmpdir(), 'notch-'));

test('cut at every byte, a log gives back exactly the records that were whole, and goes on from there', async (t) => {
  const home = folder();
  const notch = await openNotch(home);
  const records = [{ kind: 'cell', n: 1 }, { kind: 'fact', text: 'ü'.repeat(9) }, { kind: 'cell', n: 3 }];
  await notch.append(records);
  await notch.close();
  const file = path.join(home, 'log-00000001');
  const whole = readFileSync(file);
  const ends = records.reduce<number[]>((list, record) => [...list, (list.at(-1) ?? 17) + frame(record).length], []);
  t.is(ends.at(-1), whole.length);
  for (let cut = 0; cut <= whole.length; cut += 1) {
    const copy = folder();
    copyFileSync(file, path.join(copy, 'log-00000001'));
    truncateSync(path.join(copy, 'log-00000001'), cut);
    const again = await openNotch(copy);
    t.deepEqual(again.records, records.slice(0, ends.filter((end) => end <= cut).length), `cut at ${cut}`);
    await again.append(['later']);
    await again.close();
    const third = await openNotch(copy);
    t.is(third.records.at(-1), 'later');
    await third.close();
  }
});

test('a damaged middle is refused at every byte of it', async (t) => {
  const home = folder();
  const notch = await openNotch(home);
  await notch.append(['first', 'second', 'third']);
  await notch.close();
  const file = path.join(home, 'log-00000001');
  const whole = readFileSync(file);
  const until = whole.length - frame('third').length;
  for (let at = 0; at < until; at += 1) {
    const copy = folder();
    const bytes = Buffer.from(whole);
    bytes.writeUInt8(bytes.readUInt8(at) ^ 0x20, at);
    writeFileSync(path.join(copy, 'log-00000001'), bytes);
    const error = await t.throwsAsync(openNotch(copy), { instanceOf: NotchError });
    t.is(error?.code, 'damaged', `byte ${at}`);
  }
});

test('zeroes after the last record are a torn tail, not damage', (t) => {
  const bytes = Buffer.concat([frame('a'), Buffer.alloc(40)]);
  t.deepEqual(unframe(bytes, 'log'), { records: ['a'], whole: frame('a').length });
});

test('compaction keeps the state, bounds the files, and a crash between its steps loses nothing', async (t) => {
  const home = folder();
  const notch = await openNotch(home);
  for (let n = 0; n < 50; n += 1) await notch.append([{ n }]);
  await notch.compact(() => [{ state: 49 }]);
  await notch.append([{ n: 50 }]);
  await notch.close();
  t.deepEqual(readdirSync(home).sort(), ['log-00000002', 'snap-00000002']);
  // A snapshot half written leaves a `.new` behind, which counts for nothing.
  writeFileSync(path.join(home, 'snap-00000003.new'), 'half');
  const again = await openNotch(home);
  t.deepEqual(again.records, [{ state: 49 }, { n: 50 }]);
  await again.close();
  // A next segment begun before its snapshot was renamed.
  const crashed = folder();
  mkdirSync(crashed, { recursive: true });
  for (const name of ['log-00000002', 'snap-00000002']) copyFileSync(path.join(home, name), path.join(crashed, name));
  appendFileSync(path.join(crashed, 'log-00000003'), 'reedyard-notch 1\n');
  const third = await openNotch(crashed);
  t.deepEqual(third.records, [{ state: 49 }, { n: 50 }]);
  await third.close();
});

test('a missing segment is refused', async (t) => {
  const home = folder();
  for (const [number, record] of [[1, 'a'], [3, 'c']] as const) writeFileSync(path.join(home, `log-0000000${number}`), Buffer.concat([Buffer.from('reedyard-notch 1\n'), frame(record)]));
  await t.throwsAsync(openNotch(home), { instanceOf: NotchError, message: /log-00000002 is missing/ });
});

test('a full disk, or a sync that fails, acknowledges nothing from then on, and what was acknowledged is there', async (t) => {
  for (const broken of ['write', 'datasync'] as const) {
    const home = folder();
    let full = false;
    const open = async (...args: Parameters<typeof fs.open>): Promise<fs.FileHandle> => {
      const handle = await fs.open(...args);
      return new Proxy(handle, { get: (target, name) => {
        if (full && name === broken) return async () => { throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' }); };
        const value = Reflect.get(target, name) as unknown;
        return typeof value === 'function' ? (value as (...rest: unknown[]) => unknown).bind(target) : value;
      } });
    };
    const notch = await openNotch(home, { open: open as typeof fs.open });
    await notch.append(['kept']);
    full = true;
    t.is((await t.throwsAsync(notch.append(['lost']), { instanceOf: NotchError }))?.code, 'full');
    full = false;
    // The disk has room again, but what the file holds is not known any more.
    await t.throwsAsync(notch.append(['after']), { instanceOf: NotchError });
    await t.throwsAsync(notch.settled(), { instanceOf: NotchError });
    await notch.close();
    const again = await openNotch(home);
    t.is(again.records[0], 'kept');
    t.false(again.records.includes('after'));
    await again.close();
  }
});

test('while a snapshot is written, appends are synced and kept', async (t) => {
  const home = folder();
  const notch = await openNotch(home);
  await notch.append(['before']);
  const order: string[] = [];
  let appended: Promise<void> | null = null;
  // Each record fills a chunk; the append is made when half of them are written.
  function* state(): Iterable<unknown> {
    for (let each = 0; each < 60; each += 1) {
      if (each === 30) appended = notch.append(['meanwhile']).then(() => { order.push('append'); });
      yield { each, text: 'x'.repeat(70_000) };
    }
  }
  await notch.compact(state).then(() => { order.push('snapshot'); });
  await appended;
  t.deepEqual(order, ['append', 'snapshot']);
  t.true(notch.snapshotBytes() > 60 * 70_000);
  await notch.close();
  const again = await openNotch(home);
  t.deepEqual([again.records.length, again.records.at(-1)], [61, 'meanwhile']);
  await again.close();
});

test('as many records as an hour of orders leaves are read at a start', async (t) => {
  const home = folder();
  const notch = await openNotch(home);
  await notch.append(Array.from({ length: 200_000 }, (_, index) => index));
  await notch.close();
  const again = await openNotch(home);
  t.is(again.records.length, 200_000);
  await again.close();
});
