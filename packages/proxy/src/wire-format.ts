/**
 * How a proxy is spoken to by clients and speaks to origins: names of header fields and what they
 * mean.
 */
import type { OriginEndpoint } from '@reedyard/agent';
import type { Headers } from '@reedyard/cache';

/**
 * What an origin tells of itself with an answer: requests that it works on, that wait, and how many
 * it works on at once.
 */
export type OriginLoad = {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
};

/** What an origin's answer proves, as far as the next move depends on it. */
export type OriginEvidence = {
  /** Why it can't be taken for the answer to this attempt, or null if it is that. */
  readonly mismatch: string | null;
  /** It says that the request did not run there. */
  readonly notRun: boolean;
  /** Another one than was meant has the address; nothing ran. */
  readonly isMisdirected: boolean;
  readonly load: OriginLoad | null;
  /** ms. How much longer it says that it is cold; null where it says nothing. */
  readonly coldMs: number | null;
  /** It names no request: nothing but its place on the connection ties it to this one. */
  readonly anonymous?: boolean;
};

/** One attempt at an origin. */
export type OriginAttempt = {
  readonly origin: OriginEndpoint;
  readonly correlationId: string;
  /** ms that its answer is waited for. */ readonly remainingMs: number;
  readonly headers: Headers;
};

/** What of an answer its caller is shown. */
export type ResponseToClient = {
  readonly status: number;
  readonly headers: Headers;
  readonly asked: Headers;
  /** ms after which to come again, where the proxy itself says so. */ readonly retryMs:
    number | null;
};

/**
 * How a proxy is spoken to by callers and speaks to origins: names of header fields and what they
 * mean. It decides nothing. Peers speak the project's own way whatever the dialect.
 */
export type WireFormat = {
  /**
   * Whether an origin proves who it is on each new connection, before anything else, or each
   * request names the one it is meant for.
   */
  readonly identity: 'asked' | 'named';
  readonly readyPath: string;
  readonly livePath: string | null;
  /** ms that a caller will wait; null where it does not say. */
  readonly deadlineMs: (headers: Headers) => number | null;
  /** The fields that tell how much of that time is left. */
  readonly remainingTimeFields: (ms: number) => Readonly<Record<string, string>>;
  readonly originRequestFields: (attempt: OriginAttempt) => Readonly<Record<string, string>>;
  readonly readOriginResponse: (
    status: number,
    headers: Headers,
    attempt: OriginAttempt,
  ) => OriginEvidence;
  readonly clientResponseHeaders: (answer: ResponseToClient) => Headers;
  /** Fields by which an origin vouches for an answer: shown only with the status that it gave. */
  readonly stamps: readonly string[];
  /**
   * Fields of a sample request and of an origin's sound answer to it, to warm up with; left out: no
   * warming up.
   */
  readonly sample?: {
    readonly asked: (number: number) => Readonly<Record<string, string>>;
    readonly answered: (asked: Headers) => Readonly<Record<string, string>>;
  };
};

const origin = (row: OriginEndpoint): string => `${row.service}/${row.instance}/${row.incarnation}`;

/** The project's own way (docs/api.md). */
export const reedyardWireFormat: WireFormat = {
  identity: 'asked',
  readyPath: '/.well-known/reedyard/ready',
  livePath: '/.well-known/reedyard/live',
  deadlineMs: () => null,
  remainingTimeFields: () => ({}),
  originRequestFields: ({ origin: row, correlationId: mark }) => ({
    'reedyard-attempt': mark,
    'reedyard-expect': origin(row),
  }),
  readOriginResponse: (status, headers, { origin: row, correlationId: mark }) => ({
    mismatch:
      headers['reedyard-attempt'] !== mark
        ? 'foreign'
        : headers['reedyard-stamp'] !== origin(row)
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
