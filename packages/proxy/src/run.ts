import { createHash, randomUUID } from 'node:crypto';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import type { Readable } from 'node:stream';
import {
  type ClaimReply,
  type FeedReply,
  noLeasePollIntervalMs,
  proposalTimeoutMs,
  type ProxyQuery,
  retryAfterSeconds,
} from '@reedyard/agent';
import { openLogger, type Logger } from '@reedyard/logging';
import { call, callTimeoutMs } from '@reedyard/rpc';
import { Routes } from '@reedyard/schemas';
import { type Settings, shutdownTimeoutMs } from '@reedyard/settings';
import { type EventQueue, Task } from '@reedyard/task-loop';
import { writeAnswer } from './caller-answer.js';
import { CallerBounds } from './caller-bounds.js';
import { type CallerServer, type CallerTurn, openCallerServer } from './caller-server.js';
import { originName } from './choice.js';
import {
  type AttemptError,
  OriginConnections,
  type Outgoing,
  peerName,
  type Underway,
} from './conns.js';
import { ProxyCore } from './core.js';
import { type WireFormat, ownWireFormat } from './dialect.js';
import { feedIntervalMs } from './feed-timing.js';
import { Feeds, type FeedSnapshot } from './feeds.js';
import { passable } from './read-answer.js';
import { unreadyServingMs } from './shutdown-timing.js';
import type {
  Answer,
  ClientRequest,
  AttemptAnswer,
  ProxyEffect,
  ProxyEvent,
  ProxyState,
} from './state.js';
import { idleProxyTickIntervalMs, proxyTickIntervalMs } from './ticks.js';
import { warmUp } from './warm.js';

/**
 * numbers drawn by chance for one request: who serves, three origins for each of three attempts,
 * and the service.
 */
export const randomNumbersPerRequest = 11;

const now = (): number => performance.now();

/** bytes. What a node adds to a request's head when it hands it on to a peer. */
const PEER_HEAD_BYTES = 8 * 1024;

/** A whole number in a field, or null. */
const countOf = (field: string | string[] | undefined): number | null =>
  typeof field === 'string' && /^\d{1,4}$/.test(field) ? Number(field) : null;

/** What the shell keeps of a caller's request; the core knows it by its number alone. */
type OpenRequest = {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: Buffer;
  readonly asked: ClientRequest;
  readonly mark: string | null;
  readonly turn: CallerTurn;
};

export type ProxySettings = Settings & { readonly proxy: NonNullable<Settings['proxy']> };

/** What a proxy needs of its surroundings: who answers for its agent, and where its log goes. */
export type ProxyDependencies = {
  readonly logger: Logger;
  readonly askAgent: (body: ProxyQuery, limitMs?: number) => Promise<unknown>;
};

/** A proxy without its ports: what takes requests, and what it is doing. */
export type Proxy = {
  readonly task: EventQueue<ProxyEvent> & { readonly peek: () => ProxyState };
  readonly underWay: () => number;
  /** Requests that were ever begun here. */
  readonly begun: () => number;
  readonly serve: (fromPeer: boolean, port: number) => Promise<http.Server>;
  readonly serveReady: (port: number) => Promise<http.Server>;
  readonly stop: () => void;
  /** Ends its timers, where the process goes on without it. */
  readonly end: () => void;
};

/**
 * Opens a proxy: its task and shell, which callers and peers reach through the servers that it
 * makes.
 *
 * @example
 * const proxy = openProxy(settings, ownDialect, { scribe, askAgent: (body) => call('127.0.0.1:7002', '/feed', body) });
 */
export const openProxy = (
  settings: ProxySettings,
  dialect: WireFormat,
  { logger, askAgent }: ProxyDependencies,
): Proxy => {
  let ended = false;
  const via = `1.1 ${settings.name} (reedyard)`;
  const opened = new Map<number, OpenRequest>();
  let stopping = false;
  /** Attempts under way, by request and number; some outlast their request. */
  const attempts = new Map<string, Underway>();
  const conns = new OriginConnections(settings.host, dialect);
  let held: FeedSnapshot | null = null;
  let nextId = 1;
  /** Servers that callers and peers connect to; peers add fields of their own to a head. */
  const servers: { readonly of: CallerServer; readonly fromPeer: boolean }[] = [];
  /** Answers that are passed on as they come, by request. */
  const streams = new Map<number, Readable>();
  let boundsOf: unknown = null;

  const boundsFor = (fromPeer: boolean): CallerBounds => {
    const bounds = CallerBounds.of(task.peek().policy?.document.callers);
    if (!fromPeer) return bounds;
    return { ...CallerBounds.of(undefined), headBytes: bounds.headBytes + PEER_HEAD_BYTES };
  };
  /**
   * Puts the bounds of the config in force to work; they hold for the connections that are there.
   */
  const applyBounds = (): void => {
    const callers = task.peek().policy?.document.callers;
    if (callers === boundsOf) return;
    boundsOf = callers;
    for (const { of, fromPeer } of servers) of.setBounds(boundsFor(fromPeer));
  };

  const outgoing = (
    one: OpenRequest,
    effect: Extract<ProxyEffect, { kind: 'send-attempt' }>,
  ): Outgoing => {
    const headers = passable(one.request.headers);
    if (effect.isCacheable)
      for (const name of ['range', 'if-range', 'if-none-match', 'if-modified-since'])
        delete headers[name];
    if (effect.isCacheable) headers['accept-encoding'] = 'identity';
    const forwardedFor = one.request.headers['x-forwarded-for'];
    const caller = one.request.socket.remoteAddress ?? '';
    headers['x-forwarded-for'] =
      one.asked.via !== null && typeof forwardedFor === 'string'
        ? forwardedFor
        : [forwardedFor, caller]
            .flat()
            .filter((part) => part !== undefined)
            .join(', ');
    headers.via = [one.request.headers.via, via].filter((part) => part !== undefined).join(', ');
    headers.host = one.asked.host;
    Object.assign(headers, dialect.left(effect.timeoutMs));
    if (effect.to.kind === 'peer')
      Object.assign(headers, {
        'reedyard-attempt': effect.attemptId,
        'reedyard-via': settings.name,
        ...(Number.isFinite(effect.delegatedAttempts)
          ? { 'reedyard-attempts-left': String(effect.delegatedAttempts) }
          : {}),
      });
    delete headers['content-length'];
    if (one.body.length > 0 || !['GET', 'HEAD', 'OPTIONS'].includes(one.asked.method))
      headers['content-length'] = String(one.body.length);
    return {
      method: one.asked.method,
      path: one.asked.target,
      headers,
      body: one.body,
      safe: effect.isIdempotent,
    };
  };

  const write = (
    id: number,
    { response, asked, turn, mark }: OpenRequest,
    answer: Answer,
  ): void => {
    const close = turn.closes(stopping || answer.headers.connection === 'close');
    const hopFields = {
      via,
      ...(mark === null ? {} : { 'reedyard-attempt': mark }),
      ...(close ? { connection: 'close' } : {}),
    };
    const stream = writeAnswer({ response, asked, dialect, hopFields }, answer);
    if (stream === null) return;
    streams.set(id, stream);
    stream.on('close', () => streams.delete(id));
  };

  /** What a trial wants to know of each move; nothing unless the settings ask for it. */
  const trace =
    settings.proxy.trace === true
      ? (event: string, fields: Readonly<Record<string, string | number>>): void =>
          logger.info(event, fields)
      : null;
  const perform = (effect: ProxyEffect, put: (event: ProxyEvent) => boolean): void => {
    switch (effect.kind) {
      case 'send-attempt': {
        const one = opened.get(effect.requestId);
        if (one === undefined) return;
        const name = `${effect.requestId}/${effect.attempt}`;
        const done = (answer: AttemptAnswer): void => {
          // One that still comes can be broken off until its end.
          if (answer.isComplete) attempts.delete(name);
          else (answer.body as Readable).on('close', () => attempts.delete(name));
          put({
            kind: 'attempt-answered',
            requestId: effect.requestId,
            attempt: effect.attempt,
            answer,
            now: now(),
          });
        };
        const fail = (error: AttemptError): void => {
          attempts.delete(name);
          put({
            kind: 'attempt-failed',
            requestId: effect.requestId,
            attempt: effect.attempt,
            sent: error.sent,
            why: error.why,
            now: now(),
          });
        };
        const out = outgoing(one, effect);
        // A second attempt of what may not run twice goes where no answer to the first can come.
        const terms = { sendBy: effect.sendBy, fresh: !effect.isIdempotent && effect.attempt > 0 };
        trace?.('trace.attempt', {
          revision: task.peek().policy?.revision ?? 0,
          attempt: effect.attempt,
        });
        if (effect.to.kind === 'peer') {
          attempts.set(name, conns.sendToPeer(effect.to.row, out, terms, { done, fail }));
          return;
        }
        const attempt = {
          origin: effect.to.row,
          mark: effect.attemptId,
          leftMs: effect.timeoutMs,
          headers: one.request.headers,
        };
        Object.assign(out.headers, dialect.toOrigin(attempt));
        attempts.set(name, conns.send(effect.to.row, out, attempt, terms, { done, fail }));
        return;
      }
      case 'abort-attempt': {
        const name = `${effect.requestId}/${effect.attempt}`;
        attempts.get(name)?.abort();
        attempts.delete(name);
        return;
      }
      case 'send-answer': {
        const one = opened.get(effect.requestId);
        if (effect.answer.body.kind === 'copy')
          trace?.('trace.copy', { revision: task.peek().policy?.revision ?? 0 });
        if (one !== undefined) write(effect.requestId, one, effect.answer);
        opened.delete(effect.requestId);
        return;
      }
      case 'close-request':
        opened.delete(effect.requestId);
        return;
      case 'query-agent':
        askAgent(effect.query, proposalTimeoutMs + callTimeoutMs).then(
          (reply) => {
            if (effect.query.kind === 'claim')
              put({
                kind: 'claim-answered',
                requestId: effect.requestId,
                reply: reply as ClaimReply,
                now: now(),
              });
          },
          () => {
            if (effect.query.kind === 'claim')
              put({
                kind: 'claim-answered',
                requestId: effect.requestId,
                reply: { kind: 'unreached' },
                now: now(),
              });
          },
        );
        return;
      case 'request-feed': {
        const askedAt = now();
        askAgent({ kind: 'feed', report: effect.report, held: Feeds.holding(held) })
          .then(
            (reply) => {
              held = Feeds.merge(held, reply as FeedReply);
              const { feed } = held;
              put({ kind: 'feed-received', feed, askedAt, now: now() });
              conns.keepOnly(
                new Set([...feed.origins.map(originName), ...feed.peers.map(peerName)]),
              );
            },
            () => undefined,
          )
          .finally(() => {
            if (!ended)
              setTimeout(
                () => put({ kind: 'feed-due', now: now() }),
                now() < task.peek().leaseUntil ? feedIntervalMs : noLeasePollIntervalMs,
              );
          });
        return;
      }
      case 'log':
        logger.info(effect.event, effect.fields);
        return;
    }
  };
  const task = Task.run<ProxyState, ProxyEvent, ProxyEffect>({
    initial: ProxyCore.open(
      {
        id: settings.name,
        zone: settings.zone,
        region: settings.region,
        capacityBps: settings.proxy.capacityBps,
        life: randomUUID(),
      },
      now(),
    ),
    reduce: ProxyCore.reduce,
    perform,
  });

  let beating: NodeJS.Timeout | undefined;
  const beatIn = (ms: number): void => {
    beating = setTimeout(() => {
      const idle = opened.size === 0 && Object.keys(task.peek().requests).length === 0;
      task.put({ kind: 'tick', now: now() });
      applyBounds();
      if (!ended) beatIn(idle ? idleProxyTickIntervalMs : proxyTickIntervalMs);
    }, ms);
  };

  const refuse = (
    response: http.ServerResponse,
    turn: CallerTurn | null,
    status: number,
    title: string,
    detail: string,
  ): void => {
    const text = JSON.stringify({ type: 'about:blank', title, status, detail, outcome: 'not-run' });
    const close = turn === null || turn.closes(true);
    response.writeHead(status, {
      'content-type': 'application/problem+json',
      'content-length': Buffer.byteLength(text),
      'reedyard-outcome': 'not-run',
      ...(close ? { connection: 'close' } : {}),
    });
    response.end(text);
  };
  /** Refuses a request of which nothing was begun, and which perhaps was not read whole. */
  const refuseUnread = (
    response: http.ServerResponse,
    turn: CallerTurn,
    status: number,
    title: string,
    detail: string,
  ): void => {
    if (turn.begin(() => undefined)) refuse(response, turn, status, title, detail);
  };
  const wellKnown = (request: http.IncomingMessage, response: http.ServerResponse): boolean => {
    if (request.url !== dialect.readyPath && request.url !== dialect.livePath) return false;
    const good = request.url === dialect.livePath || ProxyCore.ready(task.peek(), now());
    const text = JSON.stringify({ ready: good });
    response.writeHead(good ? 200 : 503, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(good ? {} : { 'retry-after': String(retryAfterSeconds) }),
    });
    response.end(text);
    return true;
  };
  const take =
    (fromPeer: boolean) =>
    (request: http.IncomingMessage, response: http.ServerResponse, turn: CallerTurn): void => {
      const target = request.url ?? '/';
      if (!fromPeer && settings.proxy.readyPort === undefined && wellKnown(request, response))
        return;
      const host = request.headers.host ?? '';
      const path = target.split('?', 1)[0] ?? '/';
      if (!target.startsWith('/') || host === '' || /\/(?:\.|%2e){1,2}(?:\/|$)/i.test(path)) {
        refuseUnread(
          response,
          turn,
          400,
          'Bad request',
          'A request needs a host and a plain path.',
        );
        return;
      }
      const { routes, policy } = task.peek();
      const most =
        Routes.find(routes, host, target)?.limits.bodyBytes ??
        CallerBounds.of(policy?.document.callers).bodyBytes;
      const chunks: Buffer[] = [];
      let size = 0;
      const id = nextId;
      nextId += 1;
      const begin = (): void => {
        const peer = request.headers['reedyard-via'];
        if (fromPeer) trace?.('trace.relay', { from: String(peer ?? ''), target });
        const method = request.method ?? 'GET';
        const digest =
          fromPeer || request.headers['idempotency-key'] === undefined
            ? null
            : createHash('sha256')
                .update(JSON.stringify([method, target]))
                .update(Buffer.concat(chunks))
                .digest('base64');
        const asked: ClientRequest = {
          method,
          target,
          host,
          headers: passable(request.headers),
          via: fromPeer ? String(peer ?? 'unnamed') : null,
          bodyBytes: size,
          digest,
          deadlineMs: dialect.deadlineMs(request.headers),
          attempts: fromPeer ? countOf(request.headers['reedyard-attempts-left']) : null,
        };
        const mark = request.headers['reedyard-attempt'];
        const left = (): void => {
          streams.get(id)?.destroy();
          task.put({ kind: 'client-left', requestId: id, now: now() });
        };
        if (!turn.begin(left)) return;
        opened.set(id, {
          request,
          response,
          body: Buffer.concat(chunks),
          asked,
          mark: fromPeer && typeof mark === 'string' ? mark : null,
          turn,
        });
        const draws = Array.from({ length: randomNumbersPerRequest }, () => Math.random());
        if (opened.size === 1) {
          clearTimeout(beating);
          beatIn(proxyTickIntervalMs);
        }
        if (
          !task.put({
            kind: 'request-arrived',
            requestId: id,
            clientRequest: asked,
            randomNumbers: draws,
            token: randomUUID(),
            now: now(),
          })
        ) {
          opened.delete(id);
          refuse(response, turn, 503, 'Too busy', 'Too many events wait here.');
        }
      };
      request.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size <= most) {
          chunks.push(chunk);
          return;
        }
        request.removeAllListeners('data');
        request.removeAllListeners('end');
        request.resume();
        refuseUnread(
          response,
          turn,
          413,
          'Body too large',
          `This route takes bodies of up to ${most} bytes.`,
        );
      });
      request.on('end', begin);
      request.on('error', () => response.destroy());
    };
  const serve = (fromPeer: boolean, port: number): Promise<http.Server> =>
    new Promise((resolve, reject) => {
      const of = openCallerServer(boundsFor(fromPeer), take(fromPeer));
      const { server } = of;
      servers.push({ of, fromPeer: fromPeer });
      server.once('error', reject);
      server.listen(port, settings.listen ?? settings.host, () => resolve(server));
    });
  const serveReady = (port: number): Promise<http.Server> =>
    new Promise((resolve, reject) => {
      const server = http.createServer((request, response) => {
        if (!wellKnown(request, response))
          refuse(response, null, 404, 'No such place', 'Only readiness is told here.');
      });
      server.once('error', reject);
      server.listen(port, settings.listen ?? settings.host, () => resolve(server));
    });
  beatIn(idleProxyTickIntervalMs);
  if (trace !== null)
    setInterval(
      () => trace('trace.stored', { keys: [...task.peek().cache.copies.keys()].join(' ') }),
      1_000,
    );
  task.put({ kind: 'feed-due', now: now() });
  return {
    task,
    serve,
    serveReady,
    // An answer is under way until the caller's connection has taken all of it.
    underWay: () =>
      Math.max(
        opened.size,
        servers.reduce((sum, { of }) => sum + of.unanswered(), 0),
      ),
    begun: () => nextId - 1,
    stop: () => {
      stopping = true;
      task.put({ kind: 'stop-requested', now: now() });
    },
    end: () => {
      ended = true;
      clearTimeout(beating);
      conns.keepOnly(new Set());
    },
  };
};

/**
 * Runs a proxy until it is told to stop.
 *
 * @example
 * await runProxy(SettingsReader.start('proxy', process.argv.slice(2)));
 */
export const runProxy = async (
  settings: ProxySettings,
  dialect: WireFormat = ownWireFormat,
): Promise<void> => {
  const logger = openLogger({ program: 'proxy', node: settings.name });
  const feedAddress = `127.0.0.1:${settings.agent.feedPort}`;
  const proxy = openProxy(settings, dialect, {
    logger,
    askAgent: (body, limitMs) => call(feedAddress, '/feed', body, limitMs),
  });
  const servers = [
    await proxy.serve(false, settings.proxy.port),
    await proxy.serve(true, settings.proxy.peerPort),
  ];
  if (settings.proxy.readyPort !== undefined)
    servers.push(await proxy.serveReady(settings.proxy.readyPort));
  logger.info('started', { callers: settings.proxy.port, peers: settings.proxy.peerPort });
  // Beside its start, and only until somebody really asks.
  void warmUp(dialect, settings, () => proxy.begun() > 0).then(
    ({ played, served }) => {
      if (played > 0) logger.info('warmed', { requests: played, served });
    },
    () => undefined,
  );

  let warnedAt: number | null = null;
  const leave = (): void => {
    if (warnedAt !== null) return;
    const since = now();
    warnedAt = since;
    logger.info('stopping', { underWay: proxy.underWay() });
    proxy.stop();
    const { graceMs = unreadyServingMs, mostMs = shutdownTimeoutMs } = settings.proxy.leave ?? {};
    // Not ready first: callers are still answered until what is under way has ended.
    setInterval(() => {
      if ((proxy.underWay() === 0 && now() > since + graceMs) || now() > since + mostMs) {
        servers.forEach((server) => {
          server.close();
          server.closeAllConnections();
        });
        logger.info('stopped', { cutOff: proxy.underWay() });
        process.exit(0);
      }
    }, feedIntervalMs);
  };
  // A hang-up ends a process by itself; nothing that is under way may suffer from it.
  process.on('SIGHUP', () => logger.info('hangup', { underWay: proxy.underWay() }));
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
};
