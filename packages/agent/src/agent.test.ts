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
const newAgent = (now = 0): AgentState =>
  openAgent({
    self,
    incarnation: 'l',
    seeds: [],
    founders: { a: '127.0.0.1:11', b: '127.0.0.1:12', c: '127.0.0.1:13' },
    randomSeed: 1,
    now,
  });
const applyChange = (change: RegisterChange, current: unknown): unknown => {
  const result = change(current);
  return result.kind === 'write' ? result.value : result.kind;
};
const withRegister = (
  state: AgentState,
  key: WatchedRegister,
  counter: number,
  value: unknown,
): AgentState => {
  const transition: Transition = { state, effects: [] };
  learnRegister(transition, key, { counter, proposerId: 'x' }, value);
  return transition.state;
};
const performAction = (
  state: AgentState,
  action: ApiAction,
  now: number,
): { readonly state: AgentState; readonly effects: readonly AgentEffect[] } =>
  reduceAgent(state, { kind: 'action-received', requestId: 1, action, now });
const policyRegister = (services: object, otherFields: object = {}): PolicyRegister => ({
  revision: 1,
  document: Schemas.policy({ services, routes: [], ...otherFields }),
  changes: [],
});
const descriptionWith = (changes: Partial<OriginDescription> = {}): OriginDescription => ({
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
  ...changes,
});
const allocationOf = (
  shares: Readonly<Record<string, Readonly<Record<string, number>>>>,
): object => ({
  term: 1,
  holder: 'n',
  beat: 1,
  slices: shares,
  seated: [],
});
const answerStatuses = (effects: readonly AgentEffect[]): readonly number[] =>
  effects.flatMap((effect) => (effect.kind === 'send-answer' ? [effect.status] : []));

test('the policy with the highest version stays, in whatever order the versions are written', (t) => {
  const putVersion = (version: number | undefined, changeId: string) =>
    putPolicyChange({
      document: Schemas.policy({
        services: {},
        routes: [],
        ...(version === undefined ? {} : { version }),
      }),
      ifMatch: null,
      changeId,
      expiredPolicyRevision: 0,
    });
  for (const order of [
    [3, 7, 5],
    [7, 5, 3],
    [5, 3, 7],
    [7, 7, 3],
  ]) {
    const final = order.reduce<unknown>((current, version, index) => {
      const next = applyChange(putVersion(version, `c-${index}`), current);
      return next === 'keep' ? current : next;
    }, null) as PolicyRegister;
    t.is(final.document.version, 7, order.join());
  }
  const version7 = applyChange(putVersion(7, 'a'), null) as PolicyRegister;
  t.is(applyChange(putVersion(7, 'b'), version7), 'keep');
  t.is((applyChange(putVersion(8, 'b'), version7) as PolicyRegister).revision, 2);
  const unversioned = applyChange(putVersion(undefined, 'b'), version7) as PolicyRegister;
  t.deepEqual([unversioned.revision, unversioned.document.version], [2, undefined]);
  t.is((applyChange(putVersion(1, 'c'), unversioned) as PolicyRegister).document.version, 1);
});

test('an order for the origins of a zone does not change the state of its nodes', (t) => {
  const applyOrder = (
    current: unknown,
    order: 'empty' | 'take-back',
    of: 'all' | 'origins',
    changeId: string,
  ): ZonesRegister =>
    applyChange(
      zoneOrderChange({ zone: 'west', order, of, changeId, expiredZonesRevision: 0 }),
      current,
    ) as ZonesRegister;
  const originsClosed = applyOrder(null, 'empty', 'origins', '1');
  t.deepEqual(
    [originsClosed.emptied, originsClosed.closedOrigins, originsClosed.reopened],
    [[], ['west'], {}],
  );
  const evacuated = applyOrder(originsClosed, 'empty', 'all', '2');
  t.deepEqual([evacuated.emptied, evacuated.closedOrigins], [['west'], ['west']]);
  const stillEvacuated = applyOrder(evacuated, 'take-back', 'origins', '3');
  t.deepEqual(
    [stillEvacuated.emptied, stillEvacuated.closedOrigins, stillEvacuated.reopened],
    [['west'], ['west'], {}],
  );
  const restored = applyOrder(stillEvacuated, 'take-back', 'all', '4');
  t.deepEqual([restored.emptied, restored.closedOrigins, restored.reopened], [[], [], { west: 4 }]);
  // A value from a version without orders for origins alone.
  const legacy = applyOrder(
    { revision: 3, emptied: ['west'], changes: [] },
    'take-back',
    'all',
    '5',
  );
  t.deepEqual([legacy.emptied, legacy.closedOrigins, legacy.reopened], [[], [], { west: 4 }]);
  t.deepEqual(
    originEndpoints(
      withRegister(
        withRegister(
          performAction(newAgent(), { kind: 'describe', description: descriptionWith() }, 1).state,
          'policy',
          1,
          policyRegister({ s: {} }),
        ),
        'zones',
        1,
        { revision: 3, emptied: ['west'], changes: [] },
      ),
    ),
    [],
  );
});

test('after a zone is restored its origins count as cold until they describe themselves again', (t) => {
  const zonesRegister = (
    revision: number,
    closedOrigins: readonly string[],
    reopened: object,
  ): object => ({
    revision,
    emptied: [],
    closedOrigins,
    reopened,
    changes: [],
  });
  let state = withRegister(
    withRegister(newAgent(), 'policy', 1, policyRegister({ s: { coldRate: 4, ceiling: 100 } })),
    'plan',
    1,
    allocationOf({ s: { n: 0.5 } }),
  );
  const describeOrigin = (now: number, sequence: number): void => {
    state = performAction(
      state,
      { kind: 'describe', description: descriptionWith({ sequence }) },
      now,
    ).state;
  };
  const coldFlags = (): readonly boolean[] =>
    originEndpoints(state).map((endpoint) => endpoint.cold);
  describeOrigin(10, 1);
  t.deepEqual(coldFlags(), [false]);
  state = withRegister({ ...state, now: 20 }, 'zones', 1, zonesRegister(1, ['west'], {}));
  t.deepEqual(
    [coldFlags(), originsOf(state)[0]?.exclusionReason],
    [[], 'the origins of its zone get nothing'],
  );
  state = withRegister({ ...state, now: 2_000 }, 'zones', 2, zonesRegister(2, [], { west: 2 }));
  t.deepEqual([coldFlags(), originEndpoints(state)[0]?.rate], [[true], 4 * slowStartShare]);
  describeOrigin(2_000 + restoreSettleMs - 1, 2);
  t.deepEqual(coldFlags(), [true]);
  describeOrigin(2_000 + restoreSettleMs, 3);
  t.deepEqual([coldFlags(), originEndpoints(state)[0]?.rate], [[false], Infinity]);
  state = withRegister(
    { ...state, now: 3_000 },
    'zones',
    3,
    zonesRegister(3, ['east'], { west: 2 }),
  );
  t.deepEqual(coldFlags(), [false]);
});

test('an older description has no effect, whether the origin or another node sends it', (t) => {
  const key = 'origin/s/i';
  const knownDescription = (state: AgentState): OriginDescription =>
    recordValue(state.gossip, key) as OriginDescription;
  let state = performAction(
    newAgent(),
    { kind: 'describe', description: descriptionWith({ sequence: 5, state: 'cold' }) },
    1,
  ).state;
  const late = performAction(
    state,
    { kind: 'describe', description: descriptionWith({ sequence: 4, draining: true }) },
    2,
  );
  t.deepEqual(
    [answerStatuses(late.effects), knownDescription(late.state)],
    [[200], knownDescription(state)],
  );
  const transition: Transition = { state, effects: [] };
  learnRecords(transition, { [key]: { revision: 99, value: descriptionWith({ sequence: 4 }) } });
  t.deepEqual(
    [
      knownDescription(transition.state).sequence,
      transition.state.gossip.records[key]?.revision,
      transition.state.gossip.records[key]?.seenAt,
    ],
    [5, 100, 1],
  );
  learnRecords(transition, { [key]: { revision: 101, value: descriptionWith({ sequence: 6 }) } });
  t.is(knownDescription(transition.state).sequence, 6);
  // An unchanged description is published again only at intervals, a changed one immediately.
  const revision = (): number | undefined => state.gossip.records[key]?.revision;
  const revisionBefore = revision() ?? 0;
  state = performAction(
    state,
    { kind: 'describe', description: descriptionWith({ sequence: 6, state: 'cold' }) },
    1_000,
  ).state;
  t.deepEqual([revision(), knownDescription(state).sequence], [revisionBefore, 6]);
  state = performAction(
    state,
    { kind: 'describe', description: descriptionWith({ sequence: 7 }) },
    1_100,
  ).state;
  t.is(revision(), 7);
  state = performAction(
    state,
    { kind: 'describe', description: descriptionWith({ sequence: 8 }) },
    1_100 + originRefreshIntervalMs,
  ).state;
  t.is(revision(), 8);
});

test('a withdrawn instance gets no traffic, and its journal entry is appended once', (t) => {
  let state = withRegister(newAgent(), 'policy', 1, policyRegister({ s: {} }));
  state = performAction(state, { kind: 'describe', description: descriptionWith() }, 1).state;
  t.is(originEndpoints(state).length, 1);
  const firstRequest = performAction(state, { kind: 'withdraw', instance: 'i' }, 2);
  t.deepEqual(answerStatuses(firstRequest.effects), []);
  t.deepEqual(
    firstRequest.effects.flatMap((effect) =>
      effect.kind === 'send-request' &&
      'operation' in effect.request &&
      effect.request.operation.kind === 'append-entries'
        ? [effect.request.operation.entries[0]?.key]
        : [],
    ),
    ['withdrawn/i', 'withdrawn/i', 'withdrawn/i'],
  );
  const committed: AgentState = {
    ...state,
    entryKeys: { 'withdrawn/i': true },
    committedEntryKeys: { 'withdrawn/i': true },
  };
  t.deepEqual(
    [originEndpoints(committed).length, originsOf(committed)[0]?.exclusionReason],
    [0, 'withdrawn'],
  );
  t.deepEqual(
    answerStatuses(performAction(committed, { kind: 'withdraw', instance: 'i' }, 3).effects),
    [200],
  );
  // An entry that is known from one disk only is not acknowledged yet.
  t.deepEqual(
    answerStatuses(
      performAction(
        { ...committed, committedEntryKeys: {} },
        { kind: 'withdraw', instance: 'i' },
        3,
      ).effects,
    ),
    [],
  );
});

test('without a rate limit and capacities the rate is unlimited, except for instances that are warming up', (t) => {
  let state = withRegister(
    withRegister(
      newAgent(),
      'policy',
      1,
      policyRegister({ s: { coldRate: 10, instanceConns: 130 } }),
    ),
    'plan',
    1,
    allocationOf({ s: { n: 0.25 } }),
  );
  state = performAction(state, { kind: 'describe', description: descriptionWith() }, 1).state;
  state = performAction(
    state,
    {
      kind: 'describe',
      description: descriptionWith({ instance: 'j', address: '127.0.0.1:21', state: 'cold' }),
    },
    1,
  ).state;
  t.deepEqual(serviceRateLimits(state), { s: Infinity });
  const endpoints = originEndpoints(state);
  t.deepEqual(
    endpoints.map((endpoint) => [endpoint.slots, endpoint.conns, endpoint.capacity, endpoint.rate]),
    [
      [8, 130, 8, Infinity],
      [8, 130, 8, 10 * slowStartShare],
    ],
  );
  t.deepEqual(parse(stringify(endpoints)), endpoints);
  const feedStep = reduceAgent(state, {
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
    feedStep.effects.flatMap((effect) =>
      effect.kind === 'send-reply' && effect.reply !== undefined && 'slices' in effect.reply
        ? [effect.reply.slices]
        : [],
    ),
    [{ s: Infinity }],
  );
  // A warming-up instance whose service sets no cold rate is unlimited too, even without a share.
  t.deepEqual(
    originEndpoints(
      withRegister(
        withRegister(state, 'policy', 2, policyRegister({ s: {} })),
        'plan',
        2,
        allocationOf({}),
      ),
    ).map((endpoint) => endpoint.rate),
    [Infinity, Infinity],
  );
});

test('an instance that is warming up gets at most its rate, from a few nodes that all nodes agree on', (t) => {
  const nodes = Array.from({ length: 11 }, (_none, index) => `front-${index}`);
  for (const [coldRate, expectedNodeCount] of [
    [20, 6],
    [9.8, 3],
    [2, 1],
  ] as const)
    for (const instance of ['i', 'j', 'k']) {
      const rates = nodes.map((id) => {
        const initial = openAgent({
          self: { ...self, id },
          incarnation: 'l',
          seeds: [],
          founders: { a: '127.0.0.1:11' },
          randomSeed: 1,
          now: 0,
        });
        const state = withRegister(
          withRegister(initial, 'policy', 1, policyRegister({ s: { coldRate } })),
          'plan',
          1,
          { term: 1, holder: 'n', beat: 1, slices: {}, seated: nodes },
        );
        return (
          originEndpoints(
            performAction(
              state,
              { kind: 'describe', description: descriptionWith({ instance, state: 'cold' }) },
              1,
            ).state,
          )[0]?.rate ?? NaN
        );
      });
      t.is(rates.filter((rate) => rate > 0).length, expectedNodeCount, `${coldRate} ${instance}`);
      t.true(rates.reduce((sum, rate) => sum + rate, 0) <= coldRate * slowStartShare + 1e-9);
    }
  // Without an allocation the other nodes are unknown, so this node sends nothing to the instance.
  const withoutAllocation = withRegister(
    newAgent(),
    'policy',
    1,
    policyRegister({ s: { coldRate: 20 } }),
  );
  t.is(
    originEndpoints(
      performAction(
        withoutAllocation,
        { kind: 'describe', description: descriptionWith({ state: 'cold' }) },
        1,
      ).state,
    )[0]?.rate,
    0,
  );
});

test('an isolated node keeps serving only if its settings allow it and its process was not delayed', (t) => {
  const isolatedLeaseMs = (
    servesOn: boolean,
    tickTimes: readonly number[],
    now: number,
  ): number => {
    let state = withRegister(
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
      policyRegister({}),
    );
    for (const tickTime of tickTimes)
      state = reduceAgent(state, { kind: 'tick', now: tickTime }).state;
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
  const regularTicks = (until: number): readonly number[] =>
    Array.from(
      { length: until / agentTickIntervalMs },
      (_none, index) => (index + 1) * agentTickIntervalMs,
    );
  const undelayedAt = minUndelayedMs + 2_000;
  t.is(isolatedLeaseMs(true, regularTicks(1_000), 1_000), 500);
  t.is(isolatedLeaseMs(false, regularTicks(undelayedAt), undelayedAt), 0);
  t.is(isolatedLeaseMs(true, regularTicks(undelayedAt), undelayedAt), isolatedAllowanceMs);
  // After a freeze, waiting requests are handled before the next tick or after it.
  t.is(isolatedLeaseMs(true, regularTicks(undelayedAt), undelayedAt + lateTickThresholdMs + 1), 0);
  t.is(
    isolatedLeaseMs(
      true,
      [...regularTicks(undelayedAt), undelayedAt + lateTickThresholdMs + 1],
      undelayedAt + lateTickThresholdMs + 1,
    ),
    0,
  );
  t.is(
    isolatedLeaseMs(
      true,
      [
        ...regularTicks(undelayedAt),
        undelayedAt + 1_000,
        ...regularTicks(1_000).map((tickTime) => undelayedAt + 1_000 + tickTime),
      ],
      undelayedAt + 2_000,
    ),
    0,
  );
  t.is(
    isolatedLeaseMs(
      true,
      [
        ...regularTicks(undelayedAt),
        undelayedAt + 1_000,
        ...regularTicks(minUndelayedMs + 100).map((tickTime) => undelayedAt + 1_000 + tickTime),
      ],
      undelayedAt + 1_100 + minUndelayedMs,
    ),
    isolatedAllowanceMs,
  );
});
