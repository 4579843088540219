/**
 * Runs the proxy's reducer: gives it the requests of clients and peers, and performs its effects. It
 * owns the servers, the connections to origins and peers, and the latest feed of the agent; the
 * reducer makes every decision.
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
import { errorMessage, type Logger } from '@reedyard/logging';
import {
  callTimeoutMs,
  discardBody,
  listen,
  MemoryBudget,
  portWait,
  readRequestBody,
  type RequestBody,
  type Reservation,
} from '@reedyard/rpc';
import { Routes } from '@reedyard/schemas';
import type { Settings } from '@reedyard/settings';
import { type EventQueue, Task } from '@reedyard/task-loop';
import { writeClientResponse } from './client-response-writer.js';
import { ClientLimits } from './client-limits.js';
import { confineErrors } from './confined-reducer.js';
import { type InboundServer, type RequestTurn, openInboundServer } from './inbound-server.js';
import { originIdOf } from './endpoint-selection.js';
import { clientRequestOf, isPlainTarget } from './client-request-reader.js';
import { AttemptError, OriginConnections, peerKeyOf } from './origin-connections.js';
import { ProxyCore } from './core.js';
import { divideMemory } from './memory-division.js';
import type { WireFormat } from './wire-format.js';
import type { InFlightAttempt } from './exchange.js';
import { feedIntervalMs } from './feed-timing.js';
import { Feeds, type FeedSnapshot } from './feed-snapshot.js';
import { outgoingRequest, type ProxyName } from './outgoing-request.js';
import {
  rejectUnread,
  writeHealth,
  writeRejection,
  writeUnknownOutcome,
} from './local-responses.js';
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
 * Random numbers drawn for one request: one for the node that serves it, three origin choices for
 * each of three attempts, and one for the service.
 */
const randomNumbersPerRequest = 11;

/** Maximum size of the fields that a node adds to a request that it forwards to a peer, in bytes. */
const peerHeadBytes = 8 * 1024;

/** The rejection of a body that the memory for all bodies does not suffice for. */
const bodiesTooLarge = {
  status: 503,
  title: 'Too busy',
  detail: 'The bodies of other requests take the memory of this node.',
};

/** The rejection of a body whose client stopped sending it while others needed its memory. */
const bodyTooSlow = {
  status: 408,
  title: 'Request too slow',
  detail: 'The body stopped arriving, and other requests needed its memory.',
};

/** Size from which an answer counts as held while its client takes it, in bytes. */
const minCountedAnswerBytes = 64 * 1024;

/** Interval between two log lines that list the cached responses, in milliseconds. */
const storedTraceIntervalMs = 1_000;

const now = (): number => performance.now();

/** The settings of a machine with a proxy. */
export type ProxySettings = Settings & { readonly proxy: NonNullable<Settings['proxy']> };

/** The dependencies of a proxy: its logger, and the function that sends a query to its agent. */
export type ProxyDependencies = {
  readonly logger: Logger;
  readonly queryAgent: (query: ProxyQuery, timeoutMs?: number) => Promise<unknown>;
};

/** A request that was read. */
type ReceivedRequest = {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: RequestBody;
  readonly reservation: Reservation;
  readonly turn: RequestTurn;
};

/** A client's request while it is open; the reducer refers to it by its id. */
type OpenRequest = ReceivedRequest & {
  readonly clientRequest: ClientRequest;
  /** Id of the peer's attempt that sent this request; null for a client's request. */
  readonly attemptId: string | null;
};

type EffectOf<Kind extends ProxyEffect['kind']> = Extract<ProxyEffect, { kind: Kind }>;
type Trace = (event: string, fields: Readonly<Record<string, string | number>>) => void;

const attemptName = ({ requestId, attempt }: EffectOf<'send-attempt' | 'abort-attempt'>): string =>
  `${requestId}/${attempt}`;

/** A proxy without signal handlers and process exit. */
export class ProxyHost {
  readonly #settings: ProxySettings;
  readonly #wireFormat: WireFormat;
  readonly #dependencies: ProxyDependencies;
  readonly #name: ProxyName;
  readonly #connections: OriginConnections;
  /** The reducer and its event queue. */
  readonly task: EventQueue<ProxyEvent> & { readonly peek: () => ProxyState };
  /** Logs each decision for a test run; null unless the settings enable it. */
  readonly #trace: Trace | null;
  readonly #openRequests = new Map<number, OpenRequest>();
  /** Attempts in flight, by request and number; some end after their request. */
  readonly #attempts = new Map<string, InFlightAttempt>();
  /** Response streams that are being forwarded, by request. */
  readonly #streams = new Map<number, Readable>();
  readonly #servers: { readonly server: InboundServer; readonly isForPeers: boolean }[] = [];
  /** The memory for requests that are read and answers that wait for their clients. */
  readonly #memoryBudget: MemoryBudget;
  #feed: FeedSnapshot | null = null;
  #nextRequestId = 1;
  /** The configured limits on clients that the servers currently enforce. */
  #appliedLimits: unknown = null;
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
    const memory = divideMemory(settings.proxy.memoryBytes);
    this.#memoryBudget = new MemoryBudget(memory.requestBytes);
    this.#trace =
      settings.proxy.trace === true ? (event, fields) => logger.info(event, fields) : null;
    this.task = Task.run<ProxyState, ProxyEvent, ProxyEffect>({
      initial: ProxyCore.open(
        {
          id: settings.name,
          zone: settings.zone,
          region: settings.region,
          capacityBps: settings.proxy.capacityBps,
          maxCacheBytes: memory.cacheBytes,
          life: randomUUID(),
        },
        now(),
      ),
      reduce: confineErrors(ProxyCore.reduce),
      perform: (effect) => this.#perform(effect),
    });
    this.#scheduleTick(idleProxyTickIntervalMs);
    this.#traceStoredResponses();
    this.task.put({ kind: 'feed-due', now: now() });
  }

  /** Number of requests whose responses are not completely written to the clients' connections. */
  inFlightCount(): number {
    const unanswered = this.#servers.reduce((sum, { server }) => sum + server.unanswered(), 0);
    return Math.max(this.#openRequests.size, unanswered);
  }

  /** Number of requests that were received since the start. */
  begunCount(): number {
    return this.#nextRequestId - 1;
  }

  /** Serves clients, or peers, on a port. */
  serve(isForPeers: boolean, port: number): Promise<http.Server> {
    const server = openInboundServer(this.#limitsFor(isForPeers), (request, response, turn) =>
      this.#handleRequest(request, response, turn, isForPeers),
    );
    this.#servers.push({ server, isForPeers });
    return this.#listen(server.server, port);
  }

  /** Serves only health checks on a port. */
  serveReady(port: number): Promise<http.Server> {
    const server = http.createServer((request, response) => {
      if (this.#answerHealthCheck(request, response)) return;
      writeRejection(response, null, {
        status: 404,
        title: 'No such place',
        detail: 'This port serves health checks only.',
      });
    });
    return this.#listen(server, port);
  }

  /** Reports to the reducer that the process must stop; the proxy is then no longer ready. */
  stop(): void {
    this.#isStopping = true;
    this.task.put({ kind: 'stop-requested', now: now() });
  }

  /** Stops its timers and closes idle connections, for a process that continues without the proxy. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#tickTimer);
    clearInterval(this.#traceTimer);
    this.#connections.closeIdleExcept(new Set());
  }

  async #listen(server: http.Server, port: number): Promise<http.Server> {
    const { listen: listeningHost, host } = this.#settings;
    await listen(
      server,
      { host: listeningHost ?? host, port },
      portWait(this.#dependencies.logger),
    );
    return server;
  }

  /** The limits of a server; peers add fields to a request head, so theirs may be larger. */
  #limitsFor(isForPeers: boolean): ClientLimits {
    const limits = ClientLimits.of(this.task.peek().policy?.document.callers);
    if (!isForPeers) return limits;
    return { ...ClientLimits.of(undefined), headBytes: limits.headBytes + peerHeadBytes };
  }

  /** Makes the servers follow the current configuration, also for existing connections. */
  #applyLimits(): void {
    const limits = this.task.peek().policy?.document.callers;
    if (limits === this.#appliedLimits) return;
    this.#appliedLimits = limits;
    for (const { server, isForPeers } of this.#servers)
      server.setLimits(this.#limitsFor(isForPeers));
  }

  #scheduleTick(delayMs: number): void {
    this.#tickTimer = setTimeout(() => {
      const isIdle =
        this.#openRequests.size === 0 && Object.keys(this.task.peek().requests).length === 0;
      this.task.put({ kind: 'tick', now: now() });
      this.#applyLimits();
      if (!this.#isClosed)
        this.#scheduleTick(isIdle ? idleProxyTickIntervalMs : proxyTickIntervalMs);
    }, delayMs);
  }

  #traceStoredResponses(): void {
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
        detail: 'A request needs a host and an absolute path without dot segments.',
      });
      return;
    }
    const id = this.#nextRequestId;
    this.#nextRequestId += 1;
    const maxBytes = this.#maxBodyBytes(host, target);
    const reservation = this.#memoryBudget.open(() => this.#evictRequest(request, response, turn));
    turn.onOver(reservation.release);
    const tooLarge = {
      status: 413,
      title: 'Body too large',
      detail: `This route takes bodies of up to ${maxBytes} bytes.`,
    };
    readRequestBody(request, {
      maxBytes,
      reservation,
      onEnd: (body) =>
        this.#startRequest(id, { request, response, turn, body, reservation }, isFromPeer),
      onRejected: (rejection) =>
        rejectUnread(response, turn, rejection === 'too-large' ? tooLarge : bodiesTooLarge),
    });
    request.on('error', () => response.destroy());
  }

  /** Ends a request whose client makes no progress, since others need its memory. */
  #evictRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    turn: RequestTurn,
  ): void {
    if (request.complete) {
      response.destroy();
      return;
    }
    discardBody(request);
    rejectUnread(response, turn, bodyTooSlow);
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
    const routeLimit = Routes.find(routes, host, target)?.limits.bodyBytes;
    return routeLimit ?? ClientLimits.of(policy?.document.callers).bodyBytes;
  }

  /** Starts a request that was read, unless its connection no longer starts requests. */
  #startRequest(id: number, received: ReceivedRequest, isFromPeer: boolean): void {
    const { request, response, turn, body } = received;
    const clientRequest = clientRequestOf(request, body, isFromPeer, this.#wireFormat);
    if (isFromPeer) {
      const peer = String(request.headers['reedyard-via'] ?? '');
      this.#trace?.('trace.relay', { from: peer, target: clientRequest.target });
    }
    if (!turn.begin(this.#onClientLeft(id))) return;
    const attemptField = request.headers['reedyard-attempt'];
    const attemptId = isFromPeer && typeof attemptField === 'string' ? attemptField : null;
    this.#openRequests.set(id, { ...received, clientRequest, attemptId });
    this.#startTickingIfFirst();
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
      detail: 'Too many events are queued on this node.',
    });
  }

  /**
   * A callback that refers to the request by its id only, because the connection keeps the callback
   * until the response is written.
   */
  #onClientLeft(id: number): () => void {
    return () => {
      this.#streams.get(id)?.destroy();
      this.task.put({ kind: 'client-left', requestId: id, now: now() });
    };
  }

  #startTickingIfFirst(): void {
    if (this.#openRequests.size !== 1) return;
    clearTimeout(this.#tickTimer);
    this.#scheduleTick(proxyTickIntervalMs);
  }

  // Effects of the reducer

  /** Performs an effect; an error in an effect of a request ends that request alone. */
  #perform(effect: ProxyEffect): void {
    try {
      this.#performEffect(effect);
    } catch (thrown) {
      if (!('requestId' in effect)) throw thrown;
      const { requestId: id, kind } = effect;
      const why = errorMessage(thrown);
      this.#dependencies.logger.error('request.error', { id, effect: kind, why });
      if (effect.kind === 'send-attempt')
        this.#onAttemptFailed(effect, new AttemptError('maybe', 'error', why, { cause: thrown }));
      if (effect.kind === 'send-answer') this.#replaceAnswer(effect);
    }
  }

  #performEffect(effect: ProxyEffect): void {
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
    // A retry of a request that is not idempotent uses a new connection, on which no response to the
    // first attempt can arrive.
    const conditions = { sendBy: effect.sendBy, fresh: !effect.isIdempotent && effect.attempt > 0 };
    const callbacks = {
      done: (answer: AttemptResponse) => this.#onAttemptResponse(effect, answer),
      fail: (error: AttemptError) => this.#onAttemptFailed(effect, error),
    };
    this.#trace?.('trace.attempt', { revision: this.#revision(), attempt: effect.attempt });
    if (effect.to.kind === 'peer') {
      const inFlight = this.#connections.sendToPeer(effect.to.row, outgoing, conditions, callbacks);
      this.#attempts.set(name, inFlight);
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
      this.#connections.sendToOrigin(origin, outgoing, attempt, conditions, callbacks),
    );
  }

  #onAttemptResponse(effect: EffectOf<'send-attempt'>, answer: AttemptResponse): void {
    const name = attemptName(effect);
    // An attempt whose response is still streamed can be aborted until the stream ends.
    if (answer.isComplete) this.#attempts.delete(name);
    else (answer.body as Readable).on('close', () => this.#attempts.delete(name));
    const { requestId, attempt } = effect;
    this.task.put({ kind: 'attempt-answered', requestId, attempt, answer, now: now() });
  }

  #onAttemptFailed(effect: EffectOf<'send-attempt'>, { sent, why }: AttemptError): void {
    this.#attempts.delete(attemptName(effect));
    const { requestId, attempt } = effect;
    this.task.put({ kind: 'attempt-failed', requestId, attempt, sent, why, now: now() });
  }

  #sendAnswer({ requestId, answer }: EffectOf<'send-answer'>): void {
    const open = this.#openRequests.get(requestId);
    if (answer.body.kind === 'copy') this.#trace?.('trace.copy', { revision: this.#revision() });
    if (open !== undefined) this.#writeResponse(requestId, open, answer);
    this.#openRequests.delete(requestId);
  }

  #writeResponse(id: number, open: OpenRequest, answer: ClientResponse): void {
    const { response, clientRequest, turn, attemptId } = open;
    const closesConnection = turn.startResponse(
      this.#isStopping || answer.headers.connection === 'close',
    );
    const hopFields = {
      via: this.#name.via,
      ...(attemptId === null ? {} : { 'reedyard-attempt': attemptId }),
      ...(closesConnection ? { connection: 'close' } : {}),
    };
    const wireFormat = this.#wireFormat;
    const stream = writeClientResponse({ response, clientRequest, wireFormat, hopFields }, answer);
    if (stream === null) {
      this.#holdAnswer(open, answer);
      return;
    }
    this.#streams.set(id, stream);
    const remainingMs = Math.max(0, (answer.endBy ?? Infinity) - now());
    const timer = Number.isFinite(remainingMs)
      ? setTimeout(() => stream.destroy(new Error('the deadline of its request')), remainingMs)
      : undefined;
    stream.on('close', () => {
      clearTimeout(timer);
      this.#streams.delete(id);
    });
  }

  /** Ends a response that could not be written, along with the stream that it is forwarded from. */
  #replaceAnswer({ requestId, answer: { body } }: EffectOf<'send-answer'>): void {
    if (body.kind === 'attempt' && !body.answer.isComplete)
      (body.answer.body as Readable).destroy();
    const open = this.#openRequests.get(requestId);
    this.#openRequests.delete(requestId);
    if (open !== undefined) writeUnknownOutcome(open.response);
  }

  /** Counts a large answer until its client has taken it. */
  #holdAnswer({ response, reservation }: OpenRequest, { body }: ClientResponse): void {
    if (body.kind === 'problem' || response.writableFinished || response.destroyed) return;
    const sizeBytes = body.kind === 'copy' ? body.copy.sizeBytes : body.answer.size;
    if (sizeBytes < minCountedAnswerBytes) return;
    reservation.waitsForClient(true);
    reservation.take(sizeBytes);
  }

  /** Sends a query to the agent; the reducer waits only for the reply to a claim. */
  #queryAgent({ requestId, query }: EffectOf<'query-agent'>): void {
    const onReply = (reply: ClaimReply): void => {
      if (query.kind !== 'claim') return;
      this.task.put({ kind: 'claim-answered', requestId, reply, now: now() });
    };
    this.#dependencies.queryAgent(query, proposalTimeoutMs + callTimeoutMs).then(
      (reply) => onReply(reply as ClaimReply),
      () => onReply({ kind: 'unreached' }),
    );
  }

  #requestFeed({ report }: EffectOf<'request-feed'>): void {
    const askedAt = now();
    const held = Feeds.heldParts(this.#feed);
    this.#dependencies
      .queryAgent({ kind: 'feed', report, held })
      .then(
        (reply) => this.#onFeedReceived(reply as FeedReply, askedAt),
        () => undefined,
      )
      .catch((thrown: unknown) => {
        // The reply is of an unforeseen form; the feed is still the one before it.
        this.#dependencies.logger.error('message.error', {
          event: 'feed-received',
          why: errorMessage(thrown),
        });
      })
      .finally(() => this.#scheduleFeed());
  }

  #onFeedReceived(reply: FeedReply, askedAt: number): void {
    const snapshot = Feeds.merge(this.#feed, reply);
    const { feed } = snapshot;
    const keys = [...feed.origins.map(originIdOf), ...feed.peers.map(peerKeyOf)];
    this.#feed = snapshot;
    this.task.put({ kind: 'feed-received', feed, askedAt, now: now() });
    this.#connections.closeIdleExcept(new Set(keys));
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
 * Opens a proxy; its `serve` opens the servers for clients and peers.
 *
 * @example
 * const proxy = openProxy(settings, reedyardWireFormat, { logger, queryAgent: (query) => call('127.0.0.1:7002', '/feed', query) });
 */
export const openProxy = (
  settings: ProxySettings,
  wireFormat: WireFormat,
  dependencies: ProxyDependencies,
): ProxyHost => new ProxyHost(settings, wireFormat, dependencies);
