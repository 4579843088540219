/**
 * The header fields that proxies exchange with clients and origins: their names and their meaning.
 */
import type { OriginEndpoint } from '@reedyard/agent';
import type { Headers } from '@reedyard/cache';

/**
 * The load that an origin reports with a response: requests in progress, requests that wait, and
 * how many it processes concurrently.
 */
export type OriginLoad = {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
};

/** What the fields of an origin's response prove, as far as the handling of the attempt needs it. */
export type OriginEvidence = {
  /** Why the response can't belong to this attempt; null if it does. */
  readonly mismatch: string | null;
  /** Whether the response states that the origin did not execute the request. */
  readonly notRun: boolean;
  /** Whether another origin than the intended one has the address, so that nothing was executed. */
  readonly isMisdirected: boolean;
  readonly load: OriginLoad | null;
  /** Remaining slow start that the origin reports, in milliseconds; null without a report. */
  readonly coldMs: number | null;
  /** Whether no request id is echoed: only its connection ties the response to the attempt. */
  readonly anonymous?: boolean;
};

/** One attempt at an origin. */
export type OriginAttempt = {
  readonly origin: OriginEndpoint;
  readonly correlationId: string;
  /** How long the proxy waits for the response, in milliseconds. */
  readonly remainingMs: number;
  readonly headers: Headers;
};

/** The parts of a response from which the fields for its client are derived. */
export type ResponseToClient = {
  readonly status: number;
  readonly headers: Headers;
  /** Headers of the client's request. */
  readonly asked: Headers;
  /** When to retry, in milliseconds, if the proxy itself sets it; null otherwise. */
  readonly retryMs: number | null;
};

/**
 * Names and meaning of the header fields that a proxy exchanges with clients and origins. It makes
 * no decisions. Peers always use the project's own format.
 */
export type WireFormat = {
  /**
   * How an origin is identified: `asked` queries it on each new connection before anything else is
   * sent, `named` names the intended origin in each request.
   */
  readonly identity: 'asked' | 'named';
  readonly readyPath: string;
  readonly livePath: string | null;
  /** How long the client waits, in milliseconds; null if the request does not say. */
  readonly deadlineMs: (headers: Headers) => number | null;
  /** The request fields that pass on the remaining part of that time. */
  readonly remainingTimeFields: (ms: number) => Readonly<Record<string, string>>;
  readonly originRequestFields: (attempt: OriginAttempt) => Readonly<Record<string, string>>;
  readonly readOriginResponse: (
    status: number,
    headers: Headers,
    attempt: OriginAttempt,
  ) => OriginEvidence;
  readonly clientResponseHeaders: (response: ResponseToClient) => Headers;
  /**
   * Fields with which an origin vouches for a response: forwarded only with the status that the
   * origin sent.
   */
  readonly stamps: readonly string[];
  /**
   * Fields of a sample request and of an origin's valid response to it, used to warm up a proxy;
   * without a sample there is no warm-up.
   */
  readonly sample?: {
    readonly asked: (number: number) => Readonly<Record<string, string>>;
    readonly answered: (asked: Headers) => Readonly<Record<string, string>>;
  };
};

const originIdOf = (origin: OriginEndpoint): string =>
  `${origin.service}/${origin.instance}/${origin.incarnation}`;

/** The project's own format (docs/api.md). */
export const reedyardWireFormat: WireFormat = {
  identity: 'asked',
  readyPath: '/.well-known/reedyard/ready',
  livePath: '/.well-known/reedyard/live',
  deadlineMs: () => null,
  remainingTimeFields: () => ({}),
  originRequestFields: ({ origin, correlationId }) => ({
    'reedyard-attempt': correlationId,
    'reedyard-expect': originIdOf(origin),
  }),
  readOriginResponse: (status, headers, { origin, correlationId }) => ({
    mismatch:
      headers['reedyard-attempt'] !== correlationId
        ? 'foreign'
        : headers['reedyard-stamp'] !== originIdOf(origin)
          ? 'stamp'
          : null,
    notRun: status === 503 && headers['reedyard-outcome'] === 'not-run',
    isMisdirected: false,
    load: null,
    coldMs: null,
  }),
  clientResponseHeaders: ({ headers }) => headers,
  stamps: ['reedyard-stamp'],
};
