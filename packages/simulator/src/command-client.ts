/**
 * A simulated operator client that sends one command until it is acknowledged. After a second without
 * a response, or after a 5xx, it retries the command unchanged at another node with an increasing
 * backoff, as operators do.
 */
import type { ApiAction } from '@reedyard/agent';
import type { SimulatedFleet } from './simulated-fleet.js';

/** How long the client waits for a response from a node, in milliseconds. */
const responseTimeoutMs = 1_000;
/**
 * The first pause before another node is tried, in milliseconds. Each further pause is twice as long,
 * up to `maxBackoffMs`.
 */
const initialBackoffMs = 50;
const maxBackoffMs = 800;

/** How a command ended for its client. */
export type CommandOutcome = {
  readonly kind: 'acknowledged' | 'refused' | 'given-up';
  readonly status: number;
  readonly body: unknown;
  /** Virtual time since the command was first sent, in milliseconds. */
  readonly ms: number;
  readonly attempts: number;
};

/** A command, and how its client sends it. */
export type CommandOptions = {
  /** The node that receives the first attempt; any running node if undefined. */
  readonly firstNode?: string;
  /** How long after its first attempt the client retries the command, in milliseconds. */
  readonly giveUpAfterMs: number;
  /** The action of each attempt: a retry may carry a new change id. */
  readonly action: (attempt: number) => ApiAction;
  /** Whether the reply to this attempt is lost in the network; never if undefined. */
  readonly isReplyLost?: (attempt: number) => boolean;
};

const isRefusal = (status: number): boolean => status >= 400 && status < 500;

/**
 * Sends a command until it is acknowledged, refused, or `giveUpAfterMs` have passed.
 *
 * @example
 * sendCommand(fleet, { giveUpAfterMs: 4_000, action: () => ({ kind: 'get-policy' }) }, (outcome) => outcome.ms);
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
