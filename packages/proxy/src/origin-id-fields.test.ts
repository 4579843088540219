import test from 'ava';
import type { ExecutionContext } from 'ava';
import {
  responseBytes,
  responseFieldsFor,
  validResponse,
  startScriptedOrigin,
  type Script,
  type ReceivedRequest,
} from './testing/scripted-origin.js';
import {
  originEndpoint,
  RawClient,
  startHarness,
  waitUntil,
  type Harness,
} from './testing/proxy-harness.js';

type Fleet = { readonly near: Harness; readonly far: Harness };

/** An origin, a proxy that reaches it, and a second proxy that forwards every request to the first. */
const startFleet = async (t: ExecutionContext, script: Script): Promise<Fleet> => {
  const origin = await startScriptedOrigin(script);
  const far = await startHarness({ origins: [originEndpoint(origin.port)] }, 'far');
  const peer = {
    id: 'far',
    zone: 'h',
    region: 'r',
    address: `127.0.0.1:${far.peerPort}`,
    delay: 0,
  };
  const split = Object.fromEntries(
    ['read', 'order', 'kept'].map((route) => [`${route} @near`, [['far', 1]]]),
  ) as Harness['feed']['split'];
  const near = await startHarness({ peers: [peer], split }, 'near');
  t.teardown(async () => {
    near.close();
    far.close();
    await origin.close();
  });
  return { near, far };
};

const send = async (
  proxy: Harness,
  method: string,
  path: string,
  extraFields = '',
): Promise<RawClient> => {
  const client = await RawClient.connect(proxy.port);
  client.send(method, path, 'r1', method === 'POST' ? 'pay' : '', extraFields);
  await client.waitForResponses(1);
  return client;
};

const statusAndId = (client: RawClient): readonly [number | undefined, boolean] => [
  client.responses()[0]?.status,
  /x-stamp/i.test(client.text),
];

/** How the origin responds, and the status and origin id field that the client must receive. */
const cases: Readonly<Record<string, { respond: Script; expected: readonly [number, boolean] }>> = {
  'an error of the origin': {
    respond: (request, socket) =>
      socket.write(responseBytes(500, responseFieldsFor(request), 'failed')),
    expected: [500, true],
  },
  'a client error of the origin': {
    respond: (request, socket) =>
      socket.write(responseBytes(404, responseFieldsFor(request), 'none')),
    expected: [404, true],
  },
  'a refusal that states not-run': {
    respond: (request, socket) =>
      socket.write(responseBytes(503, { ...responseFieldsFor(request), 'x-not-run': '1' }, '')),
    expected: [503, false],
  },
  'a refusal that does not state not-run': {
    respond: (request, socket) => socket.write(responseBytes(503, responseFieldsFor(request), '')),
    expected: [502, false],
  },
  'too many requests': {
    respond: (request, socket) =>
      socket.write(responseBytes(429, { ...responseFieldsFor(request), 'x-not-run': '1' }, '')),
    expected: [503, false],
  },
  'the response to another request': {
    respond: (request, socket) =>
      socket.write(
        responseBytes(200, { ...responseFieldsFor(request), 'x-request': 'other' }, 'x'),
      ),
    expected: [502, false],
  },
  'a truncated response': {
    respond: (request, socket) =>
      socket.end(responseBytes(200, { ...responseFieldsFor(request), 'content-length': '9' }, 'x')),
    expected: [502, false],
  },
  'a connection reset': {
    respond: (_request, socket) => socket.resetAndDestroy(),
    expected: [502, false],
  },
};

test('a forwarded origin response carries the origin id field, a response of the proxy does not, also through a peer', async (t) => {
  for (const [name, { respond, expected }] of Object.entries(cases)) {
    const { near, far } = await startFleet(t, respond);
    t.deepEqual(
      statusAndId(await send(far, 'POST', '/order/1')),
      expected,
      `${name}, at the origin`,
    );
    t.deepEqual(
      statusAndId(await send(near, 'POST', '/order/1')),
      expected,
      `${name}, through a peer`,
    );
    t.deepEqual(statusAndId(await send(far, 'GET', '/nowhere')), [404, false], name);
  }
});

test('parts of a cached response carry the origin id field, a 416 and a 304 do not, also through a peer', async (t) => {
  const { near, far } = await startFleet(t, (request, socket) => {
    const fields = { ...responseFieldsFor(request), etag: '"v1"' };
    socket.write(responseBytes(200, fields, request.path));
  });
  t.deepEqual(statusAndId(await send(far, 'GET', '/kept/1')), [200, true]);
  await waitUntil(() => far.proxy.task.peek().cache.copies.size === 1);
  const unsatisfiable = 'range: bytes=500-\r\n';
  const unchanged = 'if-none-match: "v1"\r\n';
  for (const proxy of [far, near]) {
    t.deepEqual(statusAndId(await send(proxy, 'GET', '/kept/1')), [200, true]);
    t.deepEqual(statusAndId(await send(proxy, 'GET', '/kept/1', 'range: bytes=1-2\r\n')), [
      206,
      true,
    ]);
    t.deepEqual(statusAndId(await send(proxy, 'GET', '/kept/1', unsatisfiable)), [416, false]);
    t.deepEqual(statusAndId(await send(proxy, 'GET', '/kept/1', unchanged)), [304, false]);
  }
});

test('a request to a peer that resets the connection is not retried, and the error has no origin id field', async (t) => {
  const received: ReceivedRequest[] = [];
  const failingPeer = await startScriptedOrigin((request, socket) => {
    received.push(request);
    socket.resetAndDestroy();
  });
  const origin = await startScriptedOrigin((request, socket) => {
    socket.write(validResponse(request));
  });
  const address = `127.0.0.1:${failingPeer.port}`;
  const peer = { id: 'far', zone: 'h', region: 'r', address, delay: 0 };
  const split = { 'order @near': [['far', 1]] } as Harness['feed']['split'];
  const origins = [originEndpoint(origin.port)];
  const near = await startHarness({ origins, peers: [peer], split }, 'near');
  t.teardown(async () => {
    near.close();
    await failingPeer.close();
    await origin.close();
  });
  t.deepEqual(statusAndId(await send(near, 'POST', '/order/1')), [502, false]);
  t.is(received.length, 1);
  t.is(origin.requests.length, 0);
});
