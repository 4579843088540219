/**
 * One attempt over one connection: sends the request, reads its response, and reports both to the
 * connection's reducer (connection.ts), whose effects it performs. Neither Node's HTTP client nor
 * this module sends a request again.
 */
import http from 'node:http';
import type net from 'node:net';
import { performance } from 'node:perf_hooks';
import type { SendProgress } from '@reedyard/attempts';
import { CodedError, errorMessage } from '@reedyard/logging';
import type { RequestBody } from '@reedyard/rpc';
import { idleCloseMarginMs, idleConnectionMs } from './connection-timing.js';
import {
  type MatchEvidence,
  type Connection,
  type ConnectionEffect,
  type ConnectionEvent,
  Connections,
} from './connection.js';
import type { OriginEvidence } from './wire-format.js';
import { isLengthKnown, readResponse, type ReadResponse } from './response-reader.js';
import type { AttemptResponse } from './state.js';

/** An attempt without a usable response. */
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
  readonly body: RequestBody;
  /** Whether the request may be executed more than once. */
  readonly safe: boolean;
};

/** An attempt in flight that can be aborted. */
export type InFlightAttempt = { readonly abort: () => void };

/** How an attempt ends: one of the two is called, once, and never before the send method returns. */
export type AttemptCallbacks = {
  readonly done: (response: AttemptResponse) => void;
  readonly fail: (error: AttemptError) => void;
};

/** What the status and the header fields of a response show. */
export type ResponseAssessment = {
  readonly evidence: MatchEvidence;
  readonly originEvidence?: OriginEvidence;
  /** Whether the response may have no length and end with its connection. */
  readonly mayBeUnbounded: boolean;
};

/** A socket, the state of its connection, and an HTTP agent that uses no other socket. */
export class OpenConnection {
  state: Connection;
  /** Bytes read when the last response ended; any further bytes are surplus. */
  bytesReadAtRest: number;
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  #isSocketTaken = false;

  constructor(readonly socket: net.Socket) {
    this.state = Connections.opened(performance.now());
    this.bytesReadAtRest = socket.bytesRead;
    const override = { createConnection: (): net.Socket => this.#takeSocket() };
    Object.assign(this.agent, override);
  }

  /** Whether the connection is open and has no unread or surplus bytes. */
  get isQuiet(): boolean {
    const { bytesRead, readable, readableLength, writable } = this.socket;
    const isOpen = readable && writable;
    return isOpen && bytesRead === this.bytesReadAtRest && readableLength === 0;
  }

  reduce(event: ConnectionEvent): readonly ConnectionEffect[] {
    const step = Connections.reduce(this.state, event);
    this.state = step.state;
    return step.effects;
  }

  /**
   * Gives the agent this socket once, and never another one, so that Node can't send a request again
   * over a new connection.
   */
  #takeSocket(): net.Socket {
    if (this.#isSocketTaken) throw new Error('this connection is closed');
    this.#isSocketTaken = true;
    return this.socket;
  }
}

const announcedKeepAliveMs = (headers: http.IncomingHttpHeaders): number => {
  const announcedSeconds = /timeout=(\d+)/i.exec(String(headers['keep-alive'] ?? ''))?.[1];
  if (announcedSeconds === undefined) return idleConnectionMs;
  const usableMs = Number(announcedSeconds) * 1_000 - idleCloseMarginMs;
  return Math.min(idleConnectionMs, Math.max(0, usableMs));
};

/**
 * How long the other end keeps a connection idle, less a margin for a message in transit, in
 * milliseconds; null if it closes the connection.
 */
const keepAliveMsOf = (headers: http.IncomingHttpHeaders): number | null =>
  /\bclose\b/i.test(headers.connection ?? '') ? null : announcedKeepAliveMs(headers);

/** The connection, request and callbacks of one attempt. */
export type ExchangeOptions = AttemptCallbacks & {
  readonly connection: OpenConnection;
  readonly outgoing: OutgoingRequest;
  readonly attempt: number;
  readonly assessResponse: (response: http.IncomingMessage) => ResponseAssessment;
  /** Called when the connection may carry another attempt. */
  readonly rest: () => void;
};

/** One attempt over a connection that was assigned to it. */
export class Exchange {
  #readyResponse: AttemptResponse | null = null;
  #request: http.ClientRequest | null = null;
  #response: http.IncomingMessage | null = null;
  #assessment: ResponseAssessment | null = null;
  #failure: { readonly message: string; readonly cause?: unknown } = {
    message: 'the attempt was aborted',
  };
  /** Whether surplus bytes arrived together with the end of the response. */
  #surplus = false;

  constructor(private readonly options: ExchangeOptions) {}

  start(): void {
    const { connection, outgoing } = this.options;
    let request: http.ClientRequest;
    try {
      const { agent } = connection;
      const { method, path, headers } = outgoing;
      request = http.request({ agent, method, path, headers, setHost: false });
    } catch (thrown) {
      this.#reportLoss('connect', thrown);
      return;
    }
    const { attempt } = this.options;
    this.#request = request;
    request.on('response', (response) => this.#handleResponse(response));
    request.on('error', (error) => this.#handleRequestError(error));
    request.on('close', () => this.#handleRequestClose());
    this.#dispatch({ kind: 'handing', attempt });
    try {
      const { parts } = outgoing.body;
      for (const part of parts.slice(0, -1)) request.write(part);
      request.end(parts.at(-1));
    } catch (thrown) {
      this.#reportLoss('cut', thrown);
    }
  }

  abort(): void {
    this.#dispatch({ kind: 'abort', attempt: this.options.attempt });
  }

  #handleResponse(response: http.IncomingMessage): void {
    this.#response = response;
    const assessment = this.#assess(response);
    if (assessment === null) return;
    this.#assessment = assessment;
    const { attempt, outgoing } = this.options;
    const { evidence, mayBeUnbounded } = assessment;
    const isBounded = isLengthKnown(outgoing.method, response);
    const keepAliveMs = isBounded ? keepAliveMsOf(response.headers) : null;
    if (!isBounded) this.#reportReset();
    this.#dispatch({ kind: 'answer-head', attempt, keepAliveMs, evidence });
    readResponse(outgoing.method, response, mayBeUnbounded, {
      ready: (readResult) => this.#handleReady(response, readResult),
      unusable: (why, message, cause) => {
        this.#failure = { message, cause };
        this.#dispatch({ kind: 'answer-unusable', attempt, why });
      },
    });
  }

  /**
   * Reports a reset that ends a response without a length. Node reports a reset that arrives together
   * with data as an orderly end, but a socket that was reset has no peer any more. This runs before
   * Node's own handler, which would complete the response.
   */
  #reportReset(): void {
    const { socket } = this.options.connection;
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined)
        this.#reportLoss('cut', new Error('the connection was reset'));
    });
  }

  /** Assesses a response head; null, with the attempt ended, if the wire format can't read it. */
  #assess(response: http.IncomingMessage): ResponseAssessment | null {
    const { attempt, assessResponse } = this.options;
    try {
      return assessResponse(response);
    } catch (thrown) {
      response.on('error', () => undefined);
      this.#failure = { message: errorMessage(thrown), cause: thrown };
      this.#dispatch({ kind: 'answer-unusable', attempt, why: 'unreadable' });
      return null;
    }
  }

  #handleReady(response: http.IncomingMessage, readResult: ReadResponse): void {
    const originEvidence = this.#assessment?.originEvidence;
    this.#readyResponse = {
      ...readResult,
      ...(originEvidence === undefined ? {} : { originEvidence }),
    };
    if (readResult.isComplete) {
      this.#handleEnd('answer-ready');
      return;
    }
    response.once('end', () => this.#handleEnd('answer-ended'));
    const { attempt } = this.options;
    this.#dispatch({ kind: 'answer-ready', attempt, isComplete: false, now: performance.now() });
  }

  #handleEnd(kind: 'answer-ready' | 'answer-ended'): void {
    const { attempt, connection } = this.options;
    connection.bytesReadAtRest = connection.socket.bytesRead;
    if (this.#request?.writableFinished === true) this.#dispatch({ kind: 'written', attempt });
    this.#dispatch({ kind, attempt, isComplete: true, now: performance.now() });
    if (this.#surplus) this.#dispatch({ kind: 'surplus' });
  }

  #handleRequestError(error: Error): void {
    // The response is complete, but its last part was not emitted yet: further bytes are surplus.
    if (this.#response?.complete === true) {
      this.#surplus = true;
      return;
    }
    this.#reportLoss('cut', error);
  }

  /** Also handles an other end that switched protocols, which emits neither response nor error. */
  #handleRequestClose(): void {
    if (this.#response?.complete !== true)
      this.#reportLoss('cut', new Error('the connection closed without a complete response'));
  }

  #reportLoss(why: string, cause: unknown): void {
    this.#failure = { message: errorMessage(cause), cause };
    this.#dispatch({ kind: 'lost', attempt: this.options.attempt, why });
  }

  #dispatch(event: ConnectionEvent): void {
    for (const effect of this.options.connection.reduce(event)) this.#perform(effect);
  }

  #perform(effect: ConnectionEffect): void {
    const { connection, done, fail, rest } = this.options;
    switch (effect.kind) {
      case 'deliver':
        if (this.#readyResponse !== null)
          done(this.#withMismatch(this.#readyResponse, effect.mismatch));
        return;
      case 'fail':
        fail(new AttemptError(effect.sent, effect.why, this.#failure.message, this.#failure));
        return;
      case 'cut':
        this.#response?.destroy(new Error('the response was cut short'));
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

  /** Adds the connection's mismatch to the evidence of the response's own fields. */
  #withMismatch(response: AttemptResponse, mismatch: string | null): AttemptResponse {
    const { originEvidence } = response;
    return originEvidence === undefined || mismatch === null
      ? response
      : { ...response, originEvidence: { ...originEvidence, mismatch } };
  }
}
