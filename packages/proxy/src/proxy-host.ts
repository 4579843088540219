/**
 * Runs the proxy's reducer: hands it the requests of clients and peers, and carries out its
 * effects. It owns the servers, the connections to origins and peers, and the feed as the agent
 * last told it; every decision is the reducer's.
 */
import { randomUUID } from 'node:crypto';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import type { Readable } from 'node:stream';
import {
  type ClaimReply,
  type FeedReply,
  noLeasePollIntervalMs,
  proposalTimeoutMs,
  type ProxyQuery,
} from '@reedyard/agent';
import type { Logger } from '@reedyard/logging';
import { callTimeoutMs } from '@reedyard/rpc';
import { Routes } from '@reedyard/schemas';
import type { Settings } from '@reedyard/settings';
import { type EventQueue, Task } from '@reedyard/task-loop';
import { writeClientResponse } from './client-response-writer.js';
import { ClientLimits } from './client-limits.js';
import { type InboundServer, type RequestTurn, openInboundServer } from './inbound-server.js';
import { originIdOf } from './endpoint-selection.js';
import { clientRequestOf, isPlainTarget, readBody } from './client-request-reader.js';
import { type AttemptError, OriginConnections, peerKeyOf } from './origin-connections.js';
import { ProxyCore } from './core.js';
import type { WireFormat } from './wire-format.js';
import type { InFlightAttempt } from './exchange.js';
import { feedIntervalMs } from './feed-timing.js';
import { Feeds, type FeedSnapshot } from './feed-snapshot.js';
import { outgoingRequest, type ProxyName } from './outgoing-request.js';
import { rejectUnread, writeHealth, writeRejection } from './local-responses.js';
import type {
  ClientResponse,
  AttemptResponse,
  ClientRequest,
  ProxyEffect,
  ProxyEvent,
  ProxyState,
} from './state.js';
import { idleProxyTickIntervalMs, proxyTickIntervalMs } from './tick-timing.js';

/**
 * Random numbers drawn for one request: who serves, three origins for each of three attempts, and
 * the service.
 */
const randomNumbersPerRequest = 11;

/** bytes. What a node adds to a request's head when it hands it on to a peer. */
const peerHeadBytes = 8 * 1024;

/** ms between two lines that trace which copies are kept. */
const storedTraceIntervalMs = 1_000;

const now = (): number => performance.now();

/** The settings of a machine with a proxy. */
export type ProxySettings = Settings & { readonly proxy: NonNullable<Settings['proxy']> };

/** What a proxy needs of its surroundings: who answers for its agent, and where its log goes. */
export type ProxyDependencies = {
  readonly logger: Logger;
  readonly queryAgent: (query: ProxyQuery, timeoutMs?: number) => Promise<unknown>;
};

/** What is kept of a client's request; the reducer knows it by its id alone. */
type OpenRequest = {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: Buffer;
  readonly clientRequest: ClientRequest;
  /** The attempt of a peer that this request is; null from a client. */
  readonly attemptId: string | null;
  readonly turn: RequestTurn;
};

type EffectOf<Kind extends ProxyEffect['kind']> = Extract<ProxyEffect, { kind: Kind }>;
type Trace = (event: string, fields: Readonly<Record<string, string | number>>) => void;

const attemptName = ({ requestId, attempt }: EffectOf<'send-attempt' | 'abort-attempt'>): string =>
  `${requestId}/${attempt}`;

/** A proxy without its signals and exit. */
export class ProxyHost {
  readonly #settings: ProxySettings;
  readonly #wireFormat: WireFormat;
  readonly #dependencies: ProxyDependencies;
  readonly #name: ProxyName;
  readonly #connections: OriginConnections;
  /** The reducer and its events. */
  readonly task: EventQueue<ProxyEvent> & { readonly peek: () => ProxyState };
  /** What a trial wants to know of each decision; null unless the settings ask for it. */
  readonly #trace: Trace | null;
  readonly #openRequests = new Map<number, OpenRequest>();
  /** Attempts in flight, by request and number; some outlast their request. */
  readonly #attempts = new Map<string, InFlightAttempt>();
  /** Answers that are passed on as they come, by request. */
  readonly #streams = new Map<number, Readable>();
  readonly #servers: { readonly server: InboundServer; readonly isForPeers: boolean }[] = [];
  #feed: FeedSnapshot | null = null;
  #nextRequestId = 1;
  /** The bounds of the config that the servers follow. */
  #appliedBounds: unknown = null;
  #tickTimer: NodeJS.Timeout | undefined;
  #traceTimer: NodeJS.Timeout | undefined;
  #isStopping = false;
  #isClosed = false;

  constructor(settings: ProxySettings, wireFormat: WireFormat, dependencies: ProxyDependencies) {
    this.#settings = settings;
    this.#wireFormat = wireFormat;
    this.#dependencies = dependencies;
    this.#name = { via: `1.1 ${settings.name} (reedyard)`, node: settings.name };
    this.#connections = new OriginConnections(settings.host, wireFormat);
    const { logger } = dependencies;
    this.#trace =
      settings.proxy.trace === true ? (event, fields) => logger.info(event, fields) : null;
    this.task = Task.run<ProxyState, ProxyEvent, ProxyEffect>({
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
      perform: (effect) => this.#perform(effect),
    });
    this.#tickIn(idleProxyTickIntervalMs);
    this.#traceStored();
    this.task.put({ kind: 'feed-due', now: now() });
  }

  /** Requests whose answers the clients' connections have not taken completely. */
  inFlightCount(): number {
    const unanswered = this.#servers.reduce((sum, { server }) => sum + server.unanswered(), 0);
    return Math.max(this.#openRequests.size, unanswered);
  }

  /** Requests that were ever begun here. */
  begunCount(): number {
    return this.#nextRequestId - 1;
  }

  /** Serves clients, or peers, on a port. */
  serve(isForPeers: boolean, port: number): Promise<http.Server> {
    const server = openInboundServer(this.#boundsFor(isForPeers), (request, response, turn) =>
      this.#handleRequest(request, response, turn, isForPeers),
    );
    this.#servers.push({ server, isForPeers });
    return this.#listen(server.server, port);
  }

  /** Serves health checks alone on a port. */
  serveReady(port: number): Promise<http.Server> {
    const server = http.createServer((request, response) => {
      if (this.#answerHealthCheck(request, response)) return;
      writeRejection(response, null, {
        status: 404,
        title: 'No such place',
        detail: 'Only readiness is told here.',
      });
    });
    return this.#listen(server, port);
  }

  /** Warns the reducer that the process must stop: it is no longer ready. */
  stop(): void {
    this.#isStopping = true;
    this.task.put({ kind: 'stop-requested', now: now() });
  }

  /** Ends its timers and idle connections, where the process goes on without it. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#tickTimer);
    clearInterval(this.#traceTimer);
    this.#connections.closeIdleExcept(new Set());
  }

  #listen(server: http.Server, port: number): Promise<http.Server> {
    const { listen, host } = this.#settings;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, listen ?? host, () => resolve(server));
    });
  }

  /** Peers add fields of their own to a head. */
  #boundsFor(isForPeers: boolean): ClientLimits {
    const bounds = ClientLimits.of(this.task.peek().policy?.document.callers);
    if (!isForPeers) return bounds;
    return { ...ClientLimits.of(undefined), headBytes: bounds.headBytes + peerHeadBytes };
  }

  /** Makes the servers follow the config in force, also for the connections that are there. */
  #applyBounds(): void {
    const bounds = this.task.peek().policy?.document.callers;
    if (bounds === this.#appliedBounds) return;
    this.#appliedBounds = bounds;
    for (const { server, isForPeers } of this.#servers)
      server.setLimits(this.#boundsFor(isForPeers));
  }

  #tickIn(ms: number): void {
    this.#tickTimer = setTimeout(() => {
      const isIdle =
        this.#openRequests.size === 0 && Object.keys(this.task.peek().requests).length === 0;
      this.task.put({ kind: 'tick', now: now() });
      this.#applyBounds();
      if (!this.#isClosed) this.#tickIn(isIdle ? idleProxyTickIntervalMs : proxyTickIntervalMs);
    }, ms);
  }

  #traceStored(): void {
    const trace = this.#trace;
    if (trace === null) return;
    this.#traceTimer = setInterval(
      () => trace('trace.stored', { keys: [...this.task.peek().cache.copies.keys()].join(' ') }),
      storedTraceIntervalMs,
    );
  }

  #revision(): number {
    return this.task.peek().policy?.revision ?? 0;
  }

  // Requests of clients and peers

  #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    turn: RequestTurn,
    isFromPeer: boolean,
  ): void {
    const servesHealth = !isFromPeer && this.#settings.proxy.readyPort === undefined;
    if (servesHealth && this.#answerHealthCheck(request, response)) return;
    const { url: target = '/' } = request;
    const host = request.headers.host ?? '';
    if (host === '' || !isPlainTarget(target)) {
      rejectUnread(response, turn, {
        status: 400,
        title: 'Bad request',
        detail: 'A request needs a host and a plain path.',
      });
      return;
    }
    const id = this.#nextRequestId;
    this.#nextRequestId += 1;
    const maxBytes = this.#maxBodyBytes(host, target);
    readBody(
      request,
      maxBytes,
      (body) => this.#begin(id, request, response, turn, body, isFromPeer),
      () =>
        rejectUnread(response, turn, {
          status: 413,
          title: 'Body too large',
          detail: `This route takes bodies of up to ${maxBytes} bytes.`,
        }),
    );
    request.on('error', () => response.destroy());
  }

  #answerHealthCheck(request: http.IncomingMessage, response: http.ServerResponse): boolean {
    const { readyPath, livePath } = this.#wireFormat;
    const isLiveCheck = request.url === livePath;
    if (!isLiveCheck && request.url !== readyPath) return false;
    writeHealth(response, isLiveCheck || ProxyCore.ready(this.task.peek(), now()));
    return true;
  }

  #maxBodyBytes(host: string, target: string): number {
    const { routes, policy } = this.task.peek();
    const ofRoute = Routes.find(routes, host, target)?.limits.bodyBytes;
    return ofRoute ?? ClientLimits.of(policy?.document.callers).bodyBytes;
  }

  /** Begins a request that was read, unless its connection is closed. */
  #begin(
    id: number,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    turn: RequestTurn,
    body: Buffer,
    isFromPeer: boolean,
  ): void {
    const clientRequest = clientRequestOf(request, body, isFromPeer, this.#wireFormat);
    if (isFromPeer) {
      const from = String(request.headers['reedyard-via'] ?? '');
      this.#trace?.('trace.relay', { from, target: clientRequest.target });
    }
    if (!turn.begin(this.#onClientLeft(id))) return;
    const attemptField = request.headers['reedyard-attempt'];
    const attemptId = isFromPeer && typeof attemptField === 'string' ? attemptField : null;
    this.#openRequests.set(id, { request, response, body, clientRequest, attemptId, turn });
    this.#tickSoonIfFirst();
    const event: ProxyEvent = {
      kind: 'request-arrived',
      requestId: id,
      clientRequest,
      randomNumbers: Array.from({ length: randomNumbersPerRequest }, () => Math.random()),
      token: randomUUID(),
      now: now(),
    };
    if (this.task.put(event)) return;
    this.#openRequests.delete(id);
    writeRejection(response, turn, {
      status: 503,
      title: 'Too busy',
      detail: 'Too many events wait here.',
    });
  }

  /** Holds on to the request's id alone, since the connection keeps this until its answer is out. */
  #onClientLeft(id: number): () => void {
    return () => {
      this.#streams.get(id)?.destroy();
      this.task.put({ kind: 'client-left', requestId: id, now: now() });
    };
  }

  #tickSoonIfFirst(): void {
    if (this.#openRequests.size !== 1) return;
    clearTimeout(this.#tickTimer);
    this.#tickIn(proxyTickIntervalMs);
  }

  // Effects of the reducer

  #perform(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'send-attempt':
        this.#sendAttempt(effect);
        return;
      case 'abort-attempt': {
        const name = attemptName(effect);
        this.#attempts.get(name)?.abort();
        this.#attempts.delete(name);
        return;
      }
      case 'send-answer':
        this.#sendAnswer(effect);
        return;
      case 'close-request':
        this.#openRequests.delete(effect.requestId);
        return;
      case 'query-agent':
        this.#queryAgent(effect);
        return;
      case 'request-feed':
        this.#requestFeed(effect);
        return;
      case 'log':
        this.#dependencies.logger.info(effect.event, effect.fields);
        return;
    }
  }

  #sendAttempt(effect: EffectOf<'send-attempt'>): void {
    const open = this.#openRequests.get(effect.requestId);
    if (open === undefined) return;
    const name = attemptName(effect);
    const outgoing = outgoingRequest(open, effect, this.#name, this.#wireFormat);
    // A second attempt of what may not run twice goes where no answer to the first can come.
    const terms = { sendBy: effect.sendBy, fresh: !effect.isIdempotent && effect.attempt > 0 };
    const callbacks = {
      done: (answer: AttemptResponse) => this.#attemptAnswered(effect, answer),
      fail: (error: AttemptError) => this.#attemptFailed(effect, error),
    };
    this.#trace?.('trace.attempt', { revision: this.#revision(), attempt: effect.attempt });
    if (effect.to.kind === 'peer') {
      const sent = this.#connections.sendToPeer(effect.to.row, outgoing, terms, callbacks);
      this.#attempts.set(name, sent);
      return;
    }
    const origin = effect.to.row;
    const attempt = {
      origin,
      correlationId: effect.attemptId,
      remainingMs: effect.timeoutMs,
      headers: open.request.headers,
    };
    Object.assign(outgoing.headers, this.#wireFormat.originRequestFields(attempt));
    this.#attempts.set(
      name,
      this.#connections.sendToOrigin(origin, outgoing, attempt, terms, callbacks),
    );
  }

  #attemptAnswered(effect: EffectOf<'send-attempt'>, answer: AttemptResponse): void {
    const name = attemptName(effect);
    // One that still comes can be broken off until its end.
    if (answer.isComplete) this.#attempts.delete(name);
    else (answer.body as Readable).on('close', () => this.#attempts.delete(name));
    const { requestId, attempt } = effect;
    this.task.put({ kind: 'attempt-answered', requestId, attempt, answer, now: now() });
  }

  #attemptFailed(effect: EffectOf<'send-attempt'>, { sent, why }: AttemptError): void {
    this.#attempts.delete(attemptName(effect));
    const { requestId, attempt } = effect;
    this.task.put({ kind: 'attempt-failed', requestId, attempt, sent, why, now: now() });
  }

  #sendAnswer({ requestId, answer }: EffectOf<'send-answer'>): void {
    const open = this.#openRequests.get(requestId);
    if (answer.body.kind === 'copy') this.#trace?.('trace.copy', { revision: this.#revision() });
    if (open !== undefined) this.#write(requestId, open, answer);
    this.#openRequests.delete(requestId);
  }

  #write(id: number, open: OpenRequest, answer: ClientResponse): void {
    const { response, clientRequest, turn, attemptId } = open;
    const closes = turn.startResponse(this.#isStopping || answer.headers.connection === 'close');
    const hopFields = {
      via: this.#name.via,
      ...(attemptId === null ? {} : { 'reedyard-attempt': attemptId }),
      ...(closes ? { connection: 'close' } : {}),
    };
    const wireFormat = this.#wireFormat;
    const stream = writeClientResponse(
      { response, asked: clientRequest, dialect: wireFormat, hopFields },
      answer,
    );
    if (stream === null) return;
    this.#streams.set(id, stream);
    stream.on('close', () => this.#streams.delete(id));
  }

  /** Asks the agent; only a claim waits for its reply. */
  #queryAgent({ requestId, query }: EffectOf<'query-agent'>): void {
    const answered = (reply: ClaimReply): void => {
      if (query.kind !== 'claim') return;
      this.task.put({ kind: 'claim-answered', requestId, reply, now: now() });
    };
    this.#dependencies.queryAgent(query, proposalTimeoutMs + callTimeoutMs).then(
      (reply) => answered(reply as ClaimReply),
      () => answered({ kind: 'unreached' }),
    );
  }

  #requestFeed({ report }: EffectOf<'request-feed'>): void {
    const askedAt = now();
    const held = Feeds.heldParts(this.#feed);
    this.#dependencies
      .queryAgent({ kind: 'feed', report, held })
      .then(
        (reply) => this.#feedReceived(reply as FeedReply, askedAt),
        () => undefined,
      )
      .finally(() => this.#scheduleFeed());
  }

  #feedReceived(reply: FeedReply, askedAt: number): void {
    this.#feed = Feeds.merge(this.#feed, reply);
    const { feed } = this.#feed;
    this.task.put({ kind: 'feed-received', feed, askedAt, now: now() });
    const names = [...feed.origins.map(originIdOf), ...feed.peers.map(peerKeyOf)];
    this.#connections.closeIdleExcept(new Set(names));
  }

  #scheduleFeed(): void {
    if (this.#isClosed) return;
    const hasLease = now() < this.task.peek().leaseUntil;
    setTimeout(
      () => this.task.put({ kind: 'feed-due', now: now() }),
      hasLease ? feedIntervalMs : noLeasePollIntervalMs,
    );
  }
}

/**
 * Opens a proxy, which clients and peers reach through the servers that it makes.
 *
 * @example
 * const proxy = openProxy(settings, ownWireFormat, { logger, askAgent: (query) => call('127.0.0.1:7002', '/feed', query) });
 */
export const openProxy = (
  settings: ProxySettings,
  wireFormat: WireFormat,
  dependencies: ProxyDependencies,
): ProxyHost => new ProxyHost(settings, wireFormat, dependencies);
