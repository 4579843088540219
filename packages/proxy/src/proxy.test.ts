import test from 'ava';
import { leaseDurationMs } from '@reedyard/agent';
import {
  type AttemptResponse,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyState,
  present,
  ProxyCore,
} from './index.js';
import { defaultAttemptTimeoutMs } from './serving.js';
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
import { cacheWithoutLeaseMs } from './tick-handler.js';

const permutationsOf = <T>(list: readonly T[]): readonly (readonly T[])[] =>
  list.length < 2
    ? [list]
    : list.flatMap((first, index) =>
        permutationsOf([...list.slice(0, index), ...list.slice(index + 1)]).map((rest) => [
          first,
          ...rest,
        ]),
      );

test('in every order of the events of one request, it gets at most one response, is closed once, and never runs twice if it is unsafe', (t) => {
  let permutationCount = 0;
  for (const method of ['GET', 'POST']) {
    const eventMakers: readonly ((now: number) => ProxyEvent)[] = [
      (now) => ({
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: responseOf('t1-0'),
        now,
      }),
      (now) => ({
        kind: 'attempt-failed',
        requestId: 1,
        attempt: 0,
        sent: 'maybe',
        why: 'cut',
        now,
      }),
      (now) => ({ kind: 'client-left', requestId: 1, now }),
      (now) => ({ kind: 'tick', now: now + defaultAttemptTimeoutMs }),
      (now) => ({
        kind: 'feed-received',
        feed: feedOf({
          policy: null,
          purges: [{ seq: 1, purge: { objects: ['a.example/sheets/1'], tags: [] } }],
          purgeSeq: 1,
        }),
        askedAt: now,
        now,
      }),
      (now) => ({
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 1,
        answer: responseOf('t1-1'),
        now,
      }),
    ];
    for (const order of permutationsOf(eventMakers)) {
      const { state, effects } = applyEvents(
        [
          arrivalOf(1, method, 1_000),
          ...order.map((make, index) => make(1_010 + index)),
          { kind: 'tick', now: 60_000 },
          { kind: 'tick', now: 60_025 },
        ],
        startedProxy(),
      );
      const attempts = effectsOf(effects, 'send-attempt', 1);
      const clientLeftIndex = order.findIndex((make) => make(0).kind === 'client-left');
      permutationCount += 1;
      t.true(effectsOf(effects, 'send-answer', 1).length <= 1);
      t.is(
        effectsOf(effects, 'close-request', 1).length,
        1,
        `${method} ${order.map((make) => make(0).kind).join(' ')}`,
      );
      t.true(clientLeftIndex >= 0 && attempts.length >= 1);
      t.is(Object.keys(state.requests).length, 0);
      if (method === 'POST') t.is(attempts.length, 1);
    }
  }
  t.is(permutationCount, 1_440);
});

test('a response with another attempt id or origin id, or without an origin id, is never relayed', (t) => {
  for (const invalid of [
    responseOf('t9-0'),
    responseOf('t1-0', { headers: { 'reedyard-attempt': 't1-0' } }),
    responseOf('t1-0', { headers: { 'reedyard-stamp': 'store/o1/2', 'reedyard-attempt': 't1-0' } }),
  ]) {
    const { effects } = applyEvents(
      [
        arrivalOf(1, 'POST', 1_000),
        { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: invalid, now: 1_010 },
      ],
      startedProxy(),
    );
    const [response] = effectsOf(effects, 'send-answer', 1);
    t.is(response?.answer.status, 502);
    t.is(response?.answer.headers['reedyard-outcome'], 'unknown');
    t.is(effectsOf(effects, 'abort-attempt', 1).length, 1);
  }
});

test('after the lease expires, the proxy serves no cached copy, opens no attempt and relays no response to a safe request, but relays one to an unsafe request', (t) => {
  const cached = applyEvents(
    [
      arrivalOf(1, 'GET', 1_000),
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: responseOf('t1-0'),
        now: 1_010,
      },
    ],
    startedProxy(),
  ).state;
  t.is(cached.cache.copies.size, 1);
  t.is(
    effectsOf(applyEvents([arrivalOf(2, 'GET', 1_100)], cached).effects, 'send-answer', 2)[0]
      ?.answer.status,
    200,
  );
  const expiredAt = 900 + leaseDurationMs;
  t.is(
    effectsOf(applyEvents([arrivalOf(2, 'GET', expiredAt)], cached).effects, 'send-answer', 2)[0]
      ?.answer.status,
    503,
  );
  t.is(
    effectsOf(
      applyEvents(
        [
          arrivalOf(2, 'GET', 1_100, '/sheets/2'),
          {
            kind: 'attempt-answered',
            requestId: 2,
            attempt: 0,
            answer: responseOf('t2-0'),
            now: expiredAt,
          },
        ],
        cached,
      ).effects,
      'send-answer',
      2,
    )[0]?.answer.status,
    502,
  );
  t.is(
    effectsOf(
      applyEvents(
        [
          arrivalOf(2, 'POST', 1_100),
          {
            kind: 'attempt-answered',
            requestId: 2,
            attempt: 0,
            answer: responseOf('t2-0'),
            now: expiredAt,
          },
        ],
        cached,
      ).effects,
      'send-answer',
      2,
    )[0]?.answer.status,
    200,
  );
});

// Guards against a node without a lease dropping answers that no purge concerns (review case 4).
test('after the lease expires, a response on a route without a cache is relayed, also to a safe request', (t) => {
  const { state } = applyEvents([arrivalOf(1, 'GET', 1_000, '/alarms/1')], startedProxy());
  const late = 900 + leaseDurationMs + 1;
  const response = responseOf('t1-0');
  const { effects } = ProxyCore.reduce(state, {
    kind: 'attempt-answered',
    requestId: 1,
    attempt: 0,
    answer: response,
    now: late,
  });
  t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.status, 200);
  t.is(effectsOf(effects, 'abort-attempt', 1).length, 0);
});

test('outside its home regions, a route is forwarded to a peer inside and not cached; without such a peer it is not served', (t) => {
  const { state, effects } = applyEvents(
    [
      arrivalOf(1, 'GET', 1_000, '/homed/1'),
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: responseOf('t1-0'),
        now: 1_010,
      },
    ],
    startedProxy(),
  );
  t.is(effectsOf(effects, 'send-attempt', 1)[0]?.to.kind, 'peer');
  t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.status, 200);
  t.is(state.cache.copies.size, 0);
  const withoutPeers = applyEvents(
    [arrivalOf(1, 'GET', 1_000, '/homed/1')],
    startedProxy(feedOf({ peers: [] })),
  ).effects;
  t.is(effectsOf(withoutPeers, 'send-answer', 1)[0]?.answer.status, 503);
  t.is(effectsOf(withoutPeers, 'send-attempt', 1).length, 0);
});

test('a request from a peer is served on this node, never forwarded', (t) => {
  const split = { sheets: [['b', 1] as const] };
  const from = (via: string | null): ProxyEvent => ({
    kind: 'request-arrived',
    requestId: 1,
    clientRequest: { ...clientRequestOf('GET'), via },
    randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
    token: 't1',
    now: 1_000,
  });
  t.is(
    effectsOf(
      applyEvents([from(null)], startedProxy(feedOf({ split }))).effects,
      'send-attempt',
      1,
    )[0]?.to.kind,
    'peer',
  );
  t.is(
    effectsOf(
      applyEvents([from('b')], startedProxy(feedOf({ split }))).effects,
      'send-attempt',
      1,
    )[0]?.to.kind,
    'origin',
  );
});

test('servers are drawn by the shares in the routing table row', (t) => {
  const split = { sheets: [['a', 0.3] as const, ['b', 0.7] as const] };
  let forwardedCount = 0;
  for (let number = 0; number < 100; number += 1) {
    const event: ProxyEvent = {
      kind: 'request-arrived',
      requestId: 1,
      clientRequest: clientRequestOf('GET'),
      randomNumbers: [(number + 0.5) / 100, 0.5, 0.5, 0.5, 0.5],
      token: 't1',
      now: 1_000,
    };
    if (
      effectsOf(applyEvents([event], startedProxy(feedOf({ split }))).effects, 'send-attempt', 1)[0]
        ?.to.kind === 'peer'
    )
      forwardedCount += 1;
  }
  t.is(forwardedCount, 70);
});

test('in every order of a claim, a policy, a failed attempt and a tick, no attempt is opened that the newest policy forbids', (t) => {
  const [sheets, homed] = policy.routes;
  if (sheets === undefined || homed === undefined) {
    t.fail();
    return;
  }
  const services = { ...policy.services, other: { ceiling: 1_000, coldRate: 10 } };
  const newPolicies: Readonly<Record<string, typeof policy>> = {
    removed: { ...policy, routes: [homed] },
    moved: { services, routes: [{ ...sheets, service: 'other' }, homed] },
    away: { ...policy, routes: [{ ...sheets, homes: ['far'] }, homed] },
    methods: { ...policy, routes: [{ ...sheets, methods: ['OPTIONS'] }, homed] },
    sooner: { ...policy, routes: [{ ...sheets, limits: { requestMs: 5 } }, homed] },
  };
  for (const [name, document] of Object.entries(newPolicies))
    for (const hasKey of [true, false])
      for (const method of ['GET', 'POST']) {
        const eventMakers: readonly ((now: number) => ProxyEvent)[] = [
          (now) => ({ kind: 'claim-answered', requestId: 1, reply: { kind: 'granted' }, now }),
          (now) => ({
            kind: 'feed-received',
            feed: feedOf({
              policy: { revision: 2, document },
              policyRevision: 2,
              slices: { store: 1_000, other: 1_000 },
            }),
            askedAt: now,
            now,
          }),
          (now) => ({
            kind: 'attempt-failed',
            requestId: 1,
            attempt: 0,
            sent: 'nothing',
            why: 'connect',
            now,
          }),
          (now) => ({ kind: 'tick', now }),
        ];
        const arrival: ProxyEvent = {
          ...(arrivalOf(1, method, 1_000) as Extract<ProxyEvent, { kind: 'request-arrived' }>),
          clientRequest: {
            ...clientRequestOf(method),
            headers: hasKey ? { 'idempotency-key': 'k' } : {},
            digest: hasKey ? 'd' : null,
          },
        };
        for (const order of permutationsOf(eventMakers)) {
          let state = startedProxy();
          const effects: ProxyEffect[] = [];
          let responseCount = 0;
          for (const [index, event] of [
            arrival,
            ...order.map((make, position) => make(1_010 + position)),
            { kind: 'tick', now: 9_000 } as const,
            { kind: 'tick', now: 20_000 } as const,
          ].entries()) {
            const step = ProxyCore.reduce(state, event);
            state = step.state;
            effects.push(...step.effects);
            responseCount += effectsOf(step.effects, 'send-answer', 1).length;
            const attempts = effectsOf(step.effects, 'send-attempt', 1);
            const label = `${name} ${method} ${hasKey ? 'key' : 'no key'} at event ${index}`;
            if (state.policy?.revision === 2)
              t.false(
                attempts.some(({ to }) => to.kind === 'origin' && name !== 'sooner'),
                label,
              );
            if (state.policy?.revision === 2 && (name === 'removed' || name === 'methods'))
              t.is(attempts.length, 0, label);
          }
          t.true(responseCount <= 1);
          t.is(Object.keys(state.requests).length, 0);
          // If provably nothing ran, the claim is settled so that the key may be used again.
          const [response] = effectsOf(effects, 'send-answer', 1);
          if (
            hasKey &&
            method === 'POST' &&
            response?.answer.headers['reedyard-outcome'] === 'not-run'
          )
            t.true(
              effectsOf(effects, 'query-agent', 1).some(
                ({ query }) => query.kind === 'settle' && query.state === 'not-run',
              ),
            );
        }
      }
});

test('cached copies are dropped when their route is removed, moves to another service or region, or may be cached for a shorter time', (t) => {
  const cached = applyEvents(
    [
      arrivalOf(1, 'GET', 1_000),
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: responseOf('t1-0'),
        now: 1_010,
      },
    ],
    startedProxy(),
  ).state;
  const [sheets, homed] = policy.routes;
  if (sheets === undefined || homed === undefined) {
    t.fail();
    return;
  }
  const stateUnder = (routes: typeof policy.routes, now = 1_020): ProxyState =>
    applyEvents(
      [
        {
          kind: 'feed-received',
          feed: feedOf({
            policy: {
              revision: 2,
              document: {
                services: { ...policy.services, other: { ceiling: 9, coldRate: 1 } },
                routes,
              },
            },
            policyRevision: 2,
          }),
          askedAt: now,
          now,
        },
      ],
      cached,
    ).state;
  t.is(stateUnder([sheets, homed]).cache.copies.size, 1);
  t.is(stateUnder([homed]).cache.copies.size, 0);
  t.is(stateUnder([{ ...sheets, service: 'other' }, homed]).cache.copies.size, 0);
  t.is(
    stateUnder([sheets, homed, { ...sheets, name: 'deeper', path: '/sheets/1', service: 'other' }])
      .cache.copies.size,
    0,
  );
  t.is(stateUnder([{ ...sheets, homes: ['far'] }, homed]).cache.copies.size, 0);
  t.is(stateUnder([{ ...sheets, cache: { keep: 'never' } }, homed]).cache.copies.size, 0);
  const shorter = stateUnder([{ ...sheets, cache: { keep: 'origin', mostSeconds: 1 } }, homed]);
  t.is(
    effectsOf(applyEvents([arrivalOf(2, 'GET', 1_900)], shorter).effects, 'send-answer', 2)[0]
      ?.answer.headers['reedyard-served'],
    'copy',
  );
  t.is(
    effectsOf(applyEvents([arrivalOf(2, 'GET', 2_015)], shorter).effects, 'send-attempt', 2).length,
    1,
  );
  // In a fleet of several regions, a proxy drops its copies when it has had no lease for some time.
  t.is(
    applyEvents([{ kind: 'tick', now: cached.leaseUntil + cacheWithoutLeaseMs - 1 }], cached).state
      .cache.copies.size,
    1,
  );
  t.is(
    applyEvents([{ kind: 'tick', now: cached.leaseUntil + cacheWithoutLeaseMs + 1 }], cached).state
      .cache.copies.size,
    0,
  );
});

test('a request that waits for a fetch from under an older policy is served under the newer one', (t) => {
  const [sheets, homed] = policy.routes;
  if (sheets === undefined || homed === undefined) {
    t.fail();
    return;
  }
  const moved = {
    services: { ...policy.services, other: { ceiling: 1_000, coldRate: 10 } },
    routes: [{ ...sheets, service: 'other' }, homed],
  };
  const feed = feedOf({
    policy: { revision: 2, document: moved },
    policyRevision: 2,
    origins: [origin, { ...origin, service: 'other', instance: 'o2' }],
    slices: { other: 1_000 },
  });
  const { effects, state } = applyEvents(
    [
      arrivalOf(1, 'GET', 1_000),
      arrivalOf(2, 'GET', 1_001),
      { kind: 'feed-received', feed, askedAt: 1_002, now: 1_002 },
      arrivalOf(3, 'GET', 1_003),
      { kind: 'tick', now: 1_400 },
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: responseOf('t1-0'),
        now: 1_410,
      },
      { kind: 'tick', now: 1_600 },
    ],
    startedProxy(),
  );
  t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.status, 200);
  t.is(state.cache.copies.size, 0);
  for (const id of [2, 3])
    t.deepEqual(
      effectsOf(effects, 'send-attempt', id).map(
        ({ to }) => to.kind === 'origin' && to.row.service,
      ),
      ['other'],
      String(id),
    );
});

test('a request without a required idempotency key gets a 400, one with the key of another request a 422', (t) => {
  const requiringKeys = {
    ...policy,
    routes: policy.routes.map((route) => ({ ...route, key: 'required' as const })),
  };
  const state = applyEvents(
    [
      {
        kind: 'feed-received',
        feed: feedOf({ policy: { revision: 2, document: requiringKeys }, policyRevision: 2 }),
        askedAt: 950,
        now: 950,
      },
    ],
    startedProxy(),
  ).state;
  const withoutKey = applyEvents([arrivalOf(1, 'POST', 1_000)], state).effects;
  t.is(effectsOf(withoutKey, 'send-answer', 1)[0]?.answer.status, 400);
  t.is(effectsOf(withoutKey, 'send-attempt', 1).length, 0);
  t.is(
    effectsOf(applyEvents([arrivalOf(1, 'GET', 1_000)], state).effects, 'send-attempt', 1).length,
    1,
  );
  const withKey: ProxyEvent = {
    ...(arrivalOf(1, 'POST', 1_000) as Extract<ProxyEvent, { kind: 'request-arrived' }>),
    clientRequest: { ...clientRequestOf('POST'), headers: { 'idempotency-key': 'k' }, digest: 'd' },
  };
  const conflicting = applyEvents(
    [withKey, { kind: 'claim-answered', requestId: 1, reply: { kind: 'other' }, now: 1_010 }],
    state,
  ).effects;
  t.is(effectsOf(conflicting, 'send-answer', 1)[0]?.answer.status, 422);
  t.is(effectsOf(conflicting, 'send-attempt', 1).length, 0);
});

test('a request for a service without quota immediately gets a 503', (t) => {
  const withoutQuota = startedProxy(feedOf({ slices: { store: 0 } }));
  const { effects } = applyEvents([arrivalOf(1, 'GET', 1_000)], withoutQuota);
  t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.status, 503);
  t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.headers['retry-after'], '1');
});

test('a response is presented as complete, as a range, or as not modified', (t) => {
  t.is(present('GET', { 'if-none-match': '"a"' }, 200, { etag: '"a"' }, 10).status, 304);
  t.deepEqual(
    [present('GET', { range: 'bytes=2-3' }, 200, {}, 10)].map(({ status, from, to }) => [
      status,
      from,
      to,
    ]),
    [[206, 2, 4]],
  );
  t.is(
    present('GET', { range: 'bytes=2-3', 'if-range': '"b"' }, 200, { etag: '"a"' }, 10).status,
    200,
  );
  t.is(present('GET', { range: 'bytes=20-' }, 200, {}, 10).status, 416);
  t.is(present('POST', { range: 'bytes=0-1' }, 200, {}, 10).status, 200);
});

test('a response is cached under the service of its own attempt, even if a later hedge went to another service under a newer policy', (t) => {
  const [sheets, homed] = policy.routes;
  if (sheets === undefined || homed === undefined) {
    t.fail();
    return;
  }
  const moved = {
    services: { ...policy.services, other: { ceiling: 1_000, coldRate: 10 } },
    routes: [{ ...sheets, service: 'other' }, homed],
  };
  const feed = feedOf({
    policy: { revision: 2, document: moved },
    policyRevision: 2,
    origins: [origin, { ...origin, service: 'other', instance: 'o2' }],
    slices: { store: 1_000, other: 1_000 },
  });
  const withRetryTokens: ProxyState = { ...startedProxy(), retryTokens: { store: 3, other: 3 } };
  const { effects, state } = applyEvents(
    [
      arrivalOf(1, 'GET', 1_000),
      { kind: 'feed-received', feed, askedAt: 1_002, now: 1_002 },
      { kind: 'tick', now: 1_700 },
      { kind: 'tick', now: 2_300 },
      { kind: 'tick', now: 2_900 },
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: responseOf('t1-0'),
        now: 2_910,
      },
    ],
    { ...withRetryTokens, leaseUntil: 9_000 },
  );
  t.deepEqual(
    effectsOf(effects, 'send-attempt', 1).map(({ to }) => to.kind === 'origin' && to.row.service),
    ['store', 'other'],
  );
  t.is(effectsOf(effects, 'send-answer', 1)[0]?.answer.status, 200);
  // A response of the store must not be cached for a route that now belongs to another service.
  t.is(state.cache.copies.size, 0);
  const afterSecond = applyEvents(
    [
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 1,
        answer: responseOf('t1-1', {
          headers: {
            'reedyard-stamp': 'other/o2/1',
            'reedyard-attempt': 't1-1',
            'cache-control': 'max-age=60',
          },
        }),
        now: 2_920,
      },
    ],
    state,
  );
  t.is(effectsOf(afterSecond.effects, 'send-answer', 1).length, 0);
  t.is(Object.keys(afterSecond.state.requests).length, 0);
  t.deepEqual(afterSecond.state.inFlightCounts, {});
});

test('a safe request is hedged at another origin and served by the first response; an unsafe one is not hedged', (t) => {
  const twoOrigins = feedOf({
    origins: [origin, { ...origin, instance: 'o2', address: '10.0.0.3:1' }],
  });
  for (const method of ['GET', 'POST'])
    for (const first of [0, 1]) {
      const state: ProxyState = {
        ...startedProxy(twoOrigins),
        retryTokens: { store: 3 },
        leaseUntil: 60_000,
      };
      const hedged = applyEvents(
        [
          arrivalOf(1, method, 1_000),
          { kind: 'tick', now: 2_000 },
          { kind: 'tick', now: 2_600 },
          { kind: 'tick', now: 3_200 },
        ],
        state,
      );
      const attempts = effectsOf(hedged.effects, 'send-attempt', 1);
      if (method === 'POST') {
        t.is(attempts.length, 1);
        continue;
      }
      t.deepEqual(attempts.map(({ to }) => to.kind).sort(), ['origin', 'origin']);
      t.not(attempts[0]?.to.row, attempts[1]?.to.row);
      const reply = (attempt: number): AttemptResponse => {
        const to = attempts[attempt]?.to;
        return responseOf(`t1-${attempt}`, {
          headers: {
            'reedyard-stamp': to?.kind === 'origin' ? `store/${to.row.instance}/1` : '',
            'reedyard-attempt': `t1-${attempt}`,
          },
        });
      };
      const served = applyEvents(
        [
          {
            kind: 'attempt-answered',
            requestId: 1,
            attempt: first,
            answer: reply(first),
            now: 3_210,
          },
        ],
        hedged.state,
      );
      t.is(effectsOf(served.effects, 'send-answer', 1)[0]?.answer.status, 200);
      t.is(effectsOf(served.effects, 'close-request', 1).length, 1);
      // The other attempt is allowed to finish, and its response is relayed to nobody.
      const ended = applyEvents(
        [
          {
            kind: 'attempt-answered',
            requestId: 1,
            attempt: 1 - first,
            answer: reply(1 - first),
            now: 3_220,
          },
        ],
        served.state,
      );
      t.is(
        effectsOf(ended.effects, 'send-answer', 1).length +
          effectsOf(ended.effects, 'close-request', 1).length,
        0,
      );
      t.is(Object.keys(ended.state.requests).length, 0);
      t.deepEqual(ended.state.inFlightCounts, {});
    }
});

/** A proxy whose routes allow the stated number of attempts, and which forwards each request to its peer. */
const forwardingProxy = (attempts: number): ProxyState => {
  const limited = {
    ...policy,
    routes: policy.routes.map((route) => ({ ...route, limits: { attempts } })),
  };
  const feed = feedOf({
    policy: { revision: 1, document: limited },
    split: { sheets: [['b', 1] as const] },
    origins: [origin, { ...origin, instance: 'o2', address: '10.0.0.3:1' }],
  });
  return { ...startedProxy(feed), retryTokens: { store: 3 }, leaseUntil: 60_000 };
};

test('attempts granted to a peer count as consumed until it reports fewer, so that both nodes together stay within the limit of the route', (t) => {
  const rejected = (consumed: string | null): ProxyEvent => ({
    kind: 'attempt-answered',
    requestId: 1,
    attempt: 0,
    now: 1_050,
    answer: {
      ...responseOf('t1-0'),
      status: 503,
      headers: {
        'reedyard-attempt': 't1-0',
        'reedyard-outcome': 'not-run',
        ...(consumed === null ? {} : { 'reedyard-spent': consumed }),
      },
    },
  });
  const failed = (sent: 'nothing' | 'maybe'): ProxyEvent => ({
    kind: 'attempt-failed',
    requestId: 1,
    attempt: 0,
    sent,
    why: 'cut',
    now: 1_050,
  });
  const unresponsive: ProxyEvent = { kind: 'tick', now: 2_000 };
  const cases: readonly (readonly [
    attempts: number,
    granted: number,
    event: ProxyEvent,
    attemptCount: number,
  ])[] = [
    [2, 1, unresponsive, 2],
    [2, 1, failed('maybe'), 2],
    [2, 1, rejected('1'), 2],
    [2, 1, rejected(null), 2],
    [1, 1, unresponsive, 1],
    [1, 1, failed('maybe'), 1],
    [1, 1, rejected('1'), 1],
    [1, 1, rejected(null), 1],
    [1, 1, failed('nothing'), 2],
    [1, 1, rejected('0'), 2],
    [3, 2, unresponsive, 2],
    [3, 2, failed('maybe'), 2],
  ];
  for (const [attempts, granted, event, attemptCount] of cases) {
    const label = `${attempts} ${JSON.stringify(event)}`;
    const { effects } = applyEvents(
      [arrivalOf(1, 'GET', 1_000), event, { kind: 'tick', now: 2_100 }],
      forwardingProxy(attempts),
    );
    const opened = effectsOf(effects, 'send-attempt', 1);
    t.is(opened[0]?.to.kind, 'peer', label);
    t.is(opened[0]?.delegatedAttempts, granted, label);
    t.is(opened.length, attemptCount, label);
    t.true(
      opened.reduce((sum, effect) => sum + effect.delegatedAttempts, 0) <= attempts ||
        attemptCount === 2,
      label,
    );
  }
});

test('a forwarded request stays within its granted attempts, and its response reports how many it consumed', (t) => {
  const forwarded: ProxyEvent = {
    kind: 'request-arrived',
    requestId: 1,
    clientRequest: { ...clientRequestOf('GET'), via: 'z', attempts: 1 },
    randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
    token: 't1',
    now: 1_000,
  };
  const state = forwardingProxy(3);
  const unanswered = applyEvents(
    [forwarded, { kind: 'tick', now: 2_000 }, { kind: 'tick', now: 2_600 }],
    state,
  ).effects;
  t.is(effectsOf(unanswered, 'send-attempt', 1).length, 1);
  const failed = applyEvents(
    [
      forwarded,
      { kind: 'attempt-failed', requestId: 1, attempt: 0, sent: 'maybe', why: 'cut', now: 1_050 },
    ],
    state,
  ).effects;
  t.is(effectsOf(failed, 'send-attempt', 1).length, 1);
  t.is(effectsOf(failed, 'send-answer', 1)[0]?.answer.headers['reedyard-spent'], '1');
  const rejected = applyEvents([{ ...forwarded, now: 61_000 }], state).effects;
  t.is(effectsOf(rejected, 'send-answer', 1)[0]?.answer.headers['reedyard-spent'], '0');
});
