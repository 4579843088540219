/** Client of the operator API: sends requests to one node after another, or to several at once. */
import http from 'node:http';
import { readFileSync } from 'node:fs';
import { CodedError, errorMessage } from '@reedyard/logging';

/** Exit codes of `reedyard`; scripts rely on the numbers, so they must not change. */
export const exitCodes = {
  /** The arguments, a file or a document are invalid. */
  usage: 2,
  /** A node refused the document or the command. */
  refused: 3,
  /** No node responded, or no majority was reached; a retry with the same change id is safe. */
  unreached: 4,
  /** The queried condition (ready) is false. */
  conditionNotMet: 5,
} as const;

/** Thrown for a command that failed; carries the exit code, and the problem document if any. */
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

/** A response of the API with its parsed JSON body. */
export type ApiResponse = { readonly status: number; readonly body: unknown };

/** Response timeout of a request to one node, in milliseconds. */
const responseTimeoutMs = 10_000;
/**
 * Response timeout of a request to several nodes at once, in milliseconds: a longer wait for one node
 * would leave the responses of the others outdated.
 */
const parallelResponseTimeoutMs = 2_000;

const sendRequest = (
  node: string,
  method: string,
  target: string,
  text: string,
  headers: Readonly<Record<string, string>>,
  timeout = responseTimeoutMs,
): Promise<ApiResponse> =>
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
    request.on('timeout', () => request.destroy(new Error(`no response in ${timeout} ms`)));
    request.on('error', reject);
    request.end(text);
  });

const problemText = (response: ApiResponse): string => {
  const problem = response.body as {
    title?: string;
    detail?: string;
    faults?: readonly { path: string; message: string }[];
  };
  return [
    `${response.status} ${problem.title ?? ''}: ${problem.detail ?? ''}`,
    ...(problem.faults ?? []).map((fault) => `  ${fault.path}: ${fault.message}`),
  ].join('\n');
};

/**
 * Sends a request to the nodes one after another until one of them responds. After a status of 500
 * or more, as from a node that can't reach a majority, the next node is tried.
 *
 * @example
 * const status = await requestAnyNode(['127.0.0.1:7080'], 'GET', '/v1/status');
 */
export const requestAnyNode = async (
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
      const response = await sendRequest(node, method, target, text, headers);
      if (response.status < 400) return response.body;
      if (response.status < 500)
        throw new ClientError(exitCodes.refused, problemText(response), response.body);
      failures.push(`${node}: ${problemText(response)}`);
    } catch (thrown) {
      if (thrown instanceof ClientError) throw thrown;
      failures.push(`${node}: ${errorMessage(thrown)}`);
    }
  }
  throw new ClientError(exitCodes.unreached, failures.join('\n'));
};

/**
 * Sends a GET request to all nodes at once and returns the bodies by node. A node that does not
 * respond, or responds with an error, is left out.
 *
 * @example
 * (await getFromAllNodes(['127.0.0.1:7080'], '/v1/status')).get('127.0.0.1:7080')
 */
export const getFromAllNodes = async (
  nodes: readonly string[],
  target: string,
): Promise<ReadonlyMap<string, unknown>> => {
  const results = await Promise.allSettled(
    nodes.map((node) => sendRequest(node, 'GET', target, '', {}, parallelResponseTimeoutMs)),
  );
  const bodies = new Map<string, unknown>();
  results.forEach((result, index) => {
    const node = nodes[index];
    if (node === undefined || result.status === 'rejected' || result.value.status >= 400) return;
    bodies.set(node, result.value.body);
  });
  return bodies;
};

/** Reads a JSON document from a file, or from standard input for `-`. @example readDocument('policy.json') */
export const readDocument = (file: string): unknown => {
  try {
    return JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (thrown) {
    throw new ClientError(exitCodes.usage, `${file}: ${errorMessage(thrown)}`, null, {
      cause: thrown,
    });
  }
};
