/** Responses that the proxy itself sends to requests that were never started. */
import type http from 'node:http';
import { retryAfterSeconds } from '@reedyard/agent';
import type { RequestTurn } from './inbound-server.js';

/** The status and the texts with which a request is rejected. */
export type Rejection = {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
};

/** Rejects a request of which nothing was executed. */
export const writeRejection = (
  response: http.ServerResponse,
  turn: RequestTurn | null,
  { status, title, detail }: Rejection,
): void => {
  const text = JSON.stringify({ type: 'about:blank', title, status, detail, outcome: 'not-run' });
  const closesConnection = turn === null || turn.startResponse(true);
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(text),
    'reedyard-outcome': 'not-run',
    ...(closesConnection ? { connection: 'close' } : {}),
  });
  response.end(text);
};

/** Rejects a request that may not have been read completely, if its connection still starts requests. */
export const rejectUnread = (
  response: http.ServerResponse,
  turn: RequestTurn,
  rejection: Rejection,
): void => {
  if (turn.begin(() => undefined)) writeRejection(response, turn, rejection);
};

/**
 * Responds to a request whose own response could not be written: it may have been executed. A
 * response that was begun is cut short, so that it can't look complete.
 */
export const writeUnknownOutcome = (response: http.ServerResponse): void => {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const text = JSON.stringify({
    type: 'about:blank',
    title: 'No sound answer',
    status: 502,
    detail: 'It is not known whether it ran: its response could not be passed on.',
    outcome: 'unknown',
  });
  response.writeHead(502, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(text),
    'reedyard-outcome': 'unknown',
  });
  response.end(text);
};

/** Responds to a health check. */
export const writeHealth = (response: http.ServerResponse, isHealthy: boolean): void => {
  const text = JSON.stringify({ ready: isHealthy });
  response.writeHead(isHealthy ? 200 : 503, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(isHealthy ? {} : { 'retry-after': String(retryAfterSeconds) }),
  });
  response.end(text);
};
