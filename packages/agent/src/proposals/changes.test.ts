import test from 'ava';
import { type Policy, Schemas } from '@reedyard/schemas';
import { learnRegister } from '../control/polling.js';
import { zonesValueOf } from '../control/registers.js';
import type { PolicyRegister } from '../messages.js';
import { openAgent } from '../open-agent.js';
import { reduceAgent } from '../reducer.js';
import type { AgentState } from '../state.js';
import type { Transition } from '../transition.js';
import { newestExpiredRevision, maxRecentChangesBytes, repeatWindowMs } from './change-ids.js';
import { putPolicyChange, type RegisterChange, zoneOrderChange } from './changes.js';
import { hasSameContent } from './content-equality.js';

const self = { id: 'n', zone: 'west', region: 'r', address: 'n/agent', proxy: null, replica: null };
const document = (version: number | undefined, note: string): Policy =>
  Schemas.policy({
    ...(version === undefined ? {} : { version }),
    services: {},
    routes: [],
    notes: { note },
  });
const put = (sent: Policy, changeId: string, ifMatch: number | null = null): RegisterChange =>
  putPolicyChange({ document: sent, ifMatch, changeId, expiredPolicyRevision: 0 });
const zone = (
  zone: string,
  order: 'empty' | 'take-back',
  changeId: string,
  lapsed = 0,
): RegisterChange =>
  zoneOrderChange({ zone, order, of: 'origins', changeId, expiredZonesRevision: lapsed });

/** The value that a change leaves. */
const after = (change: RegisterChange, current: unknown): unknown => {
  const changed = change(current);
  return changed.kind === 'write' ? changed.value : current;
};

test('only the content that is held is acknowledged under its version', (t) => {
  const held = after(put(document(7, 'x'), 'a'), null) as PolicyRegister;
  t.deepEqual(put(document(7, 'x'), 'b')(held), { kind: 'keep' });
  t.deepEqual(put(document(7, 'y'), 'b')(held), { kind: 'refuse', reason: 'version-taken' });
  t.deepEqual(put(document(6, 'y'), 'b')(held), { kind: 'keep' });
  t.is((after(put(document(8, 'y'), 'b'), held) as PolicyRegister).document.version, 8);
});

test('a configuration that was taken under If-Match is acknowledged again, also under another id', (t) => {
  const first = after(put(document(undefined, 'x'), 'a', 0), null) as PolicyRegister;
  t.deepEqual(put(document(undefined, 'x'), 'b', 0)(first), { kind: 'keep' });
  t.deepEqual(put(document(undefined, 'y'), 'b', 0)(first), {
    kind: 'refuse',
    reason: 'stale-revision',
  });
  t.deepEqual(put(document(undefined, 'x'), 'b', 7)(first), {
    kind: 'refuse',
    reason: 'stale-revision',
  });
  const versioned = after(put(document(7, 'x'), 'a', 0), null);
  for (const ifMatch of [null, 0, 1])
    t.deepEqual(put(document(7, 'x'), 'b', ifMatch)(versioned), { kind: 'keep' });
  t.deepEqual(put(document(7, 'y'), 'b', 1)(versioned), {
    kind: 'refuse',
    reason: 'version-taken',
  });
  t.deepEqual(put(document(7, 'x'), 'b', 7)(versioned), {
    kind: 'refuse',
    reason: 'stale-revision',
  });
});

test('content is compared by its fields, in whatever order they were sent', (t) => {
  t.true(
    hasSameContent(
      { a: 1, b: [{ c: 2, d: null }], e: undefined },
      { b: [{ d: null, c: 2 }], a: 1 },
    ),
  );
  for (const other of [
    { a: 1 },
    { a: 1, b: [2, 1] },
    { a: 1, b: { 0: 1, 1: 2 } },
    { a: 1, b: [1, 2], c: null },
    null,
  ]) {
    t.false(hasSameContent({ a: 1, b: [1, 2] }, other));
  }
  t.false(hasSameContent({ toString: undefined, a: 1 }, { a: 2 }));
  t.false(hasSameContent({ constructor: 1 }, { other: 1 }));
});

test('of 500 changes under way or just made each is made once, whenever it is sent again', (t) => {
  let value: unknown = null;
  const orders = Array.from({ length: 500 }, (_, index) =>
    zone(
      `zone-${index % 7}`,
      index % 2 === 0 ? 'empty' : 'take-back',
      `change-${index}-0123456789abcdef0123456789abcdef`,
    ),
  );
  for (const order of orders) value = after(order, value);
  t.is(zonesValueOf(value).revision, 500);
  t.true(orders.every((order) => order(value).kind === 'keep'));
  let policy: unknown = null;
  const puts = Array.from({ length: 500 }, (_, index) =>
    put(document(undefined, `n-${index}`), `change-${index}`),
  );
  for (const each of puts) policy = after(each, policy);
  t.true(puts.every((each) => each(policy).kind === 'keep'));
});

test('ids of changes that may no longer be sent again are let go; their bytes are bounded before that', (t) => {
  let value: unknown = null;
  for (let index = 0; index < 5_000; index += 1)
    value = after(zone('west', 'empty', `${index}-${'x'.repeat(100)}`), value);
  const { changes } = zonesValueOf(value);
  t.true(JSON.stringify(changes).length < 1.1 * maxRecentChangesBytes);
  t.is(changes.at(-1)?.revision, 5_000);
  const later = zonesValueOf(after(zone('west', 'empty', 'new', 4_990), value));
  t.deepEqual(
    later.changes.map((each) => each.revision),
    [4_991, 4_992, 4_993, 4_994, 4_995, 4_996, 4_997, 4_998, 4_999, 5_000, 5_001],
  );
});

test('a revision counts as lapsed once this node has known it for the repeat window, by its own clock', (t) => {
  let state: AgentState = openAgent({
    self,
    incarnation: 'l',
    seeds: [],
    founders: {},
    randomSeed: 1,
    now: 0,
  });
  const learn = (revision: number, now: number): void => {
    const transition: Transition = { state: { ...state, now }, effects: [] };
    learnRegister(
      transition,
      'zones',
      { counter: revision, proposerId: 'x' },
      { ...zonesValueOf(null), revision },
    );
    state = reduceAgent(transition.state, { kind: 'tick', now }).state;
  };
  const at = (now: number): number => newestExpiredRevision({ ...state, now }, 'zones');
  for (let index = 1; index <= 500; index += 1) learn(index, 100 * index);
  t.is(at(50_000), (50_000 - repeatWindowMs) / 100 - 1);
  t.is(at(50_000 + repeatWindowMs), 499);
  t.is(at(50_001 + repeatWindowMs), 500);
  t.true(state.learntRevisions.zones.length <= repeatWindowMs / 100 + 2);
  // A node that has just started knows nothing to be old.
  t.is(
    newestExpiredRevision(
      openAgent({ self, incarnation: 'm', seeds: [], founders: {}, randomSeed: 1, now: 90_000 }),
      'zones',
    ),
    0,
  );
});

test('every chosen order leaves its revision with its zone, also one that finds it so already', (t) => {
  const closed = zonesValueOf(after(zone('west', 'empty', '1'), null));
  const again = zonesValueOf(after(zone('west', 'empty', '2'), closed));
  t.deepEqual([again.closedOrigins, again.lastOrders, again.reopened], [['west'], { west: 2 }, {}]);
  const open = zonesValueOf(after(zone('west', 'take-back', '3'), again));
  t.deepEqual([open.closedOrigins, open.lastOrders, open.reopened], [[], { west: 3 }, { west: 3 }]);
  // A second take-back opens nothing: origins are not taken for cold once more.
  t.deepEqual(zonesValueOf(after(zone('west', 'take-back', '4'), open)).reopened, { west: 3 });
  // An order for another zone overtakes nothing.
  const reading = { first: closed, now: zonesValueOf(after(zone('east', 'empty', '5'), closed)) };
  t.is(zone('west', 'take-back', '6')(reading.now, reading).kind, 'write');
  t.is(zone('west', 'take-back', '6')(open, { first: closed, now: open }).kind, 'keep');
  t.is(zone('west', 'empty', '6')(open, { first: closed, now: open }).kind, 'refuse');
});
