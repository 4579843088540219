import test from 'ava';
import { parse, stringify } from 'devalue';
import { recordValue } from '@reedyard/gossip';
import { type OriginDescription, Schemas } from '@reedyard/schemas';
import { originRefreshIntervalMs } from './api/api-actions.js';
import type { WatchedRegister } from './control/control-state.js';
import { learnRegister } from './control/polling.js';
import { isolatedAllowanceMs, minUndelayedMs } from './control/reachability.js';
import { learnRecords } from './gossip/gossip-exchange.js';
import type { AgentEffect, ApiAction, PolicyRegister, ZonesRegister } from './messages.js';
import { openAgent } from './open-agent.js';
import { originEndpoints, serviceRateLimits, slowStartShare } from './origins/origin-endpoints.js';
import { originsOf, restoreSettleMs } from './origins/origins.js';
import { putPolicyChange, type RegisterChange, zoneOrderChange } from './proposals/changes.js';
import { reduceAgent } from './reducer.js';
import type { AgentState } from './state.js';
import { agentTickIntervalMs, lateTickThresholdMs } from './tick-delay.js';
import type { Transition } from './transition.js';

const self = {
  id: 'n',
  zone: 'west',
  region: 'r',
  address: '127.0.0.1:1',
  proxy: { callers: '127.0.0.1:2', peers: '127.0.0.1:3', capacityBps: 1e6 },
  replica: null,
};
const opened = (now = 0): AgentState =>
  openAgent({
    self,
    incarnation: 'l',
    seeds: [],
    founders: { a: '127.0.0.1:11', b: '127.0.0.1:12', c: '127.0.0.1:13' },
    randomSeed: 1,
    now,
  });
const written = (change: RegisterChange, current: unknown): unknown => {
  const done = change(current);
  return done.kind === 'write' ? done.value : done.kind;
};
const learnt = (
  state: AgentState,
  key: WatchedRegister,
  round: number,
  value: unknown,
): AgentState => {
  const transition: Transition = { state, effects: [] };
  learnRegister(transition, key, { counter: round, proposerId: 'x' }, value);
  return transition.state;
};
const acted = (
  state: AgentState,
  action: ApiAction,
  now: number,
): { readonly state: AgentState; readonly effects: readonly AgentEffect[] } =>
  reduceAgent(state, { kind: 'action-received', requestId: 1, action, now });
const policyValue = (services: object, more: object = {}): PolicyRegister => ({
  revision: 1,
  document: Schemas.policy({ services, routes: [], ...more }),
  changes: [],
});
const told = (more: Partial<OriginDescription> = {}): OriginDescription => ({
  service: 's',
  instance: 'i',
  incarnation: 0,
  address: '127.0.0.1:20',
  region: 'r',
  zone: 'west',
  slots: 8,
  state: 'warm',
  draining: false,
  sequence: 1,
  ...more,
});
const plan = (shares: Readonly<Record<string, Readonly<Record<string, number>>>>): object => ({
  term: 1,
  holder: 'n',
  beat: 1,
  slices: shares,
  seated: [],
});
const answers = (effects: readonly AgentEffect[]): readonly number[] =>
  effects.flatMap((effect) => (effect.kind === 'send-answer' ? [effect.status] : []));

test('of two policies with a version the higher one stays, in whatever order they are written', (t) => {
  const put = (version: number | undefined, id: string) =>
    putPolicyChange({
      document: Schemas.policy({
        services: {},
        routes: [],
        ...(version === undefined ? {} : { version }),
      }),
      ifMatch: null,
      changeId: id,
      expiredPolicyRevision: 0,
    });
  for (const order of [
    [3, 7, 5],
    [7, 5, 3],
    [5, 3, 7],
    [7, 7, 3],
  ]) {
    const end = order.reduce<unknown>((current, version, index) => {
      const next = written(put(version, `c-${index}`), current);
      return next === 'keep' ? current : next;
    }, null) as PolicyRegister;
    t.is(end.document.version, 7, order.join());
  }
  const seven = written(put(7, 'a'), null) as PolicyRegister;
  t.is(written(put(7, 'b'), seven), 'keep');
  t.is((written(put(8, 'b'), seven) as PolicyRegister).revision, 2);
  const plain = written(put(undefined, 'b'), seven) as PolicyRegister;
  t.deepEqual([plain.revision, plain.document.version], [2, undefined]);
  t.is((written(put(1, 'c'), plain) as PolicyRegister).document.version, 1);
});

test('orders for the origins of a zone leave its nodes alone', (t) => {
  const order = (
    current: unknown,
    what: 'empty' | 'take-back',
    of: 'all' | 'origins',
    id: string,
  ): ZonesRegister =>
    written(
      zoneOrderChange({ zone: 'west', order: what, of, changeId: id, expiredZonesRevision: 0 }),
      current,
    ) as ZonesRegister;
  const closed = order(null, 'empty', 'origins', '1');
  t.deepEqual([closed.emptied, closed.closedOrigins, closed.reopened], [[], ['west'], {}]);
  const whole = order(closed, 'empty', 'all', '2');
  t.deepEqual([whole.emptied, whole.closedOrigins], [['west'], ['west']]);
  const still = order(whole, 'take-back', 'origins', '3');
  t.deepEqual([still.emptied, still.closedOrigins, still.reopened], [['west'], ['west'], {}]);
  const open = order(still, 'take-back', 'all', '4');
  t.deepEqual([open.emptied, open.closedOrigins, open.reopened], [[], [], { west: 4 }]);
  // A value written before there were such orders.
  const older = order({ revision: 3, emptied: ['west'], changes: [] }, 'take-back', 'all', '5');
  t.deepEqual([older.emptied, older.closedOrigins, older.reopened], [[], [], { west: 4 }]);
  t.deepEqual(
    originEndpoints(
      learnt(
        learnt(
          acted(opened(), { kind: 'describe', description: told() }, 1).state,
          'policy',
          1,
          policyValue({ s: {} }),
        ),
        'zones',
        1,
        { revision: 3, emptied: ['west'], changes: [] },
      ),
    ),
    [],
  );
});

test('after a zone is taken back its origins count as cold until they are heard again', (t) => {
  const zones = (revision: number, closed: readonly string[], reopened: object): object => ({
    revision,
    emptied: [],
    closedOrigins: closed,
    reopened,
    changes: [],
  });
  let state = learnt(
    learnt(opened(), 'policy', 1, policyValue({ s: { coldRate: 4, ceiling: 100 } })),
    'plan',
    1,
    plan({ s: { n: 0.5 } }),
  );
  const hear = (now: number, sequence: number): void => {
    state = acted(state, { kind: 'describe', description: told({ sequence }) }, now).state;
  };
  const colds = (): readonly boolean[] => originEndpoints(state).map((row) => row.cold);
  hear(10, 1);
  t.deepEqual(colds(), [false]);
  state = learnt({ ...state, now: 20 }, 'zones', 1, zones(1, ['west'], {}));
  t.deepEqual(
    [colds(), originsOf(state)[0]?.exclusionReason],
    [[], 'the origins of its zone get nothing'],
  );
  state = learnt({ ...state, now: 2_000 }, 'zones', 2, zones(2, [], { west: 2 }));
  t.deepEqual([colds(), originEndpoints(state)[0]?.rate], [[true], 4 * slowStartShare]);
  hear(2_000 + restoreSettleMs - 1, 2);
  t.deepEqual(colds(), [true]);
  hear(2_000 + restoreSettleMs, 3);
  t.deepEqual([colds(), originEndpoints(state)[0]?.rate], [[false], Infinity]);
  state = learnt({ ...state, now: 3_000 }, 'zones', 3, zones(3, ['east'], { west: 2 }));
  t.deepEqual(colds(), [false]);
});

test('an older description changes nothing, here and in what is heard from others', (t) => {
  const key = 'origin/s/i';
  const known = (state: AgentState): OriginDescription =>
    recordValue(state.gossip, key) as OriginDescription;
  let state = acted(
    opened(),
    { kind: 'describe', description: told({ sequence: 5, state: 'cold' }) },
    1,
  ).state;
  const late = acted(
    state,
    { kind: 'describe', description: told({ sequence: 4, draining: true }) },
    2,
  );
  t.deepEqual([answers(late.effects), known(late.state)], [[200], known(state)]);
  const transition: Transition = { state, effects: [] };
  learnRecords(transition, { [key]: { revision: 99, value: told({ sequence: 4 }) } });
  t.deepEqual(
    [
      known(transition.state).sequence,
      transition.state.gossip.records[key]?.revision,
      transition.state.gossip.records[key]?.seenAt,
    ],
    [5, 100, 1],
  );
  learnRecords(transition, { [key]: { revision: 101, value: told({ sequence: 6 }) } });
  t.is(known(transition.state).sequence, 6);
  // The same words again are told only now and then; other ones at once.
  const revision = (): number | undefined => state.gossip.records[key]?.revision;
  const before = revision() ?? 0;
  state = acted(
    state,
    { kind: 'describe', description: told({ sequence: 6, state: 'cold' }) },
    1_000,
  ).state;
  t.deepEqual([revision(), known(state).sequence], [before, 6]);
  state = acted(state, { kind: 'describe', description: told({ sequence: 7 }) }, 1_100).state;
  t.is(revision(), 7);
  state = acted(
    state,
    { kind: 'describe', description: told({ sequence: 8 }) },
    1_100 + originRefreshIntervalMs,
  ).state;
  t.is(revision(), 8);
});

test('a withdrawn instance gets nothing, and the notice is posted once', (t) => {
  let state = learnt(opened(), 'policy', 1, policyValue({ s: {} }));
  state = acted(state, { kind: 'describe', description: told() }, 1).state;
  t.is(originEndpoints(state).length, 1);
  const asked = acted(state, { kind: 'withdraw', instance: 'i' }, 2);
  t.deepEqual(answers(asked.effects), []);
  t.deepEqual(
    asked.effects.flatMap((effect) =>
      effect.kind === 'send-request' &&
      'operation' in effect.request &&
      effect.request.operation.kind === 'append-entries'
        ? [effect.request.operation.entries[0]?.key]
        : [],
    ),
    ['withdrawn/i', 'withdrawn/i', 'withdrawn/i'],
  );
  const posted: AgentState = {
    ...state,
    entryKeys: { 'withdrawn/i': true },
    committedEntryKeys: { 'withdrawn/i': true },
  };
  t.deepEqual(
    [originEndpoints(posted).length, originsOf(posted)[0]?.exclusionReason],
    [0, 'withdrawn'],
  );
  t.deepEqual(answers(acted(posted, { kind: 'withdraw', instance: 'i' }, 3).effects), [200]);
  // Seen on one disk alone it is not acknowledged yet.
  t.deepEqual(
    answers(
      acted({ ...posted, committedEntryKeys: {} }, { kind: 'withdraw', instance: 'i' }, 3).effects,
    ),
    [],
  );
});

test('without a ceiling and without capacities nothing bounds the rate, and cold ones keep theirs', (t) => {
  let state = learnt(
    learnt(opened(), 'policy', 1, policyValue({ s: { coldRate: 10, instanceConns: 130 } })),
    'plan',
    1,
    plan({ s: { n: 0.25 } }),
  );
  state = acted(state, { kind: 'describe', description: told() }, 1).state;
  state = acted(
    state,
    {
      kind: 'describe',
      description: told({ instance: 'j', address: '127.0.0.1:21', state: 'cold' }),
    },
    1,
  ).state;
  t.deepEqual(serviceRateLimits(state), { s: Infinity });
  const rows = originEndpoints(state);
  t.deepEqual(
    rows.map((row) => [row.slots, row.conns, row.capacity, row.rate]),
    [
      [8, 130, 8, Infinity],
      [8, 130, 8, 10 * slowStartShare],
    ],
  );
  t.deepEqual(parse(stringify(rows)), rows);
  const fed = reduceAgent(state, {
    kind: 'proxy-request-received',
    requestId: 9,
    now: 2,
    request: {
      kind: 'feed',
      held: null,
      report: {
        policyRevision: 1,
        life: '',
        proxyLife: 'x',
        purgeSeq: 0,
        stopping: false,
        wants: {},
        measure: null,
        counters: {},
      },
    },
  });
  t.deepEqual(
    fed.effects.flatMap((effect) =>
      effect.kind === 'send-reply' && effect.reply !== undefined && 'slices' in effect.reply
        ? [effect.reply.slices]
        : [],
    ),
    [{ s: Infinity }],
  );
  // A cold one whose service sets no cold rate is bound by nothing either, also without a share.
  t.deepEqual(
    originEndpoints(
      learnt(learnt(state, 'policy', 2, policyValue({ s: {} })), 'plan', 2, plan({})),
    ).map((row) => row.rate),
    [Infinity, Infinity],
  );
});

test('a cold instance is given to a few nodes, the same ones wherever it is worked out, and no more than its rate', (t) => {
  const nodes = Array.from({ length: 11 }, (_none, index) => `front-${index}`);
  for (const [coldRate, few] of [
    [20, 6],
    [9.8, 3],
    [2, 1],
  ] as const)
    for (const instance of ['i', 'j', 'k']) {
      const rates = nodes.map((id) => {
        const opening = openAgent({
          self: { ...self, id },
          incarnation: 'l',
          seeds: [],
          founders: { a: '127.0.0.1:11' },
          randomSeed: 1,
          now: 0,
        });
        const state = learnt(
          learnt(opening, 'policy', 1, policyValue({ s: { coldRate } })),
          'plan',
          1,
          { term: 1, holder: 'n', beat: 1, slices: {}, seated: nodes },
        );
        return (
          originEndpoints(
            acted(state, { kind: 'describe', description: told({ instance, state: 'cold' }) }, 1)
              .state,
          )[0]?.rate ?? NaN
        );
      });
      t.is(rates.filter((rate) => rate > 0).length, few, `${coldRate} ${instance}`);
      t.true(rates.reduce((sum, rate) => sum + rate, 0) <= coldRate * slowStartShare + 1e-9);
    }
  // Without an allocation it is not known who else there is: nothing goes to it.
  const alone = learnt(opened(), 'policy', 1, policyValue({ s: { coldRate: 20 } }));
  t.is(
    originEndpoints(
      acted(alone, { kind: 'describe', description: told({ state: 'cold' }) }, 1).state,
    )[0]?.rate,
    0,
  );
});

test('cut off from a majority: refused, or served on where operators want that and the process was not itself held up', (t) => {
  const cut = (servesOn: boolean, beats: readonly number[], now: number): number => {
    let state = learnt(
      {
        ...openAgent({
          self: { ...self, servesOn },
          incarnation: 'l',
          seeds: [],
          founders: { a: '127.0.0.1:11' },
          randomSeed: 1,
          now: 0,
        }),
        leaseUntil: 1_500,
      },
      'policy',
      1,
      policyValue({}),
    );
    for (const beat of beats) state = reduceAgent(state, { kind: 'tick', now: beat }).state;
    const { effects } = reduceAgent(state, {
      kind: 'proxy-request-received',
      requestId: 9,
      now,
      request: {
        kind: 'feed',
        held: null,
        report: {
          policyRevision: 1,
          life: '',
          proxyLife: 'x',
          purgeSeq: 0,
          stopping: false,
          wants: {},
          measure: null,
          counters: {},
        },
      },
    });
    return (
      effects.flatMap((effect) =>
        effect.kind === 'send-reply' && effect.reply !== undefined && 'leaseMs' in effect.reply
          ? [effect.reply.leaseMs]
          : [],
      )[0] ?? NaN
    );
  };
  const steady = (until: number): readonly number[] =>
    Array.from(
      { length: until / agentTickIntervalMs },
      (_none, index) => (index + 1) * agentTickIntervalMs,
    );
  const calm = minUndelayedMs + 2_000;
  t.is(cut(true, steady(1_000), 1_000), 500);
  t.is(cut(false, steady(calm), calm), 0);
  t.is(cut(true, steady(calm), calm), isolatedAllowanceMs);
  // Frozen and woken: what waits here is looked at before any beat, and after one.
  t.is(cut(true, steady(calm), calm + lateTickThresholdMs + 1), 0);
  t.is(
    cut(true, [...steady(calm), calm + lateTickThresholdMs + 1], calm + lateTickThresholdMs + 1),
    0,
  );
  t.is(
    cut(
      true,
      [...steady(calm), calm + 1_000, ...steady(1_000).map((beat) => calm + 1_000 + beat)],
      calm + 2_000,
    ),
    0,
  );
  t.is(
    cut(
      true,
      [
        ...steady(calm),
        calm + 1_000,
        ...steady(minUndelayedMs + 100).map((beat) => calm + 1_000 + beat),
      ],
      calm + 1_100 + minUndelayedMs,
    ),
    isolatedAllowanceMs,
  );
});
