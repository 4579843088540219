/** The request that goes to an origin or a peer, made of the client's. */
import type http from 'node:http';
import type { OutgoingRequest } from './exchange.js';
import type { WireFormat } from './wire-format.js';
import { forwardableHeaders } from './response-reader.js';
import type { ClientRequest, ProxyEffect } from './state.js';

/** What is known of the client's request when an attempt is sent. */
export type IncomingParts = {
  readonly request: http.IncomingMessage;
  readonly clientRequest: ClientRequest;
  readonly body: Buffer;
};

/** How this proxy names itself to the next hop. */
export type ProxyName = {
  /** The value of its `Via` field. */
  readonly via: string;
  /** The node's name, told to peers. */
  readonly node: string;
};

type SendAttempt = Extract<ProxyEffect, { kind: 'send-attempt' }>;
type OutgoingHeaders = Record<string, string | string[]>;

/** Fields of a request for a part or a change of a copy; a copy is fetched complete. */
const conditionalFields = ['range', 'if-range', 'if-none-match', 'if-modified-since'] as const;

const methodsWithoutBody: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

const isDefined = <Value>(value: Value | undefined): value is Value => value !== undefined;

const forwardedFor = ({ request, clientRequest }: IncomingParts): string => {
  const given = request.headers['x-forwarded-for'];
  if (clientRequest.via !== null && typeof given === 'string') return given;
  const client = request.socket.remoteAddress ?? '';
  return [given, client].flat().filter(isDefined).join(', ');
};

const peerFields = (
  { attemptId, delegatedAttempts }: SendAttempt,
  node: string,
): Readonly<Record<string, string>> => ({
  'reedyard-attempt': attemptId,
  'reedyard-via': node,
  ...(Number.isFinite(delegatedAttempts)
    ? { 'reedyard-attempts-left': String(delegatedAttempts) }
    : {}),
});

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
  if (effect.to.kind === 'peer') Object.assign(headers, peerFields(effect, name.node));
  delete headers['content-length'];
  if (body.length > 0 || !methodsWithoutBody.includes(clientRequest.method))
    headers['content-length'] = String(body.length);
  return headers;
};

/** The request as it goes out; fields that only an origin gets are added by the caller. */
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
