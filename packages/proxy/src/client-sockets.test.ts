import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { maxRequestHeadBytes } from '@reedyard/agent';
import { maxBufferedBodyBytes } from './buffering.js';
import {
  type Harness,
  originEndpoint,
  policyOf,
  RawClient,
  startHarness,
  waitUntil,
} from './testing/proxy-harness.js';
import {
  responseBytes,
  responseFieldsFor,
  type Script,
  type ScriptedOrigin,
  validResponse,
  startScriptedOrigin,
} from './testing/scripted-origin.js';

type TestSetup = { readonly origin: ScriptedOrigin; readonly harness: Harness };
type ClientLimits = Parameters<typeof policyOf>[0];

/** Delays the responses of an origin until the test releases them, by path. */
class DelayedResponses {
  readonly #delayed = new Map<string, () => void>();

  readonly script: Script = (request, socket) => {
    this.#delayed.set(request.path, () => socket.write(validResponse(request)));
  };

  get paths(): readonly string[] {
    return [...this.#delayed.keys()];
  }

  release(path: string): void {
    this.#delayed.get(path)?.();
    this.#delayed.delete(path);
  }
}

const startSetup = async (
  t: ExecutionContext,
  script: Script,
  clientLimits: ClientLimits = {},
  routeLimits: object = {},
): Promise<TestSetup> => {
  const origin = await startScriptedOrigin(script);
  const policy = { revision: 1, document: policyOf(clientLimits, routeLimits) };
  const harness = await startHarness({ policy, origins: [originEndpoint(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  return { origin, harness };
};

const statuses = (client: RawClient): readonly number[] =>
  client.responses().map(({ status }) => status);

const hasEnded = (client: RawClient): boolean => client.ended || client.closed;

test('pipelined requests get their responses in order, even if some are rejected or time out', async (t) => {
  const delayed = new DelayedResponses();
  const { harness } = await startSetup(t, delayed.script);
  const client = await RawClient.connect(harness.port);
  client.send('GET', '/read/1', 'r1');
  client.send('GET', '/nowhere', 'r2');
  client.send('GET', '/read/silent', 'r3', '', 'x-left-ms: 300\r\n');
  client.send('GET', '/read/4', 'r4');
  await waitUntil(() => delayed.paths.length === 3);
  delayed.release('/read/4');
  delayed.release('/read/1');
  const responses = await client.waitForResponses(4);
  t.deepEqual(statuses(client), [200, 404, 504, 200]);
  t.deepEqual([responses[0]?.body, responses[3]?.body], ['/read/1', '/read/4']);
  t.is(client.text.match(/x-stamp/g)?.length, 2);
});

test('a client that sends hundreds of requests ahead gets all responses in order', async (t) => {
  const { harness } = await startSetup(t, (request, socket) => {
    socket.write(validResponse(request));
  });
  const client = await RawClient.connect(harness.port);
  const paths = Array.from({ length: 300 }, (_, number) => `/read/${number}`);
  for (const path of paths) client.send('GET', path, path);
  const responses = await client.waitForResponses(paths.length);
  t.deepEqual(
    responses.map(({ status, body }) => [status, body]),
    paths.map((path) => [200, path]),
  );
});

test('unparsable bytes after a request in flight are rejected only after its response', async (t) => {
  const cases = {
    400: 'no request at all\r\n\r\n',
    431: `GET /read/2 HTTP/1.1\r\nhost: a.example\r\nx-long: ${'x'.repeat(maxRequestHeadBytes)}\r\n\r\n`,
  };
  for (const [status, bytes] of Object.entries(cases)) {
    const delayed = new DelayedResponses();
    const { harness } = await startSetup(t, delayed.script);
    const client = await RawClient.connect(harness.port);
    client.send('POST', '/order/1', 'r1', 'pay');
    client.socket.write(bytes);
    await waitUntil(() => delayed.paths.length === 1);
    const probe = await RawClient.connect(harness.port);
    probe.socket.write(bytes);
    await probe.waitForResponses(1);
    t.deepEqual(statuses(probe), [Number(status)]);
    t.deepEqual(
      statuses(client),
      [],
      `a response before the response to the request: ${client.text}`,
    );
    delayed.release('/order/1');
    await waitUntil(() => hasEnded(client));
    t.deepEqual(statuses(client), [200, Number(status)]);
    t.is(client.responses()[0]?.body, '/order/1');
  }
});

test('a request head that arrives too slowly after a request in flight is rejected only after its response', async (t) => {
  const delayed = new DelayedResponses();
  const { harness } = await startSetup(t, delayed.script, { headMs: 50 });
  await waitUntil(() => harness.server.headersTimeout === 50);
  const client = await RawClient.connect(harness.port);
  client.send('POST', '/order/1', 'r1', 'pay');
  client.socket.write('GET /read/2 HTTP/1.1\r\nhost:');
  await waitUntil(() => delayed.paths.length === 1);
  const probe = await RawClient.connect(harness.port);
  probe.socket.write('GET /read/2 HTTP/1.1\r\nhost:');
  await probe.waitForResponses(1);
  t.deepEqual(statuses(probe), [408]);
  t.deepEqual(statuses(client), []);
  delayed.release('/order/1');
  await waitUntil(() => hasEnded(client));
  t.deepEqual(statuses(client), [200, 408]);
});

test('the time limit for a request head does not apply to an idle new connection', async (t) => {
  const { harness } = await startSetup(
    t,
    (request, socket) => {
      socket.write(validResponse(request));
    },
    { headMs: 50, idleMs: 60_000 },
  );
  await waitUntil(() => harness.server.headersTimeout === 50);
  const idle = await RawClient.connect(harness.port);
  // Once this later connection is rejected, the idle one was checked too.
  const slow = await RawClient.connect(harness.port);
  slow.socket.write('GET /read/1 HTTP/1.1\r\n');
  await slow.waitForResponses(1);
  t.deepEqual(statuses(slow), [408]);
  idle.send('GET', '/read/1', 'r1');
  await idle.waitForResponses(1);
  t.deepEqual(statuses(idle), [200]);
});

test('a client that closes its connection cancels all its pipelined requests', async (t) => {
  const delayed = new DelayedResponses();
  const longTimeouts = { requestMs: 600_000, attemptMs: 600_000 };
  const { origin, harness } = await startSetup(t, delayed.script, {}, longTimeouts);
  const client = await RawClient.connect(harness.port);
  for (const number of [1, 2, 3]) client.send('GET', `/read/${number}`, `r${number}`);
  await waitUntil(() => delayed.paths.length === 3);
  client.socket.destroy();
  await waitUntil(() => origin.sockets.every((socket) => socket.closed));
  await waitUntil(() => harness.proxy.inFlightCount() === 0);
  t.deepEqual(harness.proxy.task.peek().requests, {});
});

test('during shutdown each pipelined request in flight gets its response, and the last response closes the connection', async (t) => {
  const delayed = new DelayedResponses();
  const { harness } = await startSetup(t, delayed.script);
  const client = await RawClient.connect(harness.port);
  client.send('GET', '/read/1', 'r1');
  client.send('POST', '/order/2', 'r2', 'pay');
  client.send('GET', '/read/3', 'r3');
  await waitUntil(() => delayed.paths.length === 3);
  harness.proxy.stop();
  delayed.release('/read/1');
  await client.waitForResponses(1);
  delayed.release('/order/2');
  await client.waitForResponses(2);
  delayed.release('/read/3');
  await waitUntil(() => hasEnded(client));
  t.deepEqual(statuses(client), [200, 200, 200]);
  const closing = client.responses().map(({ head }) => /connection: close/i.test(head));
  t.deepEqual(closing, [false, false, true]);
});

test('a request sent after a response that closes the connection is not started', async (t) => {
  const delayed = new DelayedResponses();
  const { origin, harness } = await startSetup(t, delayed.script);
  const client = await RawClient.connect(harness.port);
  client.send('GET', '/read/1', 'r1');
  client.send('GET', '/read/2', 'r2');
  await waitUntil(() => delayed.paths.length === 2);
  harness.proxy.stop();
  delayed.release('/read/2');
  const { task } = harness.proxy;
  await waitUntil(() => Object.keys(task.peek().requests).length === 1);
  client.send('POST', '/order/3', 'r3', 'pay');
  delayed.release('/read/1');
  await waitUntil(() => hasEnded(client));
  t.deepEqual(statuses(client), [200, 200]);
  t.deepEqual(
    origin.requests.map(({ path }) => path),
    ['/read/1', '/read/2'],
  );
});

test('a request counts as in flight until its client has received the complete response', async (t) => {
  const size = maxBufferedBodyBytes + 8_000_000;
  const { harness } = await startSetup(t, (request, socket) => {
    const fields = { ...responseFieldsFor(request), 'content-length': String(size) };
    socket.write(responseBytes(200, fields, '') + 'x'.repeat(size));
  });
  const client = await RawClient.connect(harness.port);
  client.send('GET', '/read/large', 'r1');
  await waitUntil(() => client.text.length > 0);
  client.socket.pause();
  await waitUntil(() => Object.keys(harness.proxy.task.peek().requests).length === 0);
  harness.proxy.stop();
  t.is(harness.proxy.inFlightCount(), 1);
  client.socket.resume();
  await client.waitForResponses(1);
  t.is(client.responses()[0]?.body.length, size);
  await waitUntil(() => harness.proxy.inFlightCount() === 0);
});

test('idle connections are kept for the configured time, which Keep-Alive announces', async (t) => {
  const { harness } = await startSetup(
    t,
    (request, socket) => {
      socket.write(validResponse(request));
    },
    { idleMs: 44_500 },
  );
  const accepted: Socket[] = [];
  harness.server.on('connection', (socket: Socket) => accepted.push(socket));
  /** The announced idle timeout, and whether the socket timeout exceeds it by 0.5 to 2 seconds. */
  const idleTimeoutOf = async (
    client: RawClient,
    id: string,
  ): Promise<readonly [string, boolean]> => {
    const earlierCount = client.responses().length;
    client.send('GET', '/read/1', id);
    const responses = await client.waitForResponses(earlierCount + 1);
    const announcedSeconds = /keep-alive: timeout=(\d+)/i.exec(
      responses[earlierCount]?.head ?? '',
    )?.[1];
    await waitUntil(() => accepted[0]?.timeout !== 0);
    const margin = (accepted[0]?.timeout ?? 0) - 1_000 * Number(announcedSeconds);
    return [announcedSeconds ?? '', margin >= 500 && margin <= 2_000];
  };
  const client = await RawClient.connect(harness.port);
  await waitUntil(() => accepted.length === 1 && harness.server.keepAliveTimeout === 45_900);
  t.deepEqual(await idleTimeoutOf(client, 'r1'), ['45', true]);
  // A newer configuration applies to existing connections.
  harness.feed.policy = { revision: 2, document: policyOf({ idleMs: 90_000 }) };
  await waitUntil(() => harness.server.keepAliveTimeout === 90_900);
  t.deepEqual(await idleTimeoutOf(client, 'r2'), ['90', true]);
  // A configuration without a limit restores the default.
  harness.feed.policy = { revision: 3, document: policyOf() };
  await waitUntil(() => harness.server.keepAliveTimeout === 30_900);
  t.deepEqual(await idleTimeoutOf(client, 'r3'), ['30', true]);
});

test('the idle timeout does not apply while a request is in flight', async (t) => {
  const delayed = new DelayedResponses();
  const { harness } = await startSetup(t, delayed.script, { idleMs: 1 });
  const accepted: Socket[] = [];
  harness.server.on('connection', (socket: Socket) => accepted.push(socket));
  const client = await RawClient.connect(harness.port);
  client.send('GET', '/read/1', 'r1');
  client.send('GET', '/read/2', 'r2');
  await waitUntil(() => delayed.paths.length === 2);
  t.is(accepted[0]?.timeout, 0);
  delayed.release('/read/1');
  await client.waitForResponses(1);
  t.is(accepted[0]?.timeout, 0);
  delayed.release('/read/2');
  await client.waitForResponses(2);
  t.deepEqual(statuses(client), [200, 200]);
});

test('heads and bodies up to the configured limits are accepted, larger ones are rejected', async (t) => {
  const { harness } = await startSetup(
    t,
    (request, socket) => {
      socket.write(validResponse(request));
    },
    { headBytes: 40_000, bodyBytes: 5_000_000 },
    { bodyBytes: 5_000_000 },
  );
  const probe = async (headBytes: number, bodyBytes: number): Promise<readonly number[]> => {
    const client = await RawClient.connect(harness.port);
    const extraFields = `x-long: ${'x'.repeat(headBytes)}\r\n`;
    client.send('POST', '/order/1', 'r1', 'x'.repeat(bodyBytes), extraFields);
    await client.waitForResponses(1);
    return statuses(client);
  };
  await waitUntil(
    () => 'maxHeaderSize' in harness.server && harness.server.maxHeaderSize === 40_000,
  );
  t.deepEqual(await probe(39_000, 5_000_000), [200]);
  t.deepEqual(await probe(41_000, 1), [431]);
  t.deepEqual(await probe(10, 5_000_001), [413]);
});
