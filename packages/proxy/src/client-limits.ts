/**
 * How much a caller may send and how long it may take, from the configuration in force. A config
 * that leaves a bound out gets a default which turns no ordinary caller away.
 */
import { maxRequestHeadBytes, requestHeadTimeoutMs } from '@reedyard/agent';
import type { Policy } from '@reedyard/schemas';

/** bytes. A caller's body, when its route sets no limit. */
const defaultMaxBodyBytes = 1024 * 1024;

/** Bounds on what one caller sends over one connection. */
export type ClientLimits = {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** ms from the first byte of a head to its last. */
  readonly headMs: number;
  /** ms that a connection without a request may rest. */
  readonly idleMs: number;
};

/** ms. Rest of a caller's connection where the config says nothing. */
const defaultIdleMs = 30_000;
/**
 * ms. A connection is kept this much longer than was told: a request may be on its way by then.
 * Under a second, since Node tells the whole seconds of what it keeps.
 */
const idleMarginMs = 900;
/** ms. A whole request with its body must have been read by then. */
const minRequestTimeoutMs = 60_000;

/** Bounds on callers, and what a server does to keep them. */
export const ClientLimits = {
  /** @example CallerBounds.of({ idleMs: 15_000 }).idleMs // 15000 */
  of: (callers: Policy['callers']): ClientLimits => ({
    headBytes: callers?.headBytes ?? maxRequestHeadBytes,
    bodyBytes: callers?.bodyBytes ?? defaultMaxBodyBytes,
    headMs: callers?.headMs ?? requestHeadTimeoutMs,
    idleMs: callers?.idleMs ?? defaultIdleMs,
  }),

  /** Seconds told in `Keep-Alive`: whole ones, never less than the bound. */
  keepAliveSeconds: ({ idleMs }: ClientLimits): number => Math.ceil(idleMs / 1_000),

  /** ms that a resting connection is kept: what was told, and a margin. */
  keepAliveTimeoutMs: (bounds: ClientLimits): number =>
    ClientLimits.keepAliveSeconds(bounds) * 1_000 + idleMarginMs,

  /** ms from the first byte of a request to the last of its body. */
  requestMs: ({ headMs }: ClientLimits): number => Math.max(minRequestTimeoutMs, 2 * headMs),
} as const;
