/**
 * Limits on what a client may send and how long it may take, from the configuration in force. A
 * limit that the configuration omits has a default that rejects no ordinary client.
 */
import { maxRequestHeadBytes, requestHeadTimeoutMs } from '@reedyard/agent';
import type { Policy } from '@reedyard/schemas';

/** Maximum size of a request body, in bytes, when its route sets no limit. */
const defaultMaxBodyBytes = 1024 * 1024;

/** Limits on one client connection. */
export type ClientLimits = {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** Maximum time between the first and the last byte of a request head, in milliseconds. */
  readonly headMs: number;
  /** How long a connection without a request stays open, in milliseconds. */
  readonly idleMs: number;
};

/** Idle timeout of a client connection when the configuration sets none, in milliseconds. */
const defaultIdleMs = 30_000;
/**
 * How much longer than announced an idle connection stays open, in milliseconds: the client may
 * have sent a request just before the announced time. It is below one second because Node announces
 * its keep-alive timeout in whole seconds, rounded down.
 */
const idleMarginMs = 900;
/** Minimum time to receive a complete request with its body, in milliseconds. */
const minRequestTimeoutMs = 60_000;

/** Derives the limits on clients and the timeouts that enforce them. */
export const ClientLimits = {
  /** @example ClientLimits.of({ idleMs: 15_000 }).idleMs // 15000 */
  of: (limits: Policy['callers']): ClientLimits => ({
    headBytes: limits?.headBytes ?? maxRequestHeadBytes,
    bodyBytes: limits?.bodyBytes ?? defaultMaxBodyBytes,
    headMs: limits?.headMs ?? requestHeadTimeoutMs,
    idleMs: limits?.idleMs ?? defaultIdleMs,
  }),

  /** The idle timeout that `Keep-Alive` announces, in seconds: the limit, rounded up. */
  keepAliveSeconds: ({ idleMs }: ClientLimits): number => Math.ceil(idleMs / 1_000),

  /** How long an idle connection stays open: the announced time plus a margin. */
  keepAliveTimeoutMs: (limits: ClientLimits): number =>
    ClientLimits.keepAliveSeconds(limits) * 1_000 + idleMarginMs,

  /** Maximum time between the first byte of a request and the last byte of its body. */
  requestMs: ({ headMs }: ClientLimits): number => Math.max(minRequestTimeoutMs, 2 * headMs),
} as const;
