/** Reads a request of a client or a peer: its body up to a limit, and the parts for the reducer. */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import type { WireFormat } from './wire-format.js';
import { readPeerRequestFields } from './peer-request-fields.js';
import type { BodyReservation } from './request-body-budget.js';
import { forwardableHeaders } from './response-reader.js';
import type { ClientRequest } from './state.js';

/** Why a body is not read: it exceeds the limit of its route, or the memory for all bodies is used up. */
export type BodyRejection = 'too-large' | 'no-memory';

/** The limits of a body, and what is called once it was read or is not read further. */
export type BodyReading = {
  readonly maxBytes: number;
  readonly reservation: BodyReservation;
  readonly onEnd: (body: Buffer) => void;
  readonly onRejected: (rejection: BodyRejection) => void;
};

/** The announced length of a body in bytes; null if there is none. */
const announcedLengthOf = (request: http.IncomingMessage): number | null => {
  const field = request.headers['content-length'];
  return field === undefined ? null : Number(field);
};

/**
 * Reads a body. The memory for a body whose length is announced is reserved before it is read, and is
 * taken once; that of any other is reserved as it arrives.
 */
export const readBody = (
  request: http.IncomingMessage,
  { maxBytes, reservation, onEnd, onRejected }: BodyReading,
): void => {
  const announcedLength = announcedLengthOf(request);
  const reject = (rejection: BodyRejection): void => {
    request.removeAllListeners('data');
    request.removeAllListeners('end');
    request.resume();
    reservation.release();
    onRejected(rejection);
  };
  if (announcedLength !== null && announcedLength > maxBytes) {
    reject('too-large');
    return;
  }
  if (announcedLength !== null && !reservation.reserve(announcedLength)) {
    reject('no-memory');
    return;
  }
  const whole = announcedLength === null ? null : Buffer.allocUnsafeSlow(announcedLength);
  const chunks: Buffer[] = [];
  let size = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) reject('too-large');
    else if (whole !== null) chunk.copy(whole, size - chunk.length);
    else if (reservation.reserve(chunk.length)) chunks.push(chunk);
    else reject('no-memory');
  });
  request.on('end', () => onEnd(whole ?? Buffer.concat(chunks)));
};

/** Whether the target is an absolute path without dot segments. */
export const isPlainTarget = (target: string): boolean => {
  const path = target.split('?', 1)[0] ?? '/';
  return target.startsWith('/') && !/\/(?:\.|%2e){1,2}(?:\/|$)/i.test(path);
};

/** Distinguishes requests with the same idempotency key. */
const digestOf = (method: string, target: string, body: Buffer): string =>
  createHash('sha256')
    .update(JSON.stringify([method, target]))
    .update(body)
    .digest('base64');

/** A request in the form that the reducer decides on; a peer's request was forwarded by that peer. */
export const clientRequestOf = (
  request: http.IncomingMessage,
  body: Buffer,
  isFromPeer: boolean,
  wireFormat: WireFormat,
): ClientRequest => {
  const { headers, method = 'GET', url: target = '/' } = request;
  const hasDigest = !isFromPeer && headers['idempotency-key'] !== undefined;
  const peerParts = isFromPeer ? readPeerRequestFields(headers) : { via: null, attempts: null };
  return {
    method,
    target,
    host: headers.host ?? '',
    headers: forwardableHeaders(headers),
    bodyBytes: body.length,
    digest: hasDigest ? digestOf(method, target, body) : null,
    deadlineMs: wireFormat.deadlineMs(headers),
    ...peerParts,
  };
};
