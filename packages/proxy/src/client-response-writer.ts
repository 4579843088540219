/**
 * Writes the core's answer to one request onto its caller's connection: a problem of our own, a
 * copy or a whole answer as the caller asked for it, or a large answer as it comes.
 */
import type http from 'node:http';
import type { Readable } from 'node:stream';
import type { Headers } from '@reedyard/cache';
import type { WireFormat } from './wire-format.js';
import { conditionalResponseOf, stripOriginIdFields } from './conditional-response.js';
import type { ClientResponse, ClientRequest } from './state.js';

/** Where an answer goes, and what of it depends on who asked. */
export type ResponseTarget = {
  readonly response: http.ServerResponse;
  readonly asked: ClientRequest;
  readonly dialect: WireFormat;
  /** Fields of this hop. */
  readonly hopFields: Readonly<Record<string, string>>;
};

type Problem = Extract<ClientResponse['body'], { kind: 'problem' }>;
type AnswerBody = { readonly body: unknown; readonly size: number; readonly isComplete: boolean };

const originStatusOf = ({ body }: ClientResponse): number | null => {
  if (body.kind === 'problem') return null;
  return body.kind === 'copy' ? body.copy.status : body.answer.status;
};

const bodyOf = (body: Exclude<ClientResponse['body'], Problem>): AnswerBody =>
  body.kind === 'copy'
    ? { body: body.copy.body, size: body.copy.sizeBytes, isComplete: true }
    : body.answer;

/**
 * The fields that the one who asked is shown with a status: a peer all, a caller by the dialect.
 */
const shownFields = (
  { asked, dialect, hopFields }: ResponseTarget,
  answer: ClientResponse,
  status: number,
  headers: Headers,
): http.OutgoingHttpHeaders => {
  const vouched = stripOriginIdFields(status, originStatusOf(answer), headers, dialect.stamps);
  const { 'reedyard-attempt': _correlation, connection: _connection, ...peerFields } = vouched;
  const { 'reedyard-spent': _spent, ...callerFields } = peerFields;
  const retryMs = answer.retryMs ?? null;
  const shown =
    asked.via === null
      ? dialect.clientResponseHeaders({
          status,
          headers: callerFields,
          asked: asked.headers,
          retryMs,
        })
      : peerFields;
  return { ...shown, ...hopFields } as http.OutgoingHttpHeaders;
};

const writeProblem = (target: ResponseTarget, answer: ClientResponse, problem: Problem): void => {
  const { response, asked } = target;
  const { status } = answer;
  const { title, detail, outcome } = problem;
  const text = JSON.stringify({ type: 'about:blank', title, status, detail, outcome });
  const fields = {
    ...answer.headers,
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(text)),
  };
  response.writeHead(status, shownFields(target, answer, status, fields));
  response.end(asked.method === 'HEAD' ? undefined : text);
};

const writeWhole = (target: ResponseTarget, answer: ClientResponse, held: AnswerBody): void => {
  const { response, asked } = target;
  const { status, headers } = answer;
  const bodiless = asked.method === 'HEAD' && answer.body.kind === 'attempt';
  if (bodiless || status === 204 || status === 304) {
    response.writeHead(status, shownFields(target, answer, status, headers));
    response.end();
    return;
  }
  const shown = conditionalResponseOf(asked.method, asked.headers, status, headers, held.size);
  response.writeHead(shown.status, shownFields(target, answer, shown.status, shown.headers));
  const body = (held.body as Buffer).subarray(shown.from, shown.to);
  response.end(asked.method === 'HEAD' ? undefined : body);
};

/** Passes an answer on as it comes; one that was cut must not look like a whole one. */
const writeStream = (target: ResponseTarget, answer: ClientResponse, body: Readable): void => {
  const { response } = target;
  const { status, headers } = answer;
  response.writeHead(status, shownFields(target, answer, status, headers));
  body.on('error', () => response.destroy());
  body.on('aborted', () => response.destroy());
  if (body.destroyed) response.destroy();
  else body.pipe(response);
};

/**
 * Writes an answer. Gives the stream that it is passed on from, for as long as it comes; null where
 * all of it was handed over.
 *
 * @example
 * const stream = writeAnswer({ response, asked, dialect, hopFields: { via } }, answer);
 */
export const writeClientResponse = (
  target: ResponseTarget,
  answer: ClientResponse,
): Readable | null => {
  const { response } = target;
  const held = answer.body.kind === 'problem' ? null : bodyOf(answer.body);
  const stream = held === null || held.isComplete ? null : (held.body as Readable);
  if (response.destroyed || response.headersSent) {
    stream?.destroy();
    return null;
  }
  if (answer.body.kind === 'problem') writeProblem(target, answer, answer.body);
  else if (held !== null && stream === null) writeWhole(target, answer, held);
  if (stream !== null) writeStream(target, answer, stream);
  return stream;
};
