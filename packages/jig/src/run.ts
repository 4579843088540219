import { randomInt, randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { Beats, Limits } from '@reedyard/gauge';
import { Task } from '@reedyard/chute';
import { openScribe } from '@reedyard/scriber';
import { call, serveCalls, speakFrom } from '@reedyard/shuttle';
import type { Settings } from '@reedyard/vise';
import { apiServer, translatedServer, type Act, type Api, type Reply } from './api.js';
import { Jig } from './core.js';
import type { JigState } from './state.js';
import type { JigCall, JigEffect, JigEvent, LatheCall } from './terms.js';

const now = (): number => performance.now();

export type JigSettings = Settings & { readonly jig: NonNullable<Settings['jig']> };
export type JigOptions = {
  /**
   * Takes requests in another form than this API's; it decides nothing, and hands on what it was
   * asked for.
   */
  readonly api?: (act: Act) => Api;
};

/**
 * Runs a jig until the process is told to end.
 *
 * @example
 * await runJig(Vise.start('jig', process.argv.slice(2)));
 */
export const runJig = async (settings: JigSettings, options: JigOptions = {}): Promise<void> => {
  const scribe = openScribe({ program: 'jig', node: settings.name });
  const asking = new Map<number, (reply: unknown) => void>();
  let next = 1;
  const perform = (effect: JigEffect, put: (event: JigEvent) => boolean): void => {
    switch (effect.kind) {
      case 'call':
        call(effect.to, effect.path, effect.body).then(
          (body) => put({ kind: 'returned', id: effect.id, body: body as never, now: now() }),
          () => put({ kind: 'lost', id: effect.id, now: now() }),
        );
        return;
      case 'tell':
        asking.get(effect.id)?.(effect.body);
        asking.delete(effect.id);
        return;
      case 'answer':
        asking.get(effect.id)?.({
          status: effect.status,
          body: effect.body,
          ...(effect.retryAfter === undefined ? {} : { retryAfter: effect.retryAfter }),
        } satisfies Reply);
        asking.delete(effect.id);
        return;
      case 'wake':
        setTimeout(() => put({ kind: 'woken', now: now() }), effect.inMs);
        return;
      case 'log':
        scribe.info(effect.event, effect.fields);
        return;
    }
  };
  const { host } = settings;
  const listen = settings.listen ?? host;
  speakFrom(host);
  const task = Task.run<JigState, JigEvent, JigEffect>({
    initial: Jig.open({
      self: {
        servesOn: settings.cutOff === 'serve',
        id: settings.name,
        hall: settings.hall,
        region: settings.region,
        address: `${host}:${settings.jig.port}`,
        lathe:
          settings.lathe === undefined
            ? null
            : {
                callers: `${host}:${settings.lathe.port}`,
                partners: `${host}:${settings.lathe.partnerPort}`,
                capacityBps: settings.lathe.capacityBps,
              },
        anvil: settings.anvil === undefined ? null : { address: `${host}:${settings.anvil.port}` },
      },
      life: randomUUID(),
      seeds: settings.seeds,
      founders: settings.founders ?? {},
      voting: settings.voting ?? null,
      seed: randomInt(2 ** 31),
      now: now(),
    }),
    reduce: Jig.reduce,
    perform,
  });
  const ask = <T>(event: (id: number) => JigEvent, signal?: AbortSignal): Promise<T> =>
    new Promise((resolve, reject) => {
      const id = next;
      next += 1;
      signal?.addEventListener(
        'abort',
        () => {
          if (asking.delete(id)) task.put({ kind: 'caller-gone', id, now: now() });
        },
        { once: true },
      );
      if (signal?.aborted === true) {
        reject(new Error('the caller is gone'));
        return;
      }
      asking.set(id, resolve as (reply: unknown) => void);
      if (!task.put(event(id))) {
        asking.delete(id);
        reject(new Error('too busy'));
      }
    });

  const calls = await serveCalls(
    { host: listen, port: settings.jig.port },
    { '/jig': (body) => ask((id) => ({ kind: 'asked', id, body: body as JigCall, now: now() })) },
  );
  // Only processes of this machine may feed from it.
  const feeds = await serveCalls(
    { host: '127.0.0.1', port: settings.jig.feedPort },
    { '/feed': (body) => ask((id) => ({ kind: 'fed', id, body: body as LatheCall, now: now() })) },
  );
  const act: Act = (action, signal) =>
    ask<Reply>((id) => ({ kind: 'operator', id, action, now: now() }), signal);
  const api = options.api === undefined ? apiServer(act) : translatedServer(options.api(act));
  await new Promise<void>((resolve, reject) => {
    api.once('error', reject);
    api.listen(settings.jig.apiPort, listen, resolve);
  });
  setInterval(() => task.put({ kind: 'beat', now: now() }), Beats.jig);
  scribe.info('started', {
    calls: calls.port,
    feed: feeds.port,
    api: settings.jig.apiPort,
    hall: settings.hall,
    region: settings.region,
  });

  const leave = (): void => {
    scribe.info('stopping');
    api.close();
    setTimeout(() => process.exit(0), Limits.lease).unref();
    void calls
      .close()
      .then(() => feeds.close())
      .then(() => process.exit(0));
  };
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
};
