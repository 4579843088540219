import test from 'ava';
import { type Feed, leaseDurationMs } from '@reedyard/agent';
import { Schemas } from '@reedyard/schemas';
import {
  type ClientRequest,
  type AttemptResponse,
  present,
  ProxyCore,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyState,
} from './index.js';
import { defaultAttemptTimeoutMs } from './serving.js';
import { cacheWithoutLeaseMs } from './tick-handler.js';

const policy = Schemas.policy({
  services: { store: { ceiling: 1_000, coldRate: 10 } },
  routes: [
    {
      name: 'sheets',
      host: 'a.example',
      path: '/sheets/',
      service: 'store',
      methods: ['GET', 'POST'],
    },
    { name: 'homed', host: 'a.example', path: '/homed/', service: 'store', homes: ['far'] },
  ],
});
const origin = {
  service: 'store',
  instance: 'o1',
  incarnation: 1,
  address: '10.0.0.1:1',
  zone: 'w',
  region: 'near',
  capacity: 100,
  cold: false,
  slots: null,
  conns: null,
  rate: 1_000,
};
const peer = { id: 'b', zone: 'w', region: 'far', address: '10.0.0.2:1', delay: 0.001 };
const feedOf = (part: Partial<Feed> = {}): Feed => ({
  leaseMs: leaseDurationMs,
  life: 'l',
  flushes: 0,
  policy: { revision: 1, document: policy },
  policyRevision: 1,
  origins: [origin],
  peers: [peer],
  emptied: [],
  split: {},
  slices: { store: 1_000 },
  seated: true,
  purges: [],
  purgeSeq: 0,
  ...part,
});
const asked = (method: string, target = '/sheets/1'): ClientRequest => ({
  method,
  target,
  host: 'a.example',
  headers: {},
  via: null,
  bodyBytes: 0,
  digest: null,
});
const arrive = (id: number, method: string, now: number, target?: string): ProxyEvent => ({
  kind: 'request-arrived',
  requestId: id,
  clientRequest: asked(method, target),
  randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
  token: `t${id}`,
  now,
});
const answer = (mark: string, part: Partial<AttemptResponse> = {}): AttemptResponse => ({
  status: 200,
  size: 3,
  isComplete: true,
  body: 'abc',
  headers: {
    'reedyard-stamp': 'store/o1/1',
    'reedyard-attempt': mark,
    'cache-control': 'max-age=60',
  },
  ...part,
});
const play = (
  events: readonly ProxyEvent[],
  from: ProxyState,
): { state: ProxyState; effects: readonly ProxyEffect[] } =>
  events.reduce<{ state: ProxyState; effects: readonly ProxyEffect[] }>(
    (all, event) => {
      const step = ProxyCore.reduce(all.state, event);
      return { state: step.state, effects: [...all.effects, ...step.effects] };
    },
    { state: from, effects: [] },
  );
/** A proxy that has had its feed for a second, so that its buckets are filled. */
const begun = (feed = feedOf()): ProxyState =>
  play(
    [
      { kind: 'feed-received', feed, askedAt: 0, now: 0 },
      {
        kind: 'request-arrived',
        requestId: 90,
        clientRequest: { ...asked('POST'), via: 'z' },
        randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
        token: 't90',
        now: 1,
      },
      { kind: 'client-left', requestId: 90, now: 1 },
      { kind: 'tick', now: 500 },
      { kind: 'feed-received', feed: { ...feed, policy: null }, askedAt: 900, now: 900 },
    ],
    ProxyCore.open({ id: 'a', zone: 'w', region: 'near', capacityBps: 1e7, life: 'x' }, 0),
  ).state;
const only = <K extends ProxyEffect['kind']>(
  effects: readonly ProxyEffect[],
  kind: K,
  id: number,
): readonly Extract<ProxyEffect, { kind: K }>[] =>
  effects.filter(
    (effect): effect is Extract<ProxyEffect, { kind: K }> =>
      effect.kind === kind && 'requestId' in effect && effect.requestId === id,
  );

const orders = <T>(list: readonly T[]): readonly (readonly T[])[] =>
  list.length < 2
    ? [list]
    : list.flatMap((each, index) =>
        orders([...list.slice(0, index), ...list.slice(index + 1)]).map((rest) => [each, ...rest]),
      );

test('one request, all orders of what can befall it: one answer at most, one end, and no second attempt that may run twice', (t) => {
  let played = 0;
  for (const method of ['GET', 'POST']) {
    const happenings: readonly ((now: number) => ProxyEvent)[] = [
      (now) => ({
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 0,
        answer: answer('t1-0'),
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
        answer: answer('t1-1'),
        now,
      }),
    ];
    for (const order of orders(happenings)) {
      const { state, effects } = play(
        [
          arrive(1, method, 1_000),
          ...order.map((make, index) => make(1_010 + index)),
          { kind: 'tick', now: 60_000 },
          { kind: 'tick', now: 60_025 },
        ],
        begun(),
      );
      const opens = only(effects, 'send-attempt', 1);
      const gone = order.findIndex((make) => make(0).kind === 'client-left');
      played += 1;
      t.true(only(effects, 'send-answer', 1).length <= 1);
      t.is(
        only(effects, 'close-request', 1).length,
        1,
        `${method} ${order.map((make) => make(0).kind).join(' ')}`,
      );
      t.true(gone >= 0 && opens.length >= 1);
      t.is(Object.keys(state.requests).length, 0);
      if (method === 'POST') t.is(opens.length, 1);
    }
  }
  t.is(played, 1_440);
});

test('an answer of another mark, stamp or attempt is never passed on', (t) => {
  for (const bad of [
    answer('t9-0'),
    answer('t1-0', { headers: { 'reedyard-attempt': 't1-0' } }),
    answer('t1-0', { headers: { 'reedyard-stamp': 'store/o1/2', 'reedyard-attempt': 't1-0' } }),
  ]) {
    const { effects } = play(
      [
        arrive(1, 'POST', 1_000),
        { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: bad, now: 1_010 },
      ],
      begun(),
    );
    const [given] = only(effects, 'send-answer', 1);
    t.is(given?.answer.status, 502);
    t.is(given?.answer.headers['reedyard-outcome'], 'unknown');
    t.is(only(effects, 'abort-attempt', 1).length, 1);
  }
});

test('once the lease is over: no copy, no attempt, no read passed on; what ran is still told', (t) => {
  const kept = play(
    [
      arrive(1, 'GET', 1_000),
      { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: answer('t1-0'), now: 1_010 },
    ],
    begun(),
  ).state;
  t.is(kept.cache.copies.size, 1);
  t.is(
    only(play([arrive(2, 'GET', 1_100)], kept).effects, 'send-answer', 2)[0]?.answer.status,
    200,
  );
  const late = 900 + leaseDurationMs;
  t.is(only(play([arrive(2, 'GET', late)], kept).effects, 'send-answer', 2)[0]?.answer.status, 503);
  t.is(
    only(
      play(
        [
          arrive(2, 'GET', 1_100, '/sheets/2'),
          { kind: 'attempt-answered', requestId: 2, attempt: 0, answer: answer('t2-0'), now: late },
        ],
        kept,
      ).effects,
      'send-answer',
      2,
    )[0]?.answer.status,
    502,
  );
  t.is(
    only(
      play(
        [
          arrive(2, 'POST', 1_100),
          { kind: 'attempt-answered', requestId: 2, attempt: 0, answer: answer('t2-0'), now: late },
        ],
        kept,
      ).effects,
      'send-answer',
      2,
    )[0]?.answer.status,
    200,
  );
});

test('outside its homes a route is relayed to a peer inside, unkept; without one it is not served', (t) => {
  const { state, effects } = play(
    [
      arrive(1, 'GET', 1_000, '/homed/1'),
      { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: answer('t1-0'), now: 1_010 },
    ],
    begun(),
  );
  t.is(only(effects, 'send-attempt', 1)[0]?.to.kind, 'peer');
  t.is(only(effects, 'send-answer', 1)[0]?.answer.status, 200);
  t.is(state.cache.copies.size, 0);
  const alone = play([arrive(1, 'GET', 1_000, '/homed/1')], begun(feedOf({ peers: [] }))).effects;
  t.is(only(alone, 'send-answer', 1)[0]?.answer.status, 503);
  t.is(only(alone, 'send-attempt', 1).length, 0);
});

test('what arrives from a peer is served here, never handed on', (t) => {
  const split = { sheets: [['b', 1] as const] };
  const from = (via: string | null): ProxyEvent => ({
    kind: 'request-arrived',
    requestId: 1,
    clientRequest: { ...asked('GET'), via },
    randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
    token: 't1',
    now: 1_000,
  });
  t.is(
    only(play([from(null)], begun(feedOf({ split }))).effects, 'send-attempt', 1)[0]?.to.kind,
    'peer',
  );
  t.is(
    only(play([from('b')], begun(feedOf({ split }))).effects, 'send-attempt', 1)[0]?.to.kind,
    'origin',
  );
});

test('the draw follows the row', (t) => {
  const split = { sheets: [['a', 0.3] as const, ['b', 0.7] as const] };
  let away = 0;
  for (let each = 0; each < 100; each += 1) {
    const event: ProxyEvent = {
      kind: 'request-arrived',
      requestId: 1,
      clientRequest: asked('GET'),
      randomNumbers: [(each + 0.5) / 100, 0.5, 0.5, 0.5, 0.5],
      token: 't1',
      now: 1_000,
    };
    if (
      only(play([event], begun(feedOf({ split }))).effects, 'send-attempt', 1)[0]?.to.kind ===
      'peer'
    )
      away += 1;
  }
  t.is(away, 70);
});

test('the policy in force rules at each move: in all orders of a claim, a policy, a failed attempt and a beat, no attempt is made that the newest policy bars', (t) => {
  const [sheets, homed] = policy.routes;
  if (sheets === undefined || homed === undefined) {
    t.fail();
    return;
  }
  const services = { ...policy.services, other: { ceiling: 1_000, coldRate: 10 } };
  const next: Readonly<Record<string, typeof policy>> = {
    removed: { ...policy, routes: [homed] },
    moved: { services, routes: [{ ...sheets, service: 'other' }, homed] },
    away: { ...policy, routes: [{ ...sheets, homes: ['far'] }, homed] },
    methods: { ...policy, routes: [{ ...sheets, methods: ['OPTIONS'] }, homed] },
    sooner: { ...policy, routes: [{ ...sheets, limits: { requestMs: 5 } }, homed] },
  };
  for (const [name, document] of Object.entries(next))
    for (const key of [true, false])
      for (const method of ['GET', 'POST']) {
        const happenings: readonly ((now: number) => ProxyEvent)[] = [
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
        const first: ProxyEvent = {
          ...(arrive(1, method, 1_000) as Extract<ProxyEvent, { kind: 'request-arrived' }>),
          clientRequest: {
            ...asked(method),
            headers: key ? { 'idempotency-key': 'k' } : {},
            digest: key ? 'd' : null,
          },
        };
        for (const order of orders(happenings)) {
          let state = begun();
          const effects: ProxyEffect[] = [];
          let answers = 0;
          for (const [index, event] of [
            first,
            ...order.map((make, place) => make(1_010 + place)),
            { kind: 'tick', now: 9_000 } as const,
            { kind: 'tick', now: 20_000 } as const,
          ].entries()) {
            const step = ProxyCore.reduce(state, event);
            state = step.state;
            effects.push(...step.effects);
            answers += only(step.effects, 'send-answer', 1).length;
            const opens = only(step.effects, 'send-attempt', 1);
            const label = `${name} ${method} ${key ? 'key' : 'no key'} at ${index}`;
            if (state.policy?.revision === 2)
              t.false(
                opens.some(({ to }) => to.kind === 'origin' && name !== 'sooner'),
                label,
              );
            if (state.policy?.revision === 2 && (name === 'removed' || name === 'methods'))
              t.is(opens.length, 0, label);
          }
          t.true(answers <= 1);
          t.is(Object.keys(state.requests).length, 0);
          // A key whose request provably ran nothing may be used again.
          const [given] = only(effects, 'send-answer', 1);
          if (key && method === 'POST' && given?.answer.headers['reedyard-outcome'] === 'not-run')
            t.true(
              only(effects, 'query-agent', 1).some(
                ({ query: call }) => call.kind === 'settle' && call.state === 'not-run',
              ),
            );
        }
      }
});

test('copies end with what let them be kept: a route gone, moved, homed elsewhere, or kept for less', (t) => {
  const kept = play(
    [
      arrive(1, 'GET', 1_000),
      { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: answer('t1-0'), now: 1_010 },
    ],
    begun(),
  ).state;
  const [sheets, homed] = policy.routes;
  if (sheets === undefined || homed === undefined) {
    t.fail();
    return;
  }
  const under = (routes: typeof policy.routes, now = 1_020): ProxyState =>
    play(
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
      kept,
    ).state;
  t.is(under([sheets, homed]).cache.copies.size, 1);
  t.is(under([homed]).cache.copies.size, 0);
  t.is(under([{ ...sheets, service: 'other' }, homed]).cache.copies.size, 0);
  t.is(
    under([sheets, homed, { ...sheets, name: 'deeper', path: '/sheets/1', service: 'other' }]).cache
      .copies.size,
    0,
  );
  t.is(under([{ ...sheets, homes: ['far'] }, homed]).cache.copies.size, 0);
  t.is(under([{ ...sheets, cache: { keep: 'never' } }, homed]).cache.copies.size, 0);
  const shorter = under([{ ...sheets, cache: { keep: 'origin', mostSeconds: 1 } }, homed]);
  t.is(
    only(play([arrive(2, 'GET', 1_900)], shorter).effects, 'send-answer', 2)[0]?.answer.headers[
      'reedyard-served'
    ],
    'copy',
  );
  t.is(only(play([arrive(2, 'GET', 2_015)], shorter).effects, 'send-attempt', 2).length, 1);
  // Where there are other regions, a proxy that has long been without a lease keeps none.
  t.is(
    play([{ kind: 'tick', now: kept.leaseUntil + cacheWithoutLeaseMs - 1 }], kept).state.cache
      .copies.size,
    1,
  );
  t.is(
    play([{ kind: 'tick', now: kept.leaseUntil + cacheWithoutLeaseMs + 1 }], kept).state.cache
      .copies.size,
    0,
  );
});

test('a waiter of a fetch begun under an older policy is served as the newer one has it', (t) => {
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
  const { effects, state } = play(
    [
      arrive(1, 'GET', 1_000),
      arrive(2, 'GET', 1_001),
      { kind: 'feed-received', feed, askedAt: 1_002, now: 1_002 },
      arrive(3, 'GET', 1_003),
      { kind: 'tick', now: 1_400 },
      { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: answer('t1-0'), now: 1_410 },
      { kind: 'tick', now: 1_600 },
    ],
    begun(),
  );
  t.is(only(effects, 'send-answer', 1)[0]?.answer.status, 200);
  t.is(state.cache.copies.size, 0);
  for (const id of [2, 3])
    t.deepEqual(
      only(effects, 'send-attempt', id).map(({ to }) => to.kind === 'origin' && to.row.service),
      ['other'],
      String(id),
    );
});

test('keys: wanted by a route, and of another request', (t) => {
  const wanted = {
    ...policy,
    routes: policy.routes.map((route) => ({ ...route, key: 'required' as const })),
  };
  const state = play(
    [
      {
        kind: 'feed-received',
        feed: feedOf({ policy: { revision: 2, document: wanted }, policyRevision: 2 }),
        askedAt: 950,
        now: 950,
      },
    ],
    begun(),
  ).state;
  const without = play([arrive(1, 'POST', 1_000)], state).effects;
  t.is(only(without, 'send-answer', 1)[0]?.answer.status, 400);
  t.is(only(without, 'send-attempt', 1).length, 0);
  t.is(only(play([arrive(1, 'GET', 1_000)], state).effects, 'send-attempt', 1).length, 1);
  const withKey: ProxyEvent = {
    ...(arrive(1, 'POST', 1_000) as Extract<ProxyEvent, { kind: 'request-arrived' }>),
    clientRequest: { ...asked('POST'), headers: { 'idempotency-key': 'k' }, digest: 'd' },
  };
  const other = play(
    [withKey, { kind: 'claim-answered', requestId: 1, reply: { kind: 'other' }, now: 1_010 }],
    state,
  ).effects;
  t.is(only(other, 'send-answer', 1)[0]?.answer.status, 422);
  t.is(only(other, 'send-attempt', 1).length, 0);
});

test('without a token the answer is given at once, or within the holding', (t) => {
  const none = begun(feedOf({ slices: { store: 0 } }));
  const { effects } = play([arrive(1, 'GET', 1_000)], none);
  t.is(only(effects, 'send-answer', 1)[0]?.answer.status, 503);
  t.is(only(effects, 'send-answer', 1)[0]?.answer.headers['retry-after'], '1');
});

test('shown whole, as a part, or as not changed', (t) => {
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

test('a copy is of the service that its attempt went to, also where a hedge has found a newer policy since', (t) => {
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
  const saved: ProxyState = { ...begun(), retryTokens: { store: 3, other: 3 } };
  const { effects, state } = play(
    [
      arrive(1, 'GET', 1_000),
      { kind: 'feed-received', feed, askedAt: 1_002, now: 1_002 },
      { kind: 'tick', now: 1_700 },
      { kind: 'tick', now: 2_300 },
      { kind: 'tick', now: 2_900 },
      { kind: 'attempt-answered', requestId: 1, attempt: 0, answer: answer('t1-0'), now: 2_910 },
    ],
    { ...saved, leaseUntil: 9_000 },
  );
  t.deepEqual(
    only(effects, 'send-attempt', 1).map(({ to }) => to.kind === 'origin' && to.row.service),
    ['store', 'other'],
  );
  t.is(only(effects, 'send-answer', 1)[0]?.answer.status, 200);
  // What is from the store is nothing to keep for a route that is another service's by now.
  t.is(state.cache.copies.size, 0);
  const late = play(
    [
      {
        kind: 'attempt-answered',
        requestId: 1,
        attempt: 1,
        answer: answer('t1-1', {
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
  t.is(only(late.effects, 'send-answer', 1).length, 0);
  t.is(Object.keys(late.state.requests).length, 0);
  t.deepEqual(late.state.inFlightCounts, {});
});

test('beside a silent attempt a safe request gets a second one elsewhere; the first to answer serves, an unsafe one waits', (t) => {
  const two = feedOf({ origins: [origin, { ...origin, instance: 'o2', address: '10.0.0.3:1' }] });
  for (const method of ['GET', 'POST'])
    for (const first of [0, 1]) {
      const state: ProxyState = { ...begun(two), retryTokens: { store: 3 }, leaseUntil: 60_000 };
      const opening = play(
        [
          arrive(1, method, 1_000),
          { kind: 'tick', now: 2_000 },
          { kind: 'tick', now: 2_600 },
          { kind: 'tick', now: 3_200 },
        ],
        state,
      );
      const opens = only(opening.effects, 'send-attempt', 1);
      if (method === 'POST') {
        t.is(opens.length, 1);
        continue;
      }
      t.deepEqual(opens.map(({ to }) => to.kind).sort(), ['origin', 'origin']);
      t.not(opens[0]?.to.row, opens[1]?.to.row);
      const reply = (attempt: number): AttemptResponse => {
        const to = opens[attempt]?.to;
        return answer(`t1-${attempt}`, {
          headers: {
            'reedyard-stamp': to?.kind === 'origin' ? `store/${to.row.instance}/1` : '',
            'reedyard-attempt': `t1-${attempt}`,
          },
        });
      };
      const served = play(
        [
          {
            kind: 'attempt-answered',
            requestId: 1,
            attempt: first,
            answer: reply(first),
            now: 3_210,
          },
        ],
        opening.state,
      );
      t.is(only(served.effects, 'send-answer', 1)[0]?.answer.status, 200);
      t.is(only(served.effects, 'close-request', 1).length, 1);
      // The other one is let end, and is answered to nobody.
      const ended = play(
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
        only(ended.effects, 'send-answer', 1).length +
          only(ended.effects, 'close-request', 1).length,
        0,
      );
      t.is(Object.keys(ended.state.requests).length, 0);
      t.deepEqual(ended.state.inFlightCounts, {});
    }
});

/** A proxy whose route allows so many attempts, and which hands each request to its peer. */
const forwarding = (attempts: number): ProxyState => {
  const limited = {
    ...policy,
    routes: policy.routes.map((route) => ({ ...route, limits: { attempts } })),
  };
  const feed = feedOf({
    policy: { revision: 1, document: limited },
    split: { sheets: [['b', 1] as const] },
    origins: [origin, { ...origin, instance: 'o2', address: '10.0.0.3:1' }],
  });
  return { ...begun(feed), retryTokens: { store: 3 }, leaseUntil: 60_000 };
};

test('attempts granted to a peer are counted until it says what it used: the sum over both nodes stays within the route', (t) => {
  const turnedAway = (spent: string | null): ProxyEvent => ({
    kind: 'attempt-answered',
    requestId: 1,
    attempt: 0,
    now: 1_050,
    answer: {
      ...answer('t1-0'),
      status: 503,
      headers: {
        'reedyard-attempt': 't1-0',
        'reedyard-outcome': 'not-run',
        ...(spent === null ? {} : { 'reedyard-spent': spent }),
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
  const silent: ProxyEvent = { kind: 'tick', now: 2_000 };
  const cases: readonly (readonly [
    attempts: number,
    granted: number,
    event: ProxyEvent,
    opens: number,
  ])[] = [
    [2, 1, silent, 2],
    [2, 1, failed('maybe'), 2],
    [2, 1, turnedAway('1'), 2],
    [2, 1, turnedAway(null), 2],
    [1, 1, silent, 1],
    [1, 1, failed('maybe'), 1],
    [1, 1, turnedAway('1'), 1],
    [1, 1, turnedAway(null), 1],
    [1, 1, failed('nothing'), 2],
    [1, 1, turnedAway('0'), 2],
    [3, 2, silent, 2],
    [3, 2, failed('maybe'), 2],
  ];
  for (const [attempts, granted, event, opens] of cases) {
    const label = `${attempts} ${JSON.stringify(event)}`;
    const { effects } = play(
      [arrive(1, 'GET', 1_000), event, { kind: 'tick', now: 2_100 }],
      forwarding(attempts),
    );
    const opened = only(effects, 'send-attempt', 1);
    t.is(opened[0]?.to.kind, 'peer', label);
    t.is(opened[0]?.delegatedAttempts, granted, label);
    t.is(opened.length, opens, label);
    t.true(
      opened.reduce((sum, each) => sum + each.delegatedAttempts, 0) <= attempts || opens === 2,
      label,
    );
  }
});

test('a request handed on is spent within its grant, and its answer tells what was used', (t) => {
  const handed: ProxyEvent = {
    kind: 'request-arrived',
    requestId: 1,
    clientRequest: { ...asked('GET'), via: 'z', attempts: 1 },
    randomNumbers: [0.5, 0.5, 0.5, 0.5, 0.5],
    token: 't1',
    now: 1_000,
  };
  const state = forwarding(3);
  const silent = play(
    [handed, { kind: 'tick', now: 2_000 }, { kind: 'tick', now: 2_600 }],
    state,
  ).effects;
  t.is(only(silent, 'send-attempt', 1).length, 1);
  const cut = play(
    [
      handed,
      { kind: 'attempt-failed', requestId: 1, attempt: 0, sent: 'maybe', why: 'cut', now: 1_050 },
    ],
    state,
  ).effects;
  t.is(only(cut, 'send-attempt', 1).length, 1);
  t.is(only(cut, 'send-answer', 1)[0]?.answer.headers['reedyard-spent'], '1');
  const refused = play([{ ...handed, now: 61_000 }], state).effects;
  t.is(only(refused, 'send-answer', 1)[0]?.answer.headers['reedyard-spent'], '0');
});
