/** The agent's process: the clock, servers, timers and log that its reducer runs with. */
import { randomInt, randomUUID } from 'node:crypto';
import type http from 'node:http';
import { performance } from 'node:perf_hooks';
import { type Logger, logProcessEnd, openLogger } from '@reedyard/logging';
import {
  decodeReplicaReply,
  encodeReplicaRequest,
  leaseDurationMs,
  type ReplicaReply,
} from '@reedyard/replica';
import {
  call,
  listen,
  type PortWait,
  portWait,
  type RpcServer,
  serveCalls,
  setLocalAddress,
} from '@reedyard/rpc';
import { type Settings, shutdownTimeoutMs } from '@reedyard/settings';
import { Task } from '@reedyard/task-loop';
import {
  type ActionHandler,
  type ActionResponse,
  type ApiAdapter,
  apiAdapterServer,
  apiServer,
} from './api/api-server.js';
import { confineAgentErrors, type ConfinedAgentEffect } from './confined-reducer.js';
import { isProxyDraining } from './feed/proxy-drain.js';
import type { AgentEvent, AgentReply, NodeIdentity, ProxyQuery } from './messages.js';
import { openAgent } from './open-agent.js';
import { reduceAgent } from './reducer.js';
import { readAgentReply, readAgentRequest } from './message-checks.js';
import type { AgentState } from './state.js';
import { agentTickIntervalMs } from './tick-delay.js';
import { IncomingRequests } from './incoming-requests.js';

/** The time of this process's monotonic clock, in milliseconds. */
const now = (): number => performance.now();

type SendRequestEffect = Extract<ConfinedAgentEffect, { kind: 'send-request' }>;

/** Sends a request; a replica's request and reply are converted between memory and wire format. */
const sendRequest = async (effect: SendRequestEffect): Promise<ReplicaReply | AgentReply> => {
  if (effect.path === '/agent')
    return readAgentReply(await call(effect.to, effect.path, effect.request));
  const body = encodeReplicaRequest(effect.request);
  return decodeReplicaReply(await call(effect.to, effect.path, body));
};

/** The settings of a machine with an agent. */
export type AgentSettings = Settings & { readonly agent: NonNullable<Settings['agent']> };
/** Parts of the agent that a deployment may replace. */
export type AgentOptions = {
  /**
   * Replaces the HTTP form of the API. The adapter makes no decisions: it translates each request to
   * an action and passes it to the handler.
   */
  readonly api?: (handleAction: ActionHandler) => ApiAdapter;
};

/** The identity of this node from its settings. */
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

/** Executes an effect of the reducer. */
const perform = (
  effect: ConfinedAgentEffect,
  put: (event: AgentEvent) => boolean,
  incomingRequests: IncomingRequests,
  logger: Logger,
): void => {
  switch (effect.kind) {
    case 'send-request': {
      const { requestId } = effect;
      sendRequest(effect).then(
        (reply) => put({ kind: 'reply-received', requestId, reply, now: now() }),
        () => put({ kind: 'request-failed', requestId, now: now() }),
      );
      return;
    }
    case 'send-reply':
      incomingRequests.reply(effect.requestId, effect.reply);
      return;
    case 'fail-request':
      incomingRequests.fail(effect.requestId, effect.why);
      return;
    case 'send-answer': {
      const { requestId, status, body, retryAfter } = effect;
      const response: ActionResponse = {
        status,
        body,
        ...(retryAfter === undefined ? {} : { retryAfter }),
      };
      incomingRequests.reply(requestId, response);
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

/** Serves the requests of other agents. */
const serveAgents = (
  settings: AgentSettings,
  incomingRequests: IncomingRequests,
  wait: PortWait,
): Promise<RpcServer> =>
  serveCalls(
    { host: settings.listen ?? settings.host, port: settings.agent.port },
    {
      '/agent': async (body) => {
        const request = readAgentRequest(body);
        return incomingRequests.submit((requestId) => ({
          kind: 'agent-request-received',
          requestId,
          request,
          now: now(),
        }));
      },
    },
    wait,
  );

/** Serves this machine's proxy, on the loopback interface only. */
const serveProxy = (
  settings: AgentSettings,
  incomingRequests: IncomingRequests,
  wait: PortWait,
): Promise<RpcServer> =>
  serveCalls(
    { host: '127.0.0.1', port: settings.agent.feedPort },
    {
      '/feed': (body) =>
        incomingRequests.submit((requestId) => ({
          kind: 'proxy-request-received',
          requestId,
          request: body as ProxyQuery,
          now: now(),
        })),
    },
    wait,
  );

/** Serves the HTTP API for operators and origins. */
const serveApi = async (
  settings: AgentSettings,
  incomingRequests: IncomingRequests,
  options: AgentOptions,
  wait: PortWait,
): Promise<http.Server> => {
  const handleAction: ActionHandler = (action, signal) =>
    incomingRequests.submit<ActionResponse>(
      (requestId) => ({ kind: 'action-received', requestId, action, now: now() }),
      signal,
    );
  const server =
    options.api === undefined
      ? apiServer(handleAction)
      : apiAdapterServer(options.api(handleAction));
  const address = { host: settings.listen ?? settings.host, port: settings.agent.apiPort };
  await listen(server, address, wait);
  return server;
};

/** The parts of a running agent that its shutdown needs. */
type RunningAgent = {
  readonly logger: Logger;
  readonly api: http.Server;
  readonly servers: readonly RpcServer[];
  readonly peek: () => AgentState;
  /** The maximum time until this machine's proxy exits, in milliseconds. */
  readonly proxyShutdownMs: number;
};

/** Resolves when this machine's proxy has drained its requests, or its time for that is over. */
const waitForProxy = ({ peek, proxyShutdownMs }: RunningAgent): Promise<void> => {
  const stopRequestedAt = now();
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      const isOverdue = now() - stopRequestedAt >= proxyShutdownMs;
      if (!isOverdue && isProxyDraining(peek(), stopRequestedAt, now())) return;
      clearInterval(timer);
      resolve();
    }, agentTickIntervalMs);
  });
};

/**
 * Stops gracefully on a signal: takes no more orders, serves this machine's proxy and the other
 * agents until the proxy has drained, then closes the servers, and exits after one lease at the
 * latest.
 */
const exitOnSignals = (agent: RunningAgent): void => {
  const { logger, api, servers } = agent;
  let isShuttingDown = false;
  const shutDown = async (signal: NodeJS.Signals): Promise<void> => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    logger.info('stopping', { signal });
    api.close();
    if (agent.peek().lastProxyReport !== null) await waitForProxy(agent);
    setTimeout(() => process.exit(0), leaseDurationMs).unref();
    for (const server of servers) await server.close();
    process.exit(0);
  };
  process.on('SIGTERM', (signal) => void shutDown(signal));
  process.on('SIGINT', (signal) => void shutDown(signal));
};

/**
 * Runs an agent until the process receives SIGTERM or SIGINT.
 *
 * @example
 * await runAgent(SettingsReader.start('agent', process.argv.slice(2)));
 */
export const runAgent = async (
  settings: AgentSettings,
  options: AgentOptions = {},
): Promise<void> => {
  const logger = openLogger({ program: 'agent', node: settings.name });
  logProcessEnd(logger);
  setLocalAddress(settings.host);
  const incomingRequests = new IncomingRequests({ put: (event) => task.put(event), now });
  const task = Task.run<AgentState, AgentEvent, ConfinedAgentEffect>({
    initial: openState(settings),
    reduce: confineAgentErrors(reduceAgent),
    perform: (effect, put) => perform(effect, put, incomingRequests, logger),
  });
  const wait = portWait(logger);
  const agentServer = await serveAgents(settings, incomingRequests, wait);
  const feedServer = await serveProxy(settings, incomingRequests, wait);
  const apiHttpServer = await serveApi(settings, incomingRequests, options, wait);
  setInterval(() => task.put({ kind: 'tick', now: now() }), agentTickIntervalMs);
  const { zone, region, agent } = settings;
  logger.info('started', {
    calls: agentServer.port,
    feed: feedServer.port,
    api: agent.apiPort,
    zone,
    region,
  });
  exitOnSignals({
    logger,
    api: apiHttpServer,
    servers: [agentServer, feedServer],
    peek: task.peek,
    proxyShutdownMs: settings.proxy?.leave?.mostMs ?? shutdownTimeoutMs,
  });
};
