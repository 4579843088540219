import { randomInt, randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { openLogger } from '@reedyard/logging';
import {
  decodeReplicaReply,
  encodeReplicaRequest,
  leaseDurationMs,
  type ReplicaReply,
} from '@reedyard/replica';
import { call, serveCalls, setLocalAddress } from '@reedyard/rpc';
import type { Settings } from '@reedyard/settings';
import { Task } from '@reedyard/task-loop';
import {
  type ApiReply,
  apiServer,
  type PerformAction,
  type TranslatedApi,
  translatedServer,
} from './api/api-server.js';
import type { AgentEffect, AgentEvent, AgentReply, AgentRequest, ProxyQuery } from './messages.js';
import { openAgent, reduceAgent } from './reducer.js';
import type { AgentState } from './state.js';
import { agentTickIntervalMs } from './tick-delay.js';

const now = (): number => performance.now();

type CallEffect = Extract<AgentEffect, { kind: 'send-request' }>;

/** Makes a call; replies of replicas come in the form that their protocol has on the wire. */
const sendCall = async (effect: CallEffect): Promise<ReplicaReply | AgentReply> => {
  if (effect.path === '/agent')
    return (await call(effect.to, effect.path, effect.request)) as AgentReply;
  const body = encodeReplicaRequest(effect.request);
  return decodeReplicaReply(await call(effect.to, effect.path, body));
};

export type AgentSettings = Settings & { readonly agent: NonNullable<Settings['agent']> };
export type AgentOptions = {
  /**
   * Takes requests in another form than this API's; it decides nothing, and hands on what it was
   * asked for.
   */
  readonly api?: (act: PerformAction) => TranslatedApi;
};

/**
 * Runs an agent until the process is told to end.
 *
 * @example
 * await runAgent(SettingsReader.start('agent', process.argv.slice(2)));
 */
export const runAgent = async (
  settings: AgentSettings,
  options: AgentOptions = {},
): Promise<void> => {
  const logger = openLogger({ program: 'agent', node: settings.name });
  const asking = new Map<number, (reply: unknown) => void>();
  let next = 1;
  const perform = (effect: AgentEffect, put: (event: AgentEvent) => boolean): void => {
    switch (effect.kind) {
      case 'send-request':
        sendCall(effect).then(
          (body) =>
            put({ kind: 'reply-received', requestId: effect.requestId, reply: body, now: now() }),
          () => put({ kind: 'request-failed', requestId: effect.requestId, now: now() }),
        );
        return;
      case 'send-reply':
        asking.get(effect.requestId)?.(effect.reply);
        asking.delete(effect.requestId);
        return;
      case 'send-answer':
        asking.get(effect.requestId)?.({
          status: effect.status,
          body: effect.body,
          ...(effect.retryAfter === undefined ? {} : { retryAfter: effect.retryAfter }),
        } satisfies ApiReply);
        asking.delete(effect.requestId);
        return;
      case 'schedule-wake-up':
        setTimeout(() => put({ kind: 'wake-up-due', now: now() }), effect.delayMs);
        return;
      case 'log':
        logger.info(effect.event, effect.fields);
        return;
    }
  };
  const { host } = settings;
  const listen = settings.listen ?? host;
  setLocalAddress(host);
  const task = Task.run<AgentState, AgentEvent, AgentEffect>({
    initial: openAgent({
      self: {
        servesOn: settings.cutOff === 'serve',
        id: settings.name,
        zone: settings.zone,
        region: settings.region,
        address: `${host}:${settings.agent.port}`,
        proxy:
          settings.proxy === undefined
            ? null
            : {
                callers: `${host}:${settings.proxy.port}`,
                peers: `${host}:${settings.proxy.peerPort}`,
                capacityBps: settings.proxy.capacityBps,
              },
        replica:
          settings.replica === undefined ? null : { address: `${host}:${settings.replica.port}` },
      },
      life: randomUUID(),
      seeds: settings.seeds,
      founders: settings.founders ?? {},
      voting: settings.voting ?? null,
      seed: randomInt(2 ** 31),
      now: now(),
    }),
    reduce: reduceAgent,
    perform,
  });
  const ask = <T>(event: (id: number) => AgentEvent, signal?: AbortSignal): Promise<T> =>
    new Promise((resolve, reject) => {
      const id = next;
      next += 1;
      signal?.addEventListener(
        'abort',
        () => {
          if (asking.delete(id))
            task.put({ kind: 'caller-disconnected', requestId: id, now: now() });
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
    { host: listen, port: settings.agent.port },
    {
      '/agent': (body) =>
        ask((id) => ({
          kind: 'agent-request-received',
          requestId: id,
          request: body as AgentRequest,
          now: now(),
        })),
    },
  );
  // Only processes of this machine may feed from it.
  const feeds = await serveCalls(
    { host: '127.0.0.1', port: settings.agent.feedPort },
    {
      '/feed': (body) =>
        ask((id) => ({
          kind: 'proxy-request-received',
          requestId: id,
          request: body as ProxyQuery,
          now: now(),
        })),
    },
  );
  const act: PerformAction = (action, signal) =>
    ask<ApiReply>((id) => ({ kind: 'action-received', requestId: id, action, now: now() }), signal);
  const api = options.api === undefined ? apiServer(act) : translatedServer(options.api(act));
  await new Promise<void>((resolve, reject) => {
    api.once('error', reject);
    api.listen(settings.agent.apiPort, listen, resolve);
  });
  setInterval(() => task.put({ kind: 'tick', now: now() }), agentTickIntervalMs);
  logger.info('started', {
    calls: calls.port,
    feed: feeds.port,
    api: settings.agent.apiPort,
    zone: settings.zone,
    region: settings.region,
  });

  const leave = (): void => {
    logger.info('stopping');
    api.close();
    setTimeout(() => process.exit(0), leaseDurationMs).unref();
    void calls
      .close()
      .then(() => feeds.close())
      .then(() => process.exit(0));
  };
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
};
