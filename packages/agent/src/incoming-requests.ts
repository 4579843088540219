/** Requests that were passed to the reducer and wait for its reply. */

import { CodedError } from '@reedyard/logging';
import type { AgentEvent } from './messages.js';

/** The client closed its connection before its request was passed to the reducer. */
export class ClientDisconnectedError extends CodedError {
  constructor() {
    super('caller-disconnected', 'the client disconnected before its request was accepted');
  }
}

/** The reducer's queue of events is full. */
export class OverloadedError extends CodedError {
  constructor() {
    super('overloaded', 'too many events wait for the reducer');
  }
}

/** The reducer could not handle the request. */
export class UnhandledRequestError extends CodedError {
  constructor(why: string) {
    super('unhandled', `the request could not be handled: ${why}`);
  }
}

type PendingRequest = {
  readonly resolve: (reply: unknown) => void;
  readonly reject: (error: CodedError) => void;
};

/** The functions of the agent's process that incoming requests use. */
export type IncomingRequestsOptions = {
  /** Enqueues an event for the reducer; false when the queue is full. */
  readonly put: (event: AgentEvent) => boolean;
  /** The time of the process's monotonic clock, in milliseconds. */
  readonly now: () => number;
};

/** Assigns an id to each request, and resolves its promise with the reply that carries the id. */
export class IncomingRequests {
  readonly #options: IncomingRequestsOptions;
  readonly #pending = new Map<number, PendingRequest>();
  #nextRequestId = 1;

  constructor(options: IncomingRequestsOptions) {
    this.#options = options;
  }

  /**
   * Passes a request to the reducer, and resolves with its reply. When the client disconnects, the
   * reducer is notified and the promise never settles.
   *
   * @throws ClientDisconnectedError, OverloadedError
   */
  submit<Reply>(toEvent: (requestId: number) => AgentEvent, signal?: AbortSignal): Promise<Reply> {
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    signal?.addEventListener('abort', () => this.#disconnect(requestId), { once: true });
    return new Promise((resolve, reject) => {
      if (signal?.aborted === true) {
        reject(new ClientDisconnectedError());
        return;
      }
      this.#pending.set(requestId, { resolve: resolve as (reply: unknown) => void, reject });
      if (this.#options.put(toEvent(requestId))) return;
      this.#pending.delete(requestId);
      reject(new OverloadedError());
    });
  }

  /** Resolves a request with its reply, unless its client has disconnected. */
  reply(requestId: number, reply: unknown): void {
    this.#pending.get(requestId)?.resolve(reply);
    this.#pending.delete(requestId);
  }

  /** Rejects a request that could not be handled, unless its client has disconnected. */
  fail(requestId: number, why: string): void {
    this.#pending.get(requestId)?.reject(new UnhandledRequestError(why));
    this.#pending.delete(requestId);
  }

  #disconnect(requestId: number): void {
    if (!this.#pending.delete(requestId)) return;
    this.#options.put({ kind: 'caller-disconnected', requestId, now: this.#options.now() });
  }
}
