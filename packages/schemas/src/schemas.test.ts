import test from 'ava';
import { Routes, Schemas, SchemaError, type Route } from './index.js';

const service = { ceiling: 10, coldRate: 1 };
const route = (name: string, path: string, more: object = {}): object => ({
  name,
  host: 'a.example',
  path,
  service: 's',
  ...more,
});
const faults = (raw: unknown): readonly string[] => {
  try {
    Schemas.policy(raw);
    return [];
  } catch (thrown) {
    return thrown instanceof SchemaError ? thrown.faults.map((fault) => fault.path) : ['?'];
  }
};

test('a policy that can not be taken names each fault by its place', (t) => {
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', '/x/')] }), []);
  t.deepEqual(
    faults({ services: { s: service }, routes: [route('r', '/x/', { service: 'none' })] }),
    ['/routes/0/service'],
  );
  t.deepEqual(
    faults({ services: { s: service }, routes: [route('r', '/x/'), route('q', '/x/')] }),
    ['/routes/1/path'],
  );
  t.deepEqual(
    faults({ services: { s: service }, routes: [route('r', '/x/'), route('r', '/y/')] }),
    ['/routes/1/name'],
  );
  t.deepEqual(faults({ services: { s: { ...service, ceiling: 0 } }, routes: [] }), [
    '/services/s/ceiling',
  ]);
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', 'x')] }), ['/routes/0/path']);
  t.deepEqual(faults({ services: { s: { ...service, extra: 1 } }, routes: [] }), ['/services/s']);
  t.deepEqual(faults([]), ['/']);
  t.throws(
    () =>
      Schemas.description({
        service: 's',
        instance: 'i',
        incarnation: 1,
        address: 'localhost:1',
        region: 'r',
        zone: 'h',
        capacity: 1,
      }),
    { instanceOf: SchemaError },
  );
  t.throws(() => Schemas.purge({}), { instanceOf: SchemaError });
  t.throws(() => Schemas.zoneOrder({ order: 'close' }), { instanceOf: SchemaError });
});

test('the longest prefix that ends where a segment ends is the route', (t) => {
  const table = Routes.table(
    Schemas.policy({
      services: { s: service },
      routes: [
        route('all', '/'),
        route('a', '/a'),
        route('ab', '/a/b/'),
        { ...route('other', '/'), host: 'b.example' },
      ],
    }).routes,
  );
  const find = (target: string, host = 'a.example'): string | undefined =>
    Routes.find(table, host, target)?.name;
  t.is(find('/a'), 'a');
  t.is(find('/a/x?y=/a/b/'), 'a');
  t.is(find('/ab'), 'all');
  t.is(find('/a/b/c'), 'ab');
  t.is(find('/', 'B.example:8080'), 'other');
  t.is(find('/', 'c.example'), undefined);
});

test('a route may be split among services by weight', (t) => {
  const services = { s: service, u: {}, v: service };
  const split = (parts: object, more: object = {}): object => ({
    name: 'r',
    host: 'A.example',
    path: '/x/',
    services: parts,
    ...more,
  });
  const read = (raw: object): Route => Schemas.policy({ services, routes: [raw] }).routes[0];
  const parts = [
    { service: 's', weight: 0 },
    { service: 'u', weight: 2.5 },
    { service: 'v', weight: 1 },
  ];
  const shared = read(split(parts, { service: 's' }));
  t.deepEqual(shared.services, parts);
  t.deepEqual(Routes.services(shared), parts.slice(1));
  t.is(Routes.mainService(shared), 'u');
  t.deepEqual(
    ['s', 'u', 'v'].map((name) => Routes.allows(shared, name)),
    [false, true, true],
  );
  t.deepEqual(Routes.services(read(route('r', '/x/'))), [{ service: 's', weight: 1 }]);
  t.deepEqual(
    Routes.homeRegionsOf(
      [{ ...shared, homes: ['north'] }, read(route('r', '/x/', { homes: ['west'] }))],
      'v',
    ),
    ['north'],
  );
  t.is(Routes.find(Routes.table([shared]), 'a.EXAMPLE', '/x/1'), shared);
  const bad = (raw: object): readonly string[] => faults({ services, routes: [raw] });
  t.deepEqual(bad(split([{ service: 's', weight: 0 }])), ['/routes/0/services']);
  t.deepEqual(bad(split([{ service: 'none', weight: 1 }])), ['/routes/0/services/0/service']);
  t.deepEqual(bad(split([{ service: 's', weight: -1 }])), ['/routes/0/services/0/weight']);
  t.deepEqual(bad({ name: 'r', host: 'a.example', path: '/x/' }), ['/routes/0/service']);
  t.deepEqual(bad(route('r', '/x/', { service: 'constructor' })), ['/routes/0/service']);
  t.deepEqual(bad(route('r', '/x/', { cache: { keep: 'always' } })), [
    '/routes/0/cache/mostSeconds',
  ]);
});

test('the newer fields of policies, descriptions and orders', (t) => {
  const document = {
    version: 7,
    notes: { kept: [1, { as: null }] },
    callers: { headBytes: 16_384, bodyBytes: 67_108_864, headMs: 3_000, idleMs: 15_000.5 },
    services: { s: { coldSeconds: 3, instanceConns: 130, probePath: '/well', notes: { b: true } } },
    routes: [
      {
        name: 'a route',
        host: 'a.example',
        path: '/x/',
        service: 's',
        methods: ['GET'],
        repeat: 'safe',
        cache: { keep: 'always', mostSeconds: 0.25 },
        targetMs: 150,
        priority: 0,
        limits: { requestMs: 3_600_000, bodyBytes: 67_108_864, attempts: 2 },
        tagsHeader: 'surrogate-key',
        notes: {},
      },
    ],
  };
  t.deepEqual(Schemas.policy(document) as unknown, document);
  t.deepEqual(faults({ services: {}, routes: [], version: -1 }), ['/version']);
  const told = {
    service: 's',
    instance: 'i',
    incarnation: 0,
    address: '127.0.0.1:1',
    region: 'r',
    zone: 'h',
    state: 'cold',
    coldMs: 2_500,
    draining: false,
    slots: 8,
    sequence: 4,
    release: 'v1',
  };
  t.deepEqual(Schemas.description(told) as unknown, told);
  t.throws(() => Schemas.description({ ...told, slots: undefined }), { instanceOf: SchemaError });
  t.deepEqual(Schemas.zoneOrder({ order: 'empty' }), { order: 'empty', of: 'all' });
  t.deepEqual(Schemas.zoneOrder({ order: 'take-back', of: 'origins' }), {
    order: 'take-back',
    of: 'origins',
  });
});
