/** Builds the request to an origin or a peer from the client's request. */
import type http from 'node:http';
import type { RequestBody } from '@reedyard/rpc';
import type { OutgoingRequest } from './exchange.js';
import type { WireFormat } from './wire-format.js';
import { peerRequestFields } from './peer-request-fields.js';
import { forwardableHeaders } from './response-reader.js';
import type { ClientRequest, ProxyEffect } from './state.js';

/** The parts of the client's request from which an attempt is built. */
export type IncomingParts = {
  readonly request: http.IncomingMessage;
  readonly clientRequest: ClientRequest;
  readonly body: RequestBody;
};

/** The names by which this proxy identifies itself to the next hop. */
export type ProxyName = {
  /** The value of its `Via` field. */
  readonly via: string;
  /** The node's name, sent to peers. */
  readonly node: string;
};

type SendAttempt = Extract<ProxyEffect, { kind: 'send-attempt' }>;
type OutgoingHeaders = Record<string, string | string[]>;

/**
 * Fields of conditional and range requests, which are removed from a cacheable request: a response
 * to be cached is fetched completely.
 */
const conditionalFields = ['range', 'if-range', 'if-none-match', 'if-modified-since'] as const;

const methodsWithoutBody: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

const isDefined = <Value>(value: Value | undefined): value is Value => value !== undefined;

const forwardedFor = ({ request, clientRequest }: IncomingParts): string => {
  const received = request.headers['x-forwarded-for'];
  if (clientRequest.via !== null && typeof received === 'string') return received;
  const client = request.socket.remoteAddress ?? '';
  return [received, client].flat().filter(isDefined).join(', ');
};

const headersOf = (
  incoming: IncomingParts,
  effect: SendAttempt,
  name: ProxyName,
  wireFormat: WireFormat,
): OutgoingHeaders => {
  const { request, clientRequest, body } = incoming;
  const headers: OutgoingHeaders = forwardableHeaders(request.headers);
  if (effect.isCacheable) {
    for (const field of conditionalFields) delete headers[field];
    headers['accept-encoding'] = 'identity';
  }
  headers['x-forwarded-for'] = forwardedFor(incoming);
  headers.via = [request.headers.via, name.via].filter(isDefined).join(', ');
  headers.host = clientRequest.host;
  Object.assign(headers, wireFormat.remainingTimeFields(effect.timeoutMs));
  if (effect.to.kind === 'peer') Object.assign(headers, peerRequestFields(effect, name.node));
  delete headers['content-length'];
  if (body.sizeBytes > 0 || !methodsWithoutBody.includes(clientRequest.method))
    headers['content-length'] = String(body.sizeBytes);
  return headers;
};

/** Builds the outgoing request, without the fields that only origins receive. */
export const outgoingRequest = (
  incoming: IncomingParts,
  effect: SendAttempt,
  name: ProxyName,
  wireFormat: WireFormat,
): OutgoingRequest => ({
  method: incoming.clientRequest.method,
  path: incoming.clientRequest.target,
  headers: headersOf(incoming, effect, name, wireFormat),
  body: incoming.body,
  safe: effect.isIdempotent,
});
