/**
 * A control client of the simulator: it sends one order until it is acknowledged. After a second of
 * silence or a 5xx it goes on to another node, with a pause that grows, and repeats the order
 * unchanged, as operators do.
 */
import type { ApiAction } from '@reedyard/agent';
import type { SimulatedFleet } from './simulated-fleet.js';

/** ms without an answer after which the client gives a node up. */
const responseTimeoutMs = 1_000;
/**
 * ms of the first pause before another node is tried; each further one is twice as long, up to the
 * longest.
 */
const initialBackoffMs = 50;
const maxBackoffMs = 800;

/** How an order ended for its client. */
export type CommandOutcome = {
  readonly kind: 'acknowledged' | 'refused' | 'given-up';
  readonly status: number;
  readonly body: unknown;
  /** ms of virtual time from the first sending. */
  readonly ms: number;
  readonly attempts: number;
};

export type CommandOptions = {
  /** The node that gets the first attempt; left out, any that is up. */
  readonly firstNode?: string;
  /** ms after which the client no longer repeats the order. */
  readonly giveUpAfterMs: number;
  /** The action of each attempt: a repeat without a shared identity gets a new change id. */
  readonly action: (attempt: number) => ApiAction;
  /** Whether the answer to this attempt is lost on its way; left out: never. */
  readonly isReplyLost?: (attempt: number) => boolean;
};

const isRefusal = (status: number): boolean => status >= 400 && status < 500;

/**
 * Sends an order until it is acknowledged, refused, or the client's patience is over.
 *
 * @example
 * sendOrder(fleet, { patienceMs: 4_000, action: () => ({ kind: 'get-policy' }) }, (outcome) => outcome.ms);
 */
export const sendCommand = (
  fleet: SimulatedFleet,
  options: CommandOptions,
  done: (outcome: CommandOutcome) => void,
): void => {
  const sentAt = fleet.clock.now();
  const attempt = (attemptNumber: number, pauseMs: number): void => {
    let isSettled = false;
    const finish = (kind: CommandOutcome['kind'], status: number, body: unknown): void => {
      done({ kind, status, body, ms: fleet.clock.now() - sentAt, attempts: attemptNumber });
    };
    const retry = (): void => {
      if (fleet.clock.now() + pauseMs - sentAt > options.giveUpAfterMs) {
        finish('given-up', 0, null);
        return;
      }
      fleet.clock.schedule(pauseMs, () =>
        attempt(attemptNumber + 1, Math.min(maxBackoffMs, 2 * pauseMs)),
      );
    };
    const isLost = options.isReplyLost?.(attemptNumber) === true;
    const disconnect = fleet.operate(
      options.action(attemptNumber),
      (reply) => {
        if (isSettled || isLost || reply.status === 0) return;
        isSettled = true;
        if (reply.status === 200) finish('acknowledged', reply.status, reply.body);
        else if (isRefusal(reply.status)) finish('refused', reply.status, reply.body);
        else retry();
      },
      'outside',
      attemptNumber === 1 ? options.firstNode : undefined,
    );
    fleet.clock.schedule(responseTimeoutMs, () => {
      if (isSettled) return;
      isSettled = true;
      disconnect();
      retry();
    });
  };
  attempt(1, initialBackoffMs);
};
