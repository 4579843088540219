import { randomUUID } from 'node:crypto';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { Beats, Limits, Sizes } from '@reedyard/gauge';
import { Task } from '@reedyard/chute';
import { openNotch } from '@reedyard/notch';
import { openScribe, textOf } from '@reedyard/scriber';
import { call, serveCalls, speakFrom } from '@reedyard/shuttle';
import type { Settings } from '@reedyard/vise';
import { Anvil } from './core.js';
import type { AnvilAsk, AnvilEffect, AnvilEvent, AnvilRecord, AnvilReply } from './messages.js';
import type { AnvilState } from './state.js';

const now = (): number => performance.now();

export type AnvilSettings = Settings & { readonly anvil: NonNullable<Settings['anvil']> };

/**
 * Runs an anvil until the process is told to end.
 *
 * @example
 * await runAnvil(Vise.start('anvil', process.argv.slice(2)));
 */
export const runAnvil = async (settings: AnvilSettings): Promise<void> => {
  const scribe = openScribe({ program: 'anvil', node: settings.name });
  const stop = (code: number, event: string, thrown: unknown): never => { scribe.error(event, { text: textOf(thrown) }); process.exit(code); };
  speakFrom(settings.host);
  const place = settings.anvil;
  const { founders = {}, voting } = settings;
  const notch = await openNotch(path.join(settings.dataFolder, 'anvil'));
  const opened = Anvil.open({
    name: settings.name,
    others: Object.fromEntries(Object.entries(founders).filter(([name]) => name !== settings.name)),
    seeded: voting === undefined ? null : { address: `${settings.host}:${place.port}`, seeds: voting.seeds, firstStart: voting.firstStart },
    records: notch.records as readonly AnvilRecord[], freshDisk: randomUUID(), now: now(),
  });
  const asking = new Map<number, (reply: AnvilReply) => void>();
  let compacting = false;

  const perform = (effect: AnvilEffect, put: (event: AnvilEvent) => boolean): void => {
    switch (effect.kind) {
      case 'append':
        notch.append(effect.records).catch((thrown: unknown) => stop(5, 'disk.refused', thrown));
        // Snapshots cost as much as they are large: the larger the last one, the later the next.
        if (notch.segmentBytes() > Math.max(Sizes.segment, notch.snapshotBytes() / 2) && !compacting) {
          compacting = true;
          notch.compact(() => Anvil.records(task.peek())).then(() => { compacting = false; scribe.info('disk.compacted'); },
            (thrown: unknown) => stop(5, 'disk.refused', thrown));
        }
        return;
      case 'tell':
        notch.settled().then(() => { asking.get(effect.id)?.(effect.body); asking.delete(effect.id); },
          (thrown: unknown) => stop(5, 'disk.refused', thrown));
        return;
      case 'call':
        call(effect.to, '/anvil', effect.body).then(
          (body) => put({ kind: 'returned', id: effect.id, body: body as AnvilReply, now: now() }),
          () => put({ kind: 'lost', id: effect.id, now: now() }));
        return;
      case 'end': leave(); return;
      case 'log': scribe.info(effect.event, effect.fields); return;
    }
  };
  const task = Task.run<AnvilState, AnvilEvent, AnvilEffect>({ initial: opened.state, reduce: Anvil.reduce, perform });
  opened.effects.forEach((effect) => perform(effect, task.put));

  let next = 1;
  const listening = await serveCalls({ host: settings.listen ?? settings.host, port: place.port }, {
    '/anvil': (body) => new Promise((resolve, reject) => {
      const id = next;
      next += 1;
      asking.set(id, resolve);
      if (!task.put({ kind: 'asked', id, body: body as AnvilAsk, now: now() })) { asking.delete(id); reject(new Error('too busy')); }
    }),
  });
  setInterval(() => task.put({ kind: 'beat', now: now() }), Beats.rejoin);
  scribe.info('started', { port: listening.port, disk: opened.state.disk, voting: opened.state.voting });
  let ending = false;
  const leave = (): void => {
    if (ending) return;
    ending = true;
    void listening.close().then(() => notch.close()).then(() => { scribe.info('stopped'); process.exit(0); });
  };
  /** The reducer ends the process once its place is given away; the timer does so in any case. */
  const stopSoon = (): void => {
    setTimeout(leave, Limits.shutdown).unref();
    if (!task.put({ kind: 'stop', now: now() })) leave();
  };
  process.on('SIGTERM', stopSoon);
  process.on('SIGINT', stopSoon);
};
