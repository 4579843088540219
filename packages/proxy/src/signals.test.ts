import test from 'ava';
import { maxBufferedBodyBytes } from './buffering.js';
import { RawClient, waitUntil } from './testing/proxy-harness.js';
import { startProxyProgram } from './testing/proxy-program.js';
import {
  responseBytes,
  type Script,
  type ReceivedRequest,
  startScriptedOrigin,
} from './testing/scripted-origin.js';

const identity = { service: 'store', instance: 'i1', incarnation: 0 };
const originId = 'store/i1/0';

const validIdentifiedResponse = (request: ReceivedRequest, body = request.path): string => {
  const correlationId = request.headers['reedyard-attempt'] ?? '';
  return responseBytes(
    200,
    { 'reedyard-stamp': originId, 'reedyard-attempt': correlationId },
    body,
  );
};

/** An origin that responds to identity queries and delays all other responses until released. */
class DelayingOrigin {
  readonly #delayed: (() => void)[] = [];

  readonly script: Script = (request, socket) => {
    if (request.path === '/.well-known/reedyard-identity') {
      socket.write(responseBytes(200, {}, JSON.stringify(identity)));
    } else if (request.path === '/read/large') {
      const response = validIdentifiedResponse(
        request,
        'x'.repeat(maxBufferedBodyBytes + 1_000_000),
      );
      socket.write(response.slice(0, -1_000));
      this.#delayed.push(() => socket.write(response.slice(-1_000)));
    } else {
      this.#delayed.push(() => socket.write(validIdentifiedResponse(request)));
    }
  };

  get delayedCount(): number {
    return this.#delayed.length;
  }

  releaseAll(): void {
    this.#delayed.splice(0).forEach((release) => release());
  }
}

/** Sends pipelined requests, one request that is not idempotent, and one with a streamed response. */
const sendRequests = async (port: number): Promise<readonly RawClient[]> => {
  const [pipelined, ordering, streaming] = await Promise.all([
    RawClient.connect(port),
    RawClient.connect(port),
    RawClient.connect(port),
  ]);
  for (const number of [1, 2, 3]) pipelined.send('GET', `/read/${number}`, `r${number}`);
  ordering.send('POST', '/order/1', 'r4', 'pay');
  streaming.send('GET', '/read/large', 'r5');
  return [pipelined, ordering, streaming];
};

const statusesOf = (clients: readonly RawClient[]): readonly (readonly number[])[] =>
  clients.map((client) => client.responses().map(({ status }) => status));

test('requests in flight at a SIGHUP and a SIGTERM get complete responses and are executed once', async (t) => {
  const delaying = new DelayingOrigin();
  const origin = await startScriptedOrigin(delaying.script);
  t.teardown(() => origin.close());
  const { child, port, output } = await startProxyProgram(t, origin.port);
  const clients = await sendRequests(port);
  await waitUntil(
    () => delaying.delayedCount === 5 && (clients[2]?.text.length ?? 0) > maxBufferedBodyBytes,
  );
  child.kill('SIGHUP');
  await waitUntil(() => output().includes('hangup') || child.exitCode !== null);
  child.kill('SIGTERM');
  await waitUntil(() => output().includes('stopping') || child.exitCode !== null);
  delaying.releaseAll();
  await waitUntil(() => clients.every((client) => client.ended || client.closed));
  t.deepEqual(statusesOf(clients), [[200, 200, 200], [200], [200]]);
  await waitUntil(() => child.exitCode !== null || child.signalCode !== null);
  t.is(child.exitCode, 0);
  const targets = origin.requests.map(({ path: target }) => target);
  const executed = targets.filter((target) => !target.startsWith('/.')).sort();
  t.deepEqual(executed, ['/order/1', '/read/1', '/read/2', '/read/3', '/read/large']);
  t.true(output().includes('cutOff=0'), output());
});
