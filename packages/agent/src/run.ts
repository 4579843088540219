/** The agent's process: its clock, ports, timers and log around the reducer. */
import { randomInt, randomUUID } from 'node:crypto';
import type http from 'node:http';
import { performance } from 'node:perf_hooks';
import { type Logger, openLogger } from '@reedyard/logging';
import {
  decodeReplicaReply,
  encodeReplicaRequest,
  leaseDurationMs,
  type ReplicaReply,
} from '@reedyard/replica';
import { call, type RpcServer, serveCalls, setLocalAddress } from '@reedyard/rpc';
import type { Settings } from '@reedyard/settings';
import { Task } from '@reedyard/task-loop';
import {
  type ApiReply,
  apiServer,
  type PerformAction,
  type TranslatedApi,
  translatedServer,
} from './api/api-server.js';
import type {
  AgentEffect,
  AgentEvent,
  AgentReply,
  AgentRequest,
  NodeIdentity,
  ProxyQuery,
} from './messages.js';
import { openAgent } from './open-agent.js';
import { reduceAgent } from './reducer.js';
import type { AgentState } from './state.js';
import { agentTickIntervalMs } from './tick-delay.js';
import { IncomingRequests } from './incoming-requests.js';

/** ms of this process's monotonic clock. */
const now = (): number => performance.now();

type CallEffect = Extract<AgentEffect, { kind: 'send-request' }>;

/** Makes a call; replies of replicas come in the form that their protocol has on the wire. */
const sendCall = async (effect: CallEffect): Promise<ReplicaReply | AgentReply> => {
  if (effect.path === '/agent')
    return (await call(effect.to, effect.path, effect.request)) as AgentReply;
  const body = encodeReplicaRequest(effect.request);
  return decodeReplicaReply(await call(effect.to, effect.path, body));
};

/** The settings of a machine with an agent. */
export type AgentSettings = Settings & { readonly agent: NonNullable<Settings['agent']> };
/** What a deployment may replace. */
export type AgentOptions = {
  /**
   * Takes requests in another form than this API's; it decides nothing, and hands on what it was
   * asked for.
   */
  readonly api?: (act: PerformAction) => TranslatedApi;
};

/** What the settings say of this machine. */
const identityOf = (settings: AgentSettings): NodeIdentity => {
  const { host, name: id, zone, region, proxy, replica, agent } = settings;
  return {
    servesOn: settings.cutOff === 'serve',
    id,
    zone,
    region,
    address: `${host}:${agent.port}`,
    proxy:
      proxy === undefined
        ? null
        : {
            callers: `${host}:${proxy.port}`,
            peers: `${host}:${proxy.peerPort}`,
            capacityBps: proxy.capacityBps,
          },
    replica: replica === undefined ? null : { address: `${host}:${replica.port}` },
  };
};

const openState = (settings: AgentSettings): AgentState =>
  openAgent({
    self: identityOf(settings),
    incarnation: randomUUID(),
    seeds: settings.seeds,
    founders: settings.founders ?? {},
    bootstrap: settings.voting ?? null,
    randomSeed: randomInt(2 ** 31),
    now: now(),
  });

/** Carries out an effect of the reducer. */
const perform = (
  effect: AgentEffect,
  put: (event: AgentEvent) => boolean,
  callers: IncomingRequests,
  logger: Logger,
): void => {
  switch (effect.kind) {
    case 'send-request': {
      const { requestId } = effect;
      sendCall(effect).then(
        (reply) => put({ kind: 'reply-received', requestId, reply, now: now() }),
        () => put({ kind: 'request-failed', requestId, now: now() }),
      );
      return;
    }
    case 'send-reply':
      callers.reply(effect.requestId, effect.reply);
      return;
    case 'send-answer': {
      const { requestId, status, body, retryAfter } = effect;
      const answer: ApiReply = {
        status,
        body,
        ...(retryAfter === undefined ? {} : { retryAfter }),
      };
      callers.reply(requestId, answer);
      return;
    }
    case 'schedule-wake-up':
      setTimeout(() => put({ kind: 'wake-up-due', now: now() }), effect.delayMs);
      return;
    case 'log':
      logger.info(effect.event, effect.fields);
      return;
  }
};

/** Serves the calls of other agents. */
const serveAgents = (settings: AgentSettings, callers: IncomingRequests): Promise<RpcServer> =>
  serveCalls(
    { host: settings.listen ?? settings.host, port: settings.agent.port },
    {
      '/agent': (body) =>
        callers.submit((requestId) => ({
          kind: 'agent-request-received',
          requestId,
          request: body as AgentRequest,
          now: now(),
        })),
    },
  );

/** Serves this machine's proxy; only processes of this machine reach it. */
const serveProxy = (settings: AgentSettings, callers: IncomingRequests): Promise<RpcServer> =>
  serveCalls(
    { host: '127.0.0.1', port: settings.agent.feedPort },
    {
      '/feed': (body) =>
        callers.submit((requestId) => ({
          kind: 'proxy-request-received',
          requestId,
          request: body as ProxyQuery,
          now: now(),
        })),
    },
  );

/** Serves operators and origins. */
const serveApi = async (
  settings: AgentSettings,
  callers: IncomingRequests,
  options: AgentOptions,
): Promise<http.Server> => {
  const act: PerformAction = (action, signal) =>
    callers.submit<ApiReply>(
      (requestId) => ({ kind: 'action-received', requestId, action, now: now() }),
      signal,
    );
  const server = options.api === undefined ? apiServer(act) : translatedServer(options.api(act));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(settings.agent.apiPort, settings.listen ?? settings.host, resolve);
  });
  return server;
};

/** Exits once the servers are closed, and after a lease at the latest. */
const exitOnSignals = (logger: Logger, api: http.Server, servers: readonly RpcServer[]): void => {
  const shutDown = async (): Promise<void> => {
    logger.info('stopping');
    api.close();
    setTimeout(() => process.exit(0), leaseDurationMs).unref();
    for (const server of servers) await server.close();
    process.exit(0);
  };
  process.on('SIGTERM', () => void shutDown());
  process.on('SIGINT', () => void shutDown());
};

/**
 * Runs an agent until the process is asked to stop.
 *
 * @example
 * await runAgent(SettingsReader.start('agent', process.argv.slice(2)));
 */
export const runAgent = async (
  settings: AgentSettings,
  options: AgentOptions = {},
): Promise<void> => {
  const logger = openLogger({ program: 'agent', node: settings.name });
  setLocalAddress(settings.host);
  const callers = new IncomingRequests({ put: (event) => task.put(event), now });
  const task = Task.run<AgentState, AgentEvent, AgentEffect>({
    initial: openState(settings),
    reduce: reduceAgent,
    perform: (effect, put) => perform(effect, put, callers, logger),
  });
  const agents = await serveAgents(settings, callers);
  const feeds = await serveProxy(settings, callers);
  const api = await serveApi(settings, callers, options);
  setInterval(() => task.put({ kind: 'tick', now: now() }), agentTickIntervalMs);
  const { zone, region, agent } = settings;
  logger.info('started', {
    calls: agents.port,
    feed: feeds.port,
    api: agent.apiPort,
    zone,
    region,
  });
  exitOnSignals(logger, api, [agents, feeds]);
};
