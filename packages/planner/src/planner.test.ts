import test from 'ava';
import type { NodeRecord } from '@reedyard/agent';
import { Schemas, type OriginDescription } from '@reedyard/schemas';
import { plan, type SystemState } from './index.js';

const node = (id: string, zone: string, region: string, demand: number): NodeRecord => ({
  id,
  zone,
  region,
  address: '',
  proxy: { callers: '', peers: '', capacityBps: 1 },
  replica: null,
  ready: true,
  staying: true,
  proxyLife: '',
  wants: { store: demand },
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
const current: SystemState = {
  policy,
  evacuatedZones: [],
  nodes: [node('a', 'west', 'r', 10), node('b', 'west', 'r', 10), node('c', 'north', 'r', 10)],
  origins: [origin('o1', 'west'), origin('o2', 'north')],
  quotaRates: { store: { a: 33, b: 33, c: 33 } },
};

test('evacuating a zone stops its nodes and origins and moves its load to the remaining nodes', (t) => {
  const changes = plan(current, { evacuate: ['west'] });
  t.deepEqual(
    changes.nodes.map((change) => `${change.node} ${change.before} ${change.after}`),
    ['a serves emptied', 'b serves emptied'],
  );
  t.deepEqual(changes.origins, [
    { origin: 'store/o1', before: 'takes work', after: 'its zone is emptied' },
  ]);
  t.deepEqual(
    changes.load.map((load) => [load.node, Math.round(load.after)]),
    [
      ['a', 0],
      ['b', 0],
      ['c', 30],
    ],
  );
  // One instance remains, with a capacity below the ceiling.
  t.is(Math.round(changes.shares.find((share) => share.node === 'c')?.after ?? 0), 60);
  t.deepEqual(changes.warnings, []);
  t.true(
    plan(current, { evacuate: ['west', 'north'] }).warnings.includes(
      'no node would remain to serve clients',
    ),
  );
});

test('a new policy is compared by route and service, and missing nodes or instances are warned about', (t) => {
  const nextPolicy = Schemas.policy({
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
  const changes = plan(current, { policy: nextPolicy });
  t.deepEqual(changes.routes, {
    added: ['news'],
    removed: [],
    changed: [{ route: 'sheets', fields: ['homes'] }],
  });
  t.deepEqual(
    changes.services.map(
      (service) => `${service.service} ${service.change} ${service.ceiling.join(' ')}`,
    ),
    ['news added  5', 'store changed 100 20'],
  );
  t.deepEqual(changes.origins, [
    { origin: 'store/o1', before: 'takes work', after: 'the policy does not name this instance' },
  ]);
  t.is(changes.warnings.length, 3);
  t.deepEqual(plan(current, { policy }).routes, { added: [], removed: [], changed: [] });
});
