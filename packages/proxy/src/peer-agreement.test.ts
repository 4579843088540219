import test from 'ava';
import type { ExecutionContext } from 'ava';
import { leaseDurationMs } from '@reedyard/agent';
import { Schemas } from '@reedyard/schemas';
import { type ClientRequest, ProxyCore, type ProxyEvent, type ProxyState } from './index.js';
import {
  type Harness,
  originEndpoint,
  policyOf,
  RawClient,
  startHarness,
} from './testing/proxy-harness.js';
import {
  applyEvents,
  arrivalOf,
  clientRequestOf,
  effectsOf,
  feedOf,
  origin,
  policy,
  responseOf,
  startedProxy,
} from './testing/reducer-harness.js';
import { startScriptedOrigin, validResponse } from './testing/scripted-origin.js';

const forwardedArrival = (id: number, target: string, part: Partial<ClientRequest>): ProxyEvent =>
  ({
    ...arrivalOf(id, 'GET', 1_000, target),
    clientRequest: { ...clientRequestOf('GET', target), via: 'z', ...part },
  }) as ProxyEvent;

/** A proxy that serves while isolated: its allowance is no lease. */
const isolatedProxy = (): ProxyState => startedProxy({ ...feedOf(), provenLeaseMs: 0 });

const statusOf = (state: ProxyState, event: ProxyEvent): number | string | undefined => {
  const { effects } = ProxyCore.reduce(state, event);
  const id = 'requestId' in event ? event.requestId : 0;
  return (
    effectsOf(effects, 'send-answer', id)[0]?.answer.status ??
    effectsOf(effects, 'send-attempt', id)[0]?.to.kind
  );
};

// Guards against a node in touch passing on what a peer decides by an outdated policy (review case 2).
test('a refusal of a peer is not passed on to the client, whatever its status', (t) => {
  for (const status of [404, 405, 413, 503]) {
    const { state } = applyEvents([arrivalOf(1, 'GET', 1_000, '/homed/1')], startedProxy());
    const { effects } = ProxyCore.reduce(state, {
      kind: 'attempt-answered',
      requestId: 1,
      attempt: 0,
      answer: responseOf('t1-0', {
        status,
        headers: { 'reedyard-attempt': 't1-0', 'reedyard-outcome': 'not-run' },
      }),
      now: 1_010,
    });
    t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.status, 503, `${status}`);
  }
});

test('an isolated node serves its own clients and isolated peers, but no peer that has a lease', (t) => {
  const isolated = isolatedProxy();
  const target = '/sheets/1';
  t.is(statusOf(isolated, arrivalOf(1, 'GET', 1_000, target)), 'origin');
  t.is(statusOf(isolated, forwardedArrival(2, target, {})), 'origin');
  t.is(statusOf(isolated, forwardedArrival(3, target, { requiresLease: true })), 503);
  t.is(statusOf(startedProxy(), forwardedArrival(4, target, { requiresLease: true })), 'origin');
});

const failedAttempt = (now: number): ProxyEvent => ({
  kind: 'attempt-failed',
  requestId: 1,
  attempt: 0,
  sent: 'nothing',
  why: 'connect',
  now,
});

test('a request of a peer with a lease is not served after the lease, though an allowance remains', (t) => {
  const isolatedAt = 900 + leaseDurationMs;
  for (const requiresLease of [true, false]) {
    const { state } = applyEvents([forwardedArrival(1, '/sheets/1', { requiresLease })], {
      ...startedProxy(),
      retryTokens: { store: 3 },
    });
    const feed = { ...feedOf(), policy: null, provenLeaseMs: 0 };
    const isolated: ProxyEvent = {
      kind: 'feed-received',
      feed,
      askedAt: isolatedAt - 100,
      now: isolatedAt - 100,
    };
    const { effects } = applyEvents([isolated, failedAttempt(isolatedAt)], state);
    t.is(effectsOf(effects, 'send-attempt', 1).length, requiresLease ? 0 : 1);
    const answers = effectsOf(effects, 'send-answer', 1).map(({ answer }) => answer.status);
    t.deepEqual(answers, requiresLease ? [503] : []);
  }
});

test('a forwarded request is served only by the service that its peer drew, and never refused by policy', (t) => {
  const proxy = startedProxy();
  t.is(statusOf(proxy, forwardedArrival(1, '/sheets/1', { service: 'store' })), 'origin');
  t.is(statusOf(proxy, forwardedArrival(2, '/sheets/1', { service: 'archive' })), 503);
  t.is(statusOf(proxy, forwardedArrival(3, '/added-later/1', {})), 503);
  t.is(statusOf(proxy, arrivalOf(4, 'GET', 1_000, '/added-later/1')), 404);
});

test('a forwarded request is not served by another service after a change of the policy', (t) => {
  const document = Schemas.policy({
    services: { store: {}, archive: {} },
    routes: policy.routes.map((route) => ({ ...route, service: 'archive' })),
  });
  const changed: ProxyEvent = {
    kind: 'feed-received',
    feed: feedOf({
      policy: { revision: 2, document },
      policyRevision: 2,
      origins: [{ ...origin, service: 'archive', rate: Infinity }],
      slices: { archive: Infinity },
    }),
    askedAt: 1_010,
    now: 1_010,
  };
  for (const service of ['store', null]) {
    const { state } = applyEvents([forwardedArrival(1, '/sheets/1', { service })], {
      ...startedProxy(),
      retryTokens: { store: 3, archive: 3 },
    });
    const { effects } = applyEvents([changed, failedAttempt(1_020)], state);
    t.is(effectsOf(effects, 'send-attempt', 1).length, service === null ? 1 : 0);
    const answers = effectsOf(effects, 'send-answer', 1).map(({ answer }) => answer.status);
    t.deepEqual(answers, service === null ? [] : [503]);
  }
});

test('a retry after the refusal of a peer needs no retry token', (t) => {
  const split = { alarms: [['b', 1]] } as const;
  const { state } = applyEvents([arrivalOf(1, 'GET', 1_000, '/alarms/1')], {
    ...startedProxy(feedOf({ split })),
    retryTokens: {},
  });
  const { effects } = ProxyCore.reduce(
    { ...state, retryTokens: {} },
    {
      kind: 'attempt-answered',
      requestId: 1,
      attempt: 0,
      answer: responseOf('t1-0', {
        status: 503,
        headers: {
          'reedyard-attempt': 't1-0',
          'reedyard-outcome': 'not-run',
          'reedyard-refusal': 'policy',
          'reedyard-spent': '0',
        },
      }),
      now: 1_010,
    },
  );
  t.is(effectsOf(effects, 'send-attempt', 1)[0]?.to.kind, 'origin');
});

/** A proxy that forwards the routes `read` and `kept` to a second one, with an origin behind each. */
const startPair = async (t: ExecutionContext): Promise<{ near: Harness; far: Harness }> => {
  const standIn = await startScriptedOrigin((request, socket) =>
    socket.write(validResponse(request)),
  );
  const origins = [originEndpoint(standIn.port)];
  const far = await startHarness({ origins }, 'b');
  const address = `127.0.0.1:${far.peerPort}`;
  const near = await startHarness({
    origins,
    peers: [{ id: 'b', zone: 'h', region: 'r', address, delay: 1 }],
    split: { read: [['b', 1]], kept: [['b', 1]], order: [['b', 1]] },
  });
  t.teardown(async () => {
    near.close();
    far.close();
    await standIn.close();
  });
  return { near, far };
};

const get = async (proxy: Harness, path: string): Promise<RawClient> => {
  const client = await RawClient.connect(proxy.port);
  client.send('GET', path, path);
  await client.waitForResponses(1);
  return client;
};

const isServedBy = (client: RawClient, name: string): boolean =>
  new RegExp(`via: .*${name} \\(reedyard\\)`, 'i').test(client.text);

test('over sockets, a peer that is isolated or knows another policy is passed over', async (t) => {
  const { near, far } = await startPair(t);
  const shared = await get(near, '/read/1');
  t.is(shared.responses()[0]?.status, 200);
  t.true(far.proxy.begunCount() > 0, 'the peer serves what both know');
  const begunBefore = far.proxy.begunCount();

  // The peer doesn't know the route: its refusal isn't the client's answer.
  const { routes, ...rest } = policyOf();
  const document = { ...rest, routes: routes.filter(({ name }) => name !== 'read') };
  far.feed.policy = { revision: 2, document };
  await new Promise<void>((resolve) => {
    const check = (): void => {
      if (far.proxy.task.peek().policy?.revision === 2) resolve();
      else setImmediate(check);
    };
    check();
  });
  const withoutRoute = await get(near, '/read/2');
  t.is(withoutRoute.responses()[0]?.status, 200);
  t.true(far.proxy.begunCount() > begunBefore, 'the peer was asked');
  t.is(withoutRoute.responses()[0]?.body, '/read/2');
  t.true(isServedBy(withoutRoute, 'a'));
});

test('over sockets, a node in touch passes on no copy of an isolated peer', async (t) => {
  const standIn = await startScriptedOrigin((request, socket) =>
    socket.write(validResponse(request)),
  );
  const origins = [originEndpoint(standIn.port)];
  const far = await startHarness({ origins, provenLeaseMs: 0 }, 'b');
  const address = `127.0.0.1:${far.peerPort}`;
  const near = await startHarness({
    origins,
    peers: [{ id: 'b', zone: 'h', region: 'r', address, delay: 1 }],
    split: { kept: [['b', 1]] },
  });
  t.teardown(async () => {
    near.close();
    far.close();
    await standIn.close();
  });
  // The isolated peer has a copy, which it serves to its own clients.
  t.is((await get(far, '/kept/1')).responses()[0]?.status, 200);
  t.is((await get(far, '/kept/1')).responses()[0]?.status, 200);
  t.is(standIn.requests.length, 1);
  t.is((await get(near, '/kept/1')).responses()[0]?.status, 200);
  t.is(standIn.requests.length, 2, 'the copy of the isolated peer is not used');
});
