/** Callers whose requests were handed to the reducer and wait for its reply. */

import { CodedError } from '@reedyard/logging';
import type { AgentEvent } from './messages.js';

/** The caller closed its connection before its request was handed to the reducer. */
export class ClientDisconnectedError extends CodedError {
  constructor() {
    super('caller-disconnected', 'the caller is gone');
  }
}

/** Too many events wait for the reducer. */
export class OverloadedError extends CodedError {
  constructor() {
    super('overloaded', 'too busy');
  }
}

/** What the waiting callers need of the reducer's process. */
export type IncomingRequestsOptions = {
  /** Hands an event to the reducer; false where it takes no more. */
  readonly put: (event: AgentEvent) => boolean;
  /** ms of the process's monotonic clock. */
  readonly now: () => number;
};

/** Gives each request an id, and its caller the reply that comes under it. */
export class IncomingRequests {
  readonly #parts: IncomingRequestsOptions;
  readonly #resolvers = new Map<number, (reply: unknown) => void>();
  #nextRequestId = 1;

  constructor(parts: IncomingRequestsOptions) {
    this.#parts = parts;
  }

  /**
   * Hands a request to the reducer, and resolves with its reply. A caller that disconnects is told
   * to the reducer, and gets no reply.
   *
   * @throws CallerDisconnectedError, OverloadedError
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
      this.#resolvers.set(requestId, resolve as (reply: unknown) => void);
      if (this.#parts.put(toEvent(requestId))) return;
      this.#resolvers.delete(requestId);
      reject(new OverloadedError());
    });
  }

  /** Replies to the caller of a request, if it still waits. */
  reply(requestId: number, reply: unknown): void {
    this.#resolvers.get(requestId)?.(reply);
    this.#resolvers.delete(requestId);
  }

  #disconnect(requestId: number): void {
    if (!this.#resolvers.delete(requestId)) return;
    this.#parts.put({ kind: 'caller-disconnected', requestId, now: this.#parts.now() });
  }
}
