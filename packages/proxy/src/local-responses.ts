/** Responses that the proxy gives itself, of a request that was never begun. */
import type http from 'node:http';
import { retryAfterSeconds } from '@reedyard/agent';
import type { RequestTurn } from './inbound-server.js';

/** Why a request is rejected. */
export type Rejection = {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
};

/** Rejects a request: nothing of it was executed. */
export const writeRejection = (
  response: http.ServerResponse,
  turn: RequestTurn | null,
  { status, title, detail }: Rejection,
): void => {
  const text = JSON.stringify({ type: 'about:blank', title, status, detail, outcome: 'not-run' });
  const closes = turn === null || turn.startResponse(true);
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(text),
    'reedyard-outcome': 'not-run',
    ...(closes ? { connection: 'close' } : {}),
  });
  response.end(text);
};

/** Rejects a request of which perhaps not all was read, once it is its connection's turn. */
export const rejectUnread = (
  response: http.ServerResponse,
  turn: RequestTurn,
  rejection: Rejection,
): void => {
  if (turn.begin(() => undefined)) writeRejection(response, turn, rejection);
};

/** Answers a health check. */
export const writeHealth = (response: http.ServerResponse, isHealthy: boolean): void => {
  const text = JSON.stringify({ ready: isHealthy });
  response.writeHead(isHealthy ? 200 : 503, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(isHealthy ? {} : { 'retry-after': String(retryAfterSeconds) }),
  });
  response.end(text);
};
