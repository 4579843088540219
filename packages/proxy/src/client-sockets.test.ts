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

type Stage = { readonly origin: ScriptedOrigin; readonly harness: Harness };
type Callers = Parameters<typeof policyOf>[0];

/** Holds back answers until the test lets them go, by path. */
class HeldAnswers {
  readonly #held = new Map<string, () => void>();

  readonly script: Script = (request, socket) => {
    this.#held.set(request.path, () => socket.write(validResponse(request)));
  };

  get paths(): readonly string[] {
    return [...this.#held.keys()];
  }

  release(path: string): void {
    this.#held.get(path)?.();
    this.#held.delete(path);
  }
}

const stage = async (
  t: ExecutionContext,
  script: Script,
  callers: Callers = {},
  limits: object = {},
): Promise<Stage> => {
  const origin = await startScriptedOrigin(script);
  const policy = { revision: 1, document: policyOf(callers, limits) };
  const harness = await startHarness({ policy, origins: [originEndpoint(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  return { origin, harness };
};

const statuses = (caller: RawClient): readonly number[] =>
  caller.responses().map(({ status }) => status);

const ended = (caller: RawClient): boolean => caller.ended || caller.closed;

test('pipelined requests: answers in their order, also where some are refused or time out', async (t) => {
  const held = new HeldAnswers();
  const { harness } = await stage(t, held.script);
  const caller = await RawClient.connect(harness.port);
  caller.send('GET', '/read/1', 'r1');
  caller.send('GET', '/nowhere', 'r2');
  caller.send('GET', '/read/silent', 'r3', '', 'x-left-ms: 300\r\n');
  caller.send('GET', '/read/4', 'r4');
  await waitUntil(() => held.paths.length === 3);
  held.release('/read/4');
  held.release('/read/1');
  const answers = await caller.waitForResponses(4);
  t.deepEqual(statuses(caller), [200, 404, 504, 200]);
  t.deepEqual([answers[0]?.body, answers[3]?.body], ['/read/1', '/read/4']);
  t.is(caller.text.match(/x-stamp/g)?.length, 2);
});

test('bytes that are no request, behind one at work, are refused only after its own answer', async (t) => {
  const cases = {
    400: 'no request at all\r\n\r\n',
    431: `GET /read/2 HTTP/1.1\r\nhost: a.example\r\nx-long: ${'x'.repeat(maxRequestHeadBytes)}\r\n\r\n`,
  };
  for (const [status, bytes] of Object.entries(cases)) {
    const held = new HeldAnswers();
    const { harness } = await stage(t, held.script);
    const caller = await RawClient.connect(harness.port);
    caller.send('POST', '/order/1', 'r1', 'pay');
    caller.socket.write(bytes);
    await waitUntil(() => held.paths.length === 1);
    const probe = await RawClient.connect(harness.port);
    probe.socket.write(bytes);
    await probe.waitForResponses(1);
    t.deepEqual(statuses(probe), [Number(status)]);
    t.deepEqual(statuses(caller), [], `an answer before its own: ${caller.text}`);
    held.release('/order/1');
    await waitUntil(() => ended(caller));
    t.deepEqual(statuses(caller), [200, Number(status)]);
    t.is(caller.responses()[0]?.body, '/order/1');
  }
});

test('a head that is slow to come, behind a request at work, is refused only after its own answer', async (t) => {
  const held = new HeldAnswers();
  const { harness } = await stage(t, held.script, { headMs: 50 });
  await waitUntil(() => harness.server.headersTimeout === 50);
  const caller = await RawClient.connect(harness.port);
  caller.send('POST', '/order/1', 'r1', 'pay');
  caller.socket.write('GET /read/2 HTTP/1.1\r\nhost:');
  await waitUntil(() => held.paths.length === 1);
  const probe = await RawClient.connect(harness.port);
  probe.socket.write('GET /read/2 HTTP/1.1\r\nhost:');
  await probe.waitForResponses(1);
  t.deepEqual(statuses(probe), [408]);
  t.deepEqual(statuses(caller), []);
  held.release('/order/1');
  await waitUntil(() => ended(caller));
  t.deepEqual(statuses(caller), [200, 408]);
});

test('a new connection that rests is not bounded by the time for a head', async (t) => {
  const { harness } = await stage(
    t,
    (request, socket) => {
      socket.write(validResponse(request));
    },
    { headMs: 50, idleMs: 60_000 },
  );
  await waitUntil(() => harness.server.headersTimeout === 50);
  const resting = await RawClient.connect(harness.port);
  // Once this later one is refused, the resting one was looked at too.
  const slow = await RawClient.connect(harness.port);
  slow.socket.write('GET /read/1 HTTP/1.1\r\n');
  await slow.waitForResponses(1);
  t.deepEqual(statuses(slow), [408]);
  resting.send('GET', '/read/1', 'r1');
  await resting.waitForResponses(1);
  t.deepEqual(statuses(resting), [200]);
});

test('a caller who leaves takes all its pipelined requests along', async (t) => {
  const held = new HeldAnswers();
  const never = { requestMs: 600_000, attemptMs: 600_000 };
  const { origin, harness } = await stage(t, held.script, {}, never);
  const caller = await RawClient.connect(harness.port);
  for (const number of [1, 2, 3]) caller.send('GET', `/read/${number}`, `r${number}`);
  await waitUntil(() => held.paths.length === 3);
  caller.socket.destroy();
  await waitUntil(() => origin.sockets.every((socket) => socket.closed));
  await waitUntil(() => harness.proxy.inFlightCount() === 0);
  t.deepEqual(harness.proxy.task.peek().requests, {});
});

test('while it stops, each pipelined request at work gets its answer, and the last one closes', async (t) => {
  const held = new HeldAnswers();
  const { harness } = await stage(t, held.script);
  const caller = await RawClient.connect(harness.port);
  caller.send('GET', '/read/1', 'r1');
  caller.send('POST', '/order/2', 'r2', 'pay');
  caller.send('GET', '/read/3', 'r3');
  await waitUntil(() => held.paths.length === 3);
  harness.proxy.stop();
  held.release('/read/1');
  await caller.waitForResponses(1);
  held.release('/order/2');
  await caller.waitForResponses(2);
  held.release('/read/3');
  await waitUntil(() => ended(caller));
  t.deepEqual(statuses(caller), [200, 200, 200]);
  const closing = caller.responses().map(({ head }) => /connection: close/i.test(head));
  t.deepEqual(closing, [false, false, true]);
});

test('what is sent behind an answer that closes is not begun', async (t) => {
  const held = new HeldAnswers();
  const { origin, harness } = await stage(t, held.script);
  const caller = await RawClient.connect(harness.port);
  caller.send('GET', '/read/1', 'r1');
  caller.send('GET', '/read/2', 'r2');
  await waitUntil(() => held.paths.length === 2);
  harness.proxy.stop();
  held.release('/read/2');
  const { task } = harness.proxy;
  await waitUntil(() => Object.keys(task.peek().requests).length === 1);
  caller.send('POST', '/order/3', 'r3', 'pay');
  held.release('/read/1');
  await waitUntil(() => ended(caller));
  t.deepEqual(statuses(caller), [200, 200]);
  t.deepEqual(
    origin.requests.map(({ path }) => path),
    ['/read/1', '/read/2'],
  );
});

test('an answer is under way until its caller has all of it', async (t) => {
  const size = maxBufferedBodyBytes + 8_000_000;
  const { harness } = await stage(t, (request, socket) => {
    const fields = { ...responseFieldsFor(request), 'content-length': String(size) };
    socket.write(responseBytes(200, fields, '') + 'x'.repeat(size));
  });
  const caller = await RawClient.connect(harness.port);
  caller.send('GET', '/read/large', 'r1');
  await waitUntil(() => caller.text.length > 0);
  caller.socket.pause();
  await waitUntil(() => Object.keys(harness.proxy.task.peek().requests).length === 0);
  harness.proxy.stop();
  t.is(harness.proxy.inFlightCount(), 1);
  caller.socket.resume();
  await caller.waitForResponses(1);
  t.is(caller.responses()[0]?.body.length, size);
  await waitUntil(() => harness.proxy.inFlightCount() === 0);
});

test('resting connections are kept for the time in force, and told no other', async (t) => {
  const { harness } = await stage(
    t,
    (request, socket) => {
      socket.write(validResponse(request));
    },
    { idleMs: 44_500 },
  );
  const accepted: Socket[] = [];
  harness.server.on('connection', (socket: Socket) => accepted.push(socket));
  /** What was told of the rest, and whether it is kept that long and at most two seconds longer. */
  const restOf = async (caller: RawClient, id: string): Promise<readonly [string, boolean]> => {
    const before = caller.responses().length;
    caller.send('GET', '/read/1', id);
    const answers = await caller.waitForResponses(before + 1);
    const told = /keep-alive: timeout=(\d+)/i.exec(answers[before]?.head ?? '')?.[1];
    await waitUntil(() => accepted[0]?.timeout !== 0);
    const margin = (accepted[0]?.timeout ?? 0) - 1_000 * Number(told);
    return [told ?? '', margin >= 500 && margin <= 2_000];
  };
  const caller = await RawClient.connect(harness.port);
  await waitUntil(() => accepted.length === 1 && harness.server.keepAliveTimeout === 45_900);
  t.deepEqual(await restOf(caller, 'r1'), ['45', true]);
  // A newer config holds for the connections that are there.
  harness.feed.policy = { revision: 2, document: policyOf({ idleMs: 90_000 }) };
  await waitUntil(() => harness.server.keepAliveTimeout === 90_900);
  t.deepEqual(await restOf(caller, 'r2'), ['90', true]);
  // One that says nothing goes back to the default.
  harness.feed.policy = { revision: 3, document: policyOf() };
  await waitUntil(() => harness.server.keepAliveTimeout === 30_900);
  t.deepEqual(await restOf(caller, 'r3'), ['30', true]);
});

test('no bound on rest while a request is at work', async (t) => {
  const held = new HeldAnswers();
  const { harness } = await stage(t, held.script, { idleMs: 1 });
  const accepted: Socket[] = [];
  harness.server.on('connection', (socket: Socket) => accepted.push(socket));
  const caller = await RawClient.connect(harness.port);
  caller.send('GET', '/read/1', 'r1');
  caller.send('GET', '/read/2', 'r2');
  await waitUntil(() => held.paths.length === 2);
  t.is(accepted[0]?.timeout, 0);
  held.release('/read/1');
  await caller.waitForResponses(1);
  t.is(accepted[0]?.timeout, 0);
  held.release('/read/2');
  await caller.waitForResponses(2);
  t.deepEqual(statuses(caller), [200, 200]);
});

test('heads and bodies up to the bounds in force are taken, larger ones refused', async (t) => {
  const { harness } = await stage(
    t,
    (request, socket) => {
      socket.write(validResponse(request));
    },
    { headBytes: 40_000, bodyBytes: 5_000_000 },
    { bodyBytes: 5_000_000 },
  );
  const probe = async (headBytes: number, bodyBytes: number): Promise<readonly number[]> => {
    const caller = await RawClient.connect(harness.port);
    const more = `x-long: ${'x'.repeat(headBytes)}\r\n`;
    caller.send('POST', '/order/1', 'r1', 'x'.repeat(bodyBytes), more);
    await caller.waitForResponses(1);
    return statuses(caller);
  };
  await waitUntil(
    () => 'maxHeaderSize' in harness.server && harness.server.maxHeaderSize === 40_000,
  );
  t.deepEqual(await probe(39_000, 5_000_000), [200]);
  t.deepEqual(await probe(41_000, 1), [431]);
  t.deepEqual(await probe(10, 5_000_001), [413]);
});
