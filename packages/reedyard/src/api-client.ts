/** Calls the API, at one node after another until one answers. */
import http from 'node:http';
import { readFileSync } from 'node:fs';
import { CodedError, errorMessage } from '@reedyard/logging';

/** Exit codes of `reedyard`; they stay as they are. */
export const exitCodes = {
  /** The call's words, a file or a document are at fault. */
  usage: 2,
  /** The document or order was refused. */
  refused: 3,
  /** No node answered, or no majority was reached; it may be sent again with the same change id. */
  unreached: 4,
  /** Asked whether something is so (ready), and it is not. */
  conditionNotMet: 5,
} as const;

/** A call that did not bring what was asked. */
export class ClientError extends CodedError {
  constructor(
    readonly exit: number,
    message: string,
    readonly document: unknown = null,
    options?: { readonly cause?: unknown },
  ) {
    super(String(exit), message, options);
  }
}

export type Reply = { readonly status: number; readonly body: unknown };

/** ms. A node that is asked alone may take this long. */
const longestAnswer = 10_000;
/** ms. A node that is asked beside others: what the others said would grow old meanwhile. */
const longestAnswerBeside = 2_000;

const once = (
  node: string,
  method: string,
  target: string,
  text: string,
  headers: Readonly<Record<string, string>>,
  timeout = longestAnswer,
): Promise<Reply> =>
  new Promise((resolve, reject) => {
    const request = http.request(
      `http://${node}${target}`,
      {
        method,
        timeout,
        headers: {
          accept: 'application/json',
          ...(text === ''
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          try {
            resolve({
              status: response.statusCode ?? 0,
              body: JSON.parse(Buffer.concat(chunks).toString('utf8')),
            });
          } catch (thrown) {
            reject(thrown instanceof Error ? thrown : new Error(String(thrown)));
          }
        });
      },
    );
    request.on('timeout', () => request.destroy(new Error(`no answer in ${timeout} ms`)));
    request.on('error', reject);
    request.end(text);
  });

const problemText = (reply: Reply): string => {
  const problem = reply.body as {
    title?: string;
    detail?: string;
    faults?: readonly { path: string; message: string }[];
  };
  return [
    `${reply.status} ${problem.title ?? ''}: ${problem.detail ?? ''}`,
    ...(problem.faults ?? []).map((fault) => `  ${fault.path}: ${fault.message}`),
  ].join('\n');
};

/**
 * Asks the nodes one after another until one answers; an answer of any kind ends it, except that
 * another node is tried where one could not reach a majority.
 *
 * @example
 * const status = await ask(['127.0.0.1:7080'], 'GET', '/v1/status');
 */
export const ask = async (
  nodes: readonly string[],
  method: string,
  target: string,
  document?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<unknown> => {
  const text = document === undefined ? '' : JSON.stringify(document);
  const failures: string[] = [];
  for (const node of nodes) {
    try {
      const reply = await once(node, method, target, text, headers);
      if (reply.status < 400) return reply.body;
      if (reply.status < 500)
        throw new ClientError(exitCodes.refused, problemText(reply), reply.body);
      failures.push(`${node}: ${problemText(reply)}`);
    } catch (thrown) {
      if (thrown instanceof ClientError) throw thrown;
      failures.push(`${node}: ${errorMessage(thrown)}`);
    }
  }
  throw new ClientError(exitCodes.unreached, failures.join('\n'));
};

/**
 * Reads one place of every node at once; a node that does not answer, or not well, is left out.
 *
 * @example
 * (await askEach(['127.0.0.1:7080'], '/v1/status')).get('127.0.0.1:7080')
 */
export const getFromAllNodes = async (
  nodes: readonly string[],
  target: string,
): Promise<ReadonlyMap<string, unknown>> => {
  const replies = await Promise.allSettled(
    nodes.map((node) => once(node, 'GET', target, '', {}, longestAnswerBeside)),
  );
  const bodies = new Map<string, unknown>();
  replies.forEach((reply, index) => {
    const node = nodes[index];
    if (node === undefined || reply.status === 'rejected' || reply.value.status >= 400) return;
    bodies.set(node, reply.value.body);
  });
  return bodies;
};

/** A JSON document from a file, or from standard input for `-`. @example readDocument('policy.json') */
export const readDocument = (file: string): unknown => {
  try {
    return JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (thrown) {
    throw new ClientError(exitCodes.usage, `${file}: ${errorMessage(thrown)}`, null, {
      cause: thrown,
    });
  }
};
