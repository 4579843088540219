import test from 'ava';
import type { NodeRecord } from '@reedyard/agent';
import { Schemas, type OriginDescription } from '@reedyard/schemas';
import { plan, type SystemState } from './index.js';

const node = (id: string, zone: string, region: string, want: number): NodeRecord => ({
  id,
  zone,
  region,
  address: '',
  proxy: { callers: '', peers: '', capacityBps: 1 },
  replica: null,
  ready: true,
  staying: true,
  proxyLife: '',
  wants: { store: want },
});
const origin = (instance: string, zone: string): OriginDescription => ({
  service: 'store',
  instance,
  incarnation: 1,
  address: '10.0.0.1:1',
  region: 'r',
  zone,
  capacity: 60,
  state: 'warm',
  draining: false,
});
const policy = Schemas.policy({
  services: { store: { ceiling: 100, coldRate: 5 } },
  routes: [{ name: 'sheets', host: 'a.example', path: '/sheets/', service: 'store' }],
});
const known: SystemState = {
  policy,
  emptied: [],
  nodes: [node('a', 'west', 'r', 10), node('b', 'west', 'r', 10), node('c', 'north', 'r', 10)],
  origins: [origin('o1', 'west'), origin('o2', 'north')],
  slices: { store: { a: 33, b: 33, c: 33 } },
};

test('emptying a zone: its nodes and origins stop, its load goes to those left', (t) => {
  const moves = plan(known, { empty: ['west'] });
  t.deepEqual(
    moves.nodes.map((each) => `${each.node} ${each.before} ${each.after}`),
    ['a serves emptied', 'b serves emptied'],
  );
  t.deepEqual(moves.origins, [
    { origin: 'store/o1', before: 'takes work', after: 'its zone is emptied' },
  ]);
  t.deepEqual(
    moves.load.map((each) => [each.node, Math.round(each.after)]),
    [
      ['a', 0],
      ['b', 0],
      ['c', 30],
    ],
  );
  // One instance is left, and carries less than the ceiling.
  t.is(Math.round(moves.shares.find((each) => each.node === 'c')?.after ?? 0), 60);
  t.deepEqual(moves.warnings, []);
  t.true(
    plan(known, { empty: ['west', 'north'] }).warnings.includes(
      'no node would be left to serve callers',
    ),
  );
});

test('a policy: routes, services, and what would lack', (t) => {
  const next = Schemas.policy({
    services: {
      store: { ceiling: 20, coldRate: 5, instances: ['o2'] },
      news: { ceiling: 5, coldRate: 1 },
    },
    routes: [
      {
        name: 'sheets',
        host: 'a.example',
        path: '/sheets/',
        service: 'store',
        homes: ['elsewhere'],
      },
      { name: 'news', host: 'a.example', path: '/news/', service: 'news' },
    ],
  });
  const moves = plan(known, { policy: next });
  t.deepEqual(moves.routes, {
    added: ['news'],
    removed: [],
    changed: [{ route: 'sheets', fields: ['homes'] }],
  });
  t.deepEqual(
    moves.services.map((each) => `${each.service} ${each.change} ${each.ceiling.join(' ')}`),
    ['news added  5', 'store changed 100 20'],
  );
  t.deepEqual(moves.origins, [
    { origin: 'store/o1', before: 'takes work', after: 'the policy does not name this instance' },
  ]);
  t.is(moves.warnings.length, 3);
  t.deepEqual(plan(known, { policy }).routes, { added: [], removed: [], changed: [] });
});
