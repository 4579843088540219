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

/** An origin, a proxy that reaches it, and one that hands everything on to that one. */
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

const ask = async (at: Harness, method: string, path: string, more = ''): Promise<RawClient> => {
  const caller = await RawClient.connect(at.port);
  caller.send(method, path, 'r1', method === 'POST' ? 'pay' : '', more);
  await caller.waitForResponses(1);
  return caller;
};

const shown = (caller: RawClient): readonly [number | undefined, boolean] => [
  caller.responses()[0]?.status,
  /x-stamp/i.test(caller.text),
];

/** What the origin does, by the last part of the path, and what the caller must be shown. */
const cases: Readonly<Record<string, { answer: Script; expected: readonly [number, boolean] }>> = {
  'its failure': {
    answer: (request, socket) =>
      socket.write(responseBytes(500, responseFieldsFor(request), 'failed')),
    expected: [500, true],
  },
  'its refusal of the request': {
    answer: (request, socket) =>
      socket.write(responseBytes(404, responseFieldsFor(request), 'none')),
    expected: [404, true],
  },
  'a refusal that ran nothing': {
    answer: (request, socket) =>
      socket.write(responseBytes(503, { ...responseFieldsFor(request), 'x-not-run': '1' }, '')),
    expected: [503, false],
  },
  'a refusal that proves nothing': {
    answer: (request, socket) => socket.write(responseBytes(503, responseFieldsFor(request), '')),
    expected: [502, false],
  },
  'too many requests': {
    answer: (request, socket) =>
      socket.write(responseBytes(429, { ...responseFieldsFor(request), 'x-not-run': '1' }, '')),
    expected: [503, false],
  },
  'the answer of another': {
    answer: (request, socket) =>
      socket.write(
        responseBytes(200, { ...responseFieldsFor(request), 'x-request': 'other' }, 'x'),
      ),
    expected: [502, false],
  },
  'a short answer': {
    answer: (request, socket) =>
      socket.end(responseBytes(200, { ...responseFieldsFor(request), 'content-length': '9' }, 'x')),
    expected: [502, false],
  },
  'a reset': { answer: (_request, socket) => socket.resetAndDestroy(), expected: [502, false] },
};

test('an answer of our own bears no stamp, and an origin its failure with its own status, also over a peer', async (t) => {
  for (const [name, { answer, expected }] of Object.entries(cases)) {
    const { near, far } = await startFleet(t, answer);
    t.deepEqual(shown(await ask(far, 'POST', '/order/1')), expected, `${name}, at the origin`);
    t.deepEqual(shown(await ask(near, 'POST', '/order/1')), expected, `${name}, over a peer`);
    t.deepEqual(shown(await ask(far, 'GET', '/nowhere')), [404, false], name);
  }
});

test('parts of a copy bear the stamp, refusals made from it do not, also over a peer', async (t) => {
  const { near, far } = await startFleet(t, (request, socket) => {
    const fields = { ...responseFieldsFor(request), etag: '"v1"' };
    socket.write(responseBytes(200, fields, request.path));
  });
  t.deepEqual(shown(await ask(far, 'GET', '/kept/1')), [200, true]);
  await waitUntil(() => far.proxy.task.peek().cache.copies.size === 1);
  const unsatisfiable = 'range: bytes=500-\r\n';
  const unchanged = 'if-none-match: "v1"\r\n';
  for (const at of [far, near]) {
    t.deepEqual(shown(await ask(at, 'GET', '/kept/1')), [200, true]);
    t.deepEqual(shown(await ask(at, 'GET', '/kept/1', 'range: bytes=1-2\r\n')), [206, true]);
    t.deepEqual(shown(await ask(at, 'GET', '/kept/1', unsatisfiable)), [416, false]);
    t.deepEqual(shown(await ask(at, 'GET', '/kept/1', unchanged)), [304, false]);
  }
});

test('a peer that dies between sending and answering: one run, and no stamp on what is said instead', async (t) => {
  const seen: ReceivedRequest[] = [];
  const dying = await startScriptedOrigin((request, socket) => {
    seen.push(request);
    socket.resetAndDestroy();
  });
  const origin = await startScriptedOrigin((request, socket) => {
    socket.write(validResponse(request));
  });
  const address = `127.0.0.1:${dying.port}`;
  const peer = { id: 'far', zone: 'h', region: 'r', address, delay: 0 };
  const split = { 'order @near': [['far', 1]] } as Harness['feed']['split'];
  const origins = [originEndpoint(origin.port)];
  const near = await startHarness({ origins, peers: [peer], split }, 'near');
  t.teardown(async () => {
    near.close();
    await dying.close();
    await origin.close();
  });
  t.deepEqual(shown(await ask(near, 'POST', '/order/1')), [502, false]);
  t.is(seen.length, 1);
  t.is(origin.requests.length, 0);
});
