import test from 'ava';
import type { ExecutionContext } from 'ava';
import {
  type Harness,
  originEndpoint,
  RawClient,
  startHarness,
  testWireFormat,
  waitUntil,
} from './testing/proxy-harness.js';
import {
  responseBytes,
  responseFieldsFor,
  type ReceivedRequest,
  type ScriptedOrigin,
  startScriptedOrigin,
  validResponse,
} from './testing/scripted-origin.js';

/** An origin that delays its responses below /order/slow, and spoils those whose path names a status. */
class SpoilingOrigin {
  readonly #delayed: (() => void)[] = [];

  readonly script = (request: ReceivedRequest, socket: { write: (text: string) => void }): void => {
    const status = /status-(\d{3})/.exec(request.path)?.[1];
    if (request.path.startsWith('/order/slow'))
      this.#delayed.push(() => socket.write(validResponse(request)));
    else if (status === undefined) socket.write(validResponse(request));
    else socket.write(validResponse(request).replace('HTTP/1.1 200', `HTTP/1.1 ${status}`));
  };

  get delayedCount(): number {
    return this.#delayed.length;
  }

  releaseAll(): void {
    this.#delayed.splice(0).forEach((release) => release());
  }
}

const startSetup = async (
  t: ExecutionContext,
  wireFormat = testWireFormat,
): Promise<{ spoiling: SpoilingOrigin; origin: ScriptedOrigin; harness: Harness }> => {
  const spoiling = new SpoilingOrigin();
  const origin = await startScriptedOrigin(spoiling.script);
  const harness = await startHarness({ origins: [originEndpoint(origin.port)] }, 'a', wireFormat);
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  return { spoiling, origin, harness };
};

const send = async (port: number, method: string, path: string, id: string): Promise<RawClient> => {
  const client = await RawClient.connect(port);
  client.send(method, path, id, method === 'POST' ? 'pay' : '');
  return client;
};

// Guards against one spoiled status line of an origin ending the proxy and all its requests (review case 1).
test('a response with a status that is no final status fails its own request only', async (t) => {
  const { spoiling, origin, harness } = await startSetup(t);
  const slow = await send(harness.port, 'POST', '/order/slow', 'slow');
  await waitUntil(() => spoiling.delayedCount === 1);
  for (const status of ['000', '001', '099', '101', '600', '999']) {
    const path = `/order/status-${status}`;
    const order = await send(harness.port, 'POST', path, `o${status}`);
    t.is((await order.waitForResponses(1))[0]?.status, 502, `order ${status}`);
    t.false(order.text.includes('x-stamp'), `order ${status}`);
    const runs = origin.requests.filter((request) => request.path === path);
    t.is(runs.length, 1, `order ${status} is not repeated`);
    const read = await send(harness.port, 'GET', `/read/status-${status}`, `r${status}`);
    t.is((await read.waitForResponses(1))[0]?.status, 502, `read ${status}`);
  }
  spoiling.releaseAll();
  t.is((await slow.waitForResponses(1))[0]?.status, 200);
  t.is(slow.responses()[0]?.body, '/order/slow');
  const next = await send(harness.port, 'GET', '/read/next', 'next');
  t.is((await next.waitForResponses(1))[0]?.status, 200);
});

test('final statuses of an origin are passed on as they are', async (t) => {
  const { harness } = await startSetup(t);
  for (const status of [200, 299, 404, 500]) {
    const client = await send(harness.port, 'POST', `/order/status-${status}`, `s${status}`);
    t.is((await client.waitForResponses(1))[0]?.status, status);
  }
});

test('a spoiled response of a peer fails its own request only', async (t) => {
  const peer = await startScriptedOrigin((request, socket) => {
    const status = request.path.startsWith('/read/spoiled') ? 0 : 200;
    const attemptId = request.headers['reedyard-attempt'] ?? '';
    const fields = { 'reedyard-attempt': attemptId, 'reedyard-service': 'store' };
    const bytes = responseBytes(status, { ...responseFieldsFor(request), ...fields }, request.path);
    socket.write(bytes.replace('HTTP/1.1 0 ', 'HTTP/1.1 000 '));
  });
  const address = `127.0.0.1:${peer.port}`;
  const harness = await startHarness({
    peers: [{ id: 'b', zone: 'h', region: 'r', address, delay: 1 }],
    split: { read: [['b', 1]] },
  });
  t.teardown(async () => {
    harness.close();
    await peer.close();
  });
  const statuses: (number | undefined)[] = [];
  for (const path of ['/read/1', '/read/spoiled', '/read/2']) {
    const client = await send(harness.port, 'GET', path, path);
    statuses.push((await client.waitForResponses(1))[0]?.status);
  }
  // Without an origin, nothing else can serve the second request; the peer is ejected for the third.
  t.deepEqual(statuses, [200, 502, 503]);
});

// Guards against an unforeseen response ending the proxy wherever the wire format or Node throws.
test('an error while a response is read or written ends its own request only', async (t) => {
  const { spoiling, harness } = await startSetup(t, {
    ...testWireFormat,
    readOriginResponse: (status, headers, attempt) => {
      if (attempt.headers['x-request'] === 'unreadable') throw new Error('cannot be read');
      return testWireFormat.readOriginResponse(status, headers, attempt);
    },
    clientResponseHeaders: (response) =>
      response.asked['x-request'] === 'unwritable'
        ? { ...response.headers, 'x-invalid': 'a\u0000b' }
        : response.headers,
  });
  const slow = await send(harness.port, 'POST', '/order/slow', 'slow');
  await waitUntil(() => spoiling.delayedCount === 1);
  for (const id of ['unreadable', 'unwritable']) {
    const client = await send(harness.port, 'POST', `/order/${id}`, id);
    t.is((await client.waitForResponses(1))[0]?.status, 502, id);
  }
  spoiling.releaseAll();
  t.is((await slow.waitForResponses(1))[0]?.status, 200);
  t.is(harness.proxy.inFlightCount(), 0);
});
