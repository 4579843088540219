/**
 * One attempt over one connection: sends the request, reads its answer, and reports both to the
 * connection's reducer (connection.ts), whose effects it performs. Node's HTTP client repeats
 * nothing by itself; nor does this.
 */
import http from 'node:http';
import type net from 'node:net';
import { performance } from 'node:perf_hooks';
import type { SendProgress } from '@reedyard/attempts';
import { CodedError, errorMessage } from '@reedyard/logging';
import { idleCloseMarginMs, idleConnectionMs } from './connection-timing.js';
import {
  type MatchEvidence,
  type Connection,
  type ConnectionEffect,
  type ConnectionEvent,
  Connections,
} from './connection.js';
import type { OriginEvidence } from './wire-format.js';
import { readResponse, type ReadResponse } from './response-reader.js';
import type { AttemptResponse } from './state.js';

/** An attempt that brought no sound answer. */
export class AttemptError extends CodedError {
  constructor(
    readonly sent: SendProgress,
    readonly why: string,
    message: string,
    options?: { readonly cause?: unknown },
  ) {
    super(why, message, options);
  }
}

/** A request as it is sent to an origin or a peer. */
export type OutgoingRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
  /** Whether it may be run again. */
  readonly safe: boolean;
};

/** An attempt under way, and how to break it off. */
export type InFlightAttempt = { readonly abort: () => void };

/** How an attempt ends: one of the two is called, once, and never before `send` has returned. */
export type AttemptCallbacks = {
  readonly done: (answer: AttemptResponse) => void;
  readonly fail: (error: AttemptError) => void;
};

/** What an answer's status and fields show. */
export type ResponseJudgement = {
  readonly evidence: MatchEvidence;
  readonly proof?: OriginEvidence;
};

/** A socket, the state of its connection, and the agent that sends over it alone. */
export class OpenConnection {
  state: Connection;
  /** Bytes read when the last answer ended; more of them are surplus. */
  bytesReadAtRest: number;
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  #given = false;

  constructor(readonly socket: net.Socket) {
    this.state = Connections.opened(performance.now());
    this.bytesReadAtRest = socket.bytesRead;
    const once = { createConnection: (): net.Socket => this.#give() };
    Object.assign(this.agent, once);
  }

  /** Whether it may be handed an attempt without waiting. */
  get isQuiet(): boolean {
    const { bytesRead, readable, readableLength, writable } = this.socket;
    const open = readable && writable;
    return open && bytesRead === this.bytesReadAtRest && readableLength === 0;
  }

  reduce(event: ConnectionEvent): readonly ConnectionEffect[] {
    const step = Connections.reduce(this.state, event);
    this.state = step.state;
    return step.effects;
  }

  /** The agent gets this socket and never another one: nothing is sent again behind our back. */
  #give(): net.Socket {
    if (this.#given) throw new Error('this connection is closed');
    this.#given = true;
    return this.socket;
  }
}

const parsedRestMs = (headers: http.IncomingHttpHeaders): number => {
  const told = /timeout=(\d+)/i.exec(String(headers['keep-alive'] ?? ''))?.[1];
  if (told === undefined) return idleConnectionMs;
  const kept = Number(told) * 1_000 - idleCloseMarginMs;
  return Math.min(idleConnectionMs, Math.max(0, kept));
};

/** ms that the other end lets a connection rest, less what a message may take; null: it closes. */
const restOf = (headers: http.IncomingHttpHeaders): number | null =>
  /\bclose\b/i.test(headers.connection ?? '') ? null : parsedRestMs(headers);

/** What one attempt needs of its surroundings. */
export type ExchangeOptions = AttemptCallbacks & {
  readonly connection: OpenConnection;
  readonly out: OutgoingRequest;
  readonly attempt: number;
  readonly judge: (response: http.IncomingMessage) => ResponseJudgement;
  /** The connection may carry another attempt. */
  readonly rest: () => void;
};

/** One attempt over a connection that was assigned to it. */
export class Exchange {
  #ready: AttemptResponse | null = null;
  #request: http.ClientRequest | null = null;
  #response: http.IncomingMessage | null = null;
  #judgement: ResponseJudgement | null = null;
  #failure: { readonly message: string; readonly cause?: unknown } = { message: 'broken off' };
  /** Bytes behind the answer that came with its last ones. */
  #surplus = false;

  constructor(private readonly parts: ExchangeOptions) {}

  start(): void {
    const { connection, out } = this.parts;
    let request: http.ClientRequest;
    try {
      const { agent } = connection;
      const { method, path, headers } = out;
      request = http.request({ agent, method, path, headers, setHost: false });
    } catch (thrown) {
      this.#lose('connect', thrown);
      return;
    }
    const { attempt } = this.parts;
    this.#request = request;
    request.on('response', (response) => this.#answer(response));
    request.on('error', (error) => this.#requestFailed(error));
    request.on('close', () => this.#requestClosed());
    this.#dispatch({ kind: 'handing', attempt });
    try {
      request.end(out.body);
    } catch (thrown) {
      this.#lose('cut', thrown);
    }
  }

  abort(): void {
    this.#dispatch({ kind: 'abort', attempt: this.parts.attempt });
  }

  #answer(response: http.IncomingMessage): void {
    this.#response = response;
    this.#judgement = this.parts.judge(response);
    const restMs = restOf(response.headers);
    const { attempt, out } = this.parts;
    const { evidence } = this.#judgement;
    this.#dispatch({ kind: 'answer-head', attempt, restMs, evidence });
    readResponse(out.method, response, {
      ready: (answer) => this.#readyAnswer(response, answer),
      unusable: (why, message, cause) => {
        this.#failure = { message, cause };
        this.#dispatch({ kind: 'answer-unusable', attempt, why });
      },
    });
  }

  #readyAnswer(response: http.IncomingMessage, answer: ReadResponse): void {
    const proof = this.#judgement?.proof;
    this.#ready = { ...answer, ...(proof === undefined ? {} : { originEvidence: proof }) };
    if (answer.isComplete) {
      this.#ended('answer-ready');
      return;
    }
    response.once('end', () => this.#ended('answer-ended'));
    const { attempt } = this.parts;
    this.#dispatch({ kind: 'answer-ready', attempt, whole: false, now: performance.now() });
  }

  #ended(kind: 'answer-ready' | 'answer-ended'): void {
    const { attempt, connection } = this.parts;
    connection.bytesReadAtRest = connection.socket.bytesRead;
    if (this.#request?.writableFinished === true) this.#dispatch({ kind: 'written', attempt });
    this.#dispatch({ kind, attempt, whole: true, now: performance.now() });
    if (this.#surplus) this.#dispatch({ kind: 'surplus' });
  }

  #requestFailed(error: Error): void {
    // The answer is whole though its last part was not handed up yet: the rest is surplus.
    if (this.#response?.complete === true) {
      this.#surplus = true;
      return;
    }
    this.#lose('cut', error);
  }

  /** Comes also where the other end switched protocols, which brings neither answer nor error. */
  #requestClosed(): void {
    if (this.#response?.complete !== true) this.#lose('cut', new Error('closed without answer'));
  }

  #lose(why: string, cause: unknown): void {
    this.#failure = { message: errorMessage(cause), cause };
    this.#dispatch({ kind: 'lost', attempt: this.parts.attempt, why });
  }

  #dispatch(event: ConnectionEvent): void {
    for (const effect of this.parts.connection.reduce(event)) this.#perform(effect);
  }

  #perform(effect: ConnectionEffect): void {
    const { connection, done, fail, rest } = this.parts;
    switch (effect.kind) {
      case 'deliver':
        if (this.#ready !== null) done(this.#withUnsound(this.#ready, effect.unsound));
        return;
      case 'fail':
        fail(new AttemptError(effect.sent, effect.why, this.#failure.message, this.#failure));
        return;
      case 'cut':
        this.#response?.destroy(new Error('the answer was cut short'));
        return;
      case 'rest':
        rest();
        return;
      case 'destroy':
        connection.socket.destroy();
        return;
      case 'send':
      case 'unfit':
        return;
    }
  }

  /** What the connection knows against an answer goes with what its fields prove. */
  #withUnsound(answer: AttemptResponse, unsound: string | null): AttemptResponse {
    const { originEvidence: proof } = answer;
    return proof === undefined || unsound === null
      ? answer
      : { ...answer, originEvidence: { ...proof, mismatch: unsound } };
  }
}
