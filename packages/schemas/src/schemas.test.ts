import test from 'ava';
import { Routes, Schemas, SchemaError, type Route } from './index.js';

const service = { ceiling: 10, coldRate: 1 };
const route = (name: string, path: string, overrides: object = {}): object => ({
  name,
  host: 'a.example',
  path,
  service: 's',
  ...overrides,
});
const faultPaths = (raw: unknown): readonly string[] => {
  try {
    Schemas.policy(raw);
    return [];
  } catch (thrown) {
    return thrown instanceof SchemaError ? thrown.faults.map((fault) => fault.path) : ['?'];
  }
};

test('an invalid document is refused, and each fault of a policy is reported by its path', (t) => {
  t.deepEqual(faultPaths({ services: { s: service }, routes: [route('r', '/x/')] }), []);
  t.deepEqual(
    faultPaths({ services: { s: service }, routes: [route('r', '/x/', { service: 'none' })] }),
    ['/routes/0/service'],
  );
  t.deepEqual(
    faultPaths({ services: { s: service }, routes: [route('r', '/x/'), route('q', '/x/')] }),
    ['/routes/1/path'],
  );
  t.deepEqual(
    faultPaths({ services: { s: service }, routes: [route('r', '/x/'), route('r', '/y/')] }),
    ['/routes/1/name'],
  );
  t.deepEqual(faultPaths({ services: { s: { ...service, ceiling: 0 } }, routes: [] }), [
    '/services/s/ceiling',
  ]);
  t.deepEqual(faultPaths({ services: { s: service }, routes: [route('r', 'x')] }), [
    '/routes/0/path',
  ]);
  t.deepEqual(faultPaths({ services: { s: { ...service, extra: 1 } }, routes: [] }), [
    '/services/s',
  ]);
  t.deepEqual(faultPaths([]), ['/']);
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

test('a request belongs to the longest route prefix that ends at a path segment', (t) => {
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

test('the requests of a route may be distributed among services by weight', (t) => {
  const services = { s: service, u: {}, v: service };
  const splitRoute = (weightedServices: object, overrides: object = {}): object => ({
    name: 'r',
    host: 'A.example',
    path: '/x/',
    services: weightedServices,
    ...overrides,
  });
  const parseRoute = (raw: object): Route => Schemas.policy({ services, routes: [raw] }).routes[0];
  const weightedServices = [
    { service: 's', weight: 0 },
    { service: 'u', weight: 2.5 },
    { service: 'v', weight: 1 },
  ];
  const shared = parseRoute(splitRoute(weightedServices, { service: 's' }));
  t.deepEqual(shared.services, weightedServices);
  t.deepEqual(Routes.services(shared), weightedServices.slice(1));
  t.is(Routes.mainService(shared), 'u');
  t.deepEqual(
    ['s', 'u', 'v'].map((name) => Routes.allows(shared, name)),
    [false, true, true],
  );
  t.deepEqual(Routes.services(parseRoute(route('r', '/x/'))), [{ service: 's', weight: 1 }]);
  t.deepEqual(
    Routes.homeRegionsOf(
      [{ ...shared, homes: ['north'] }, parseRoute(route('r', '/x/', { homes: ['west'] }))],
      'v',
    ),
    ['north'],
  );
  t.is(Routes.find(Routes.table([shared]), 'a.EXAMPLE', '/x/1'), shared);
  const faultsOf = (raw: object): readonly string[] => faultPaths({ services, routes: [raw] });
  t.deepEqual(faultsOf(splitRoute([{ service: 's', weight: 0 }])), ['/routes/0/services']);
  t.deepEqual(faultsOf(splitRoute([{ service: 'none', weight: 1 }])), [
    '/routes/0/services/0/service',
  ]);
  t.deepEqual(faultsOf(splitRoute([{ service: 's', weight: -1 }])), [
    '/routes/0/services/0/weight',
  ]);
  t.deepEqual(faultsOf({ name: 'r', host: 'a.example', path: '/x/' }), ['/routes/0/service']);
  t.deepEqual(faultsOf(route('r', '/x/', { service: 'constructor' })), ['/routes/0/service']);
  t.deepEqual(faultsOf(route('r', '/x/', { cache: { keep: 'always' } })), [
    '/routes/0/cache/mostSeconds',
  ]);
});

test('optional fields of policies, descriptions and zone orders are parsed', (t) => {
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
  t.deepEqual(faultPaths({ services: {}, routes: [], version: -1 }), ['/version']);
  const description = {
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
  t.deepEqual(Schemas.description(description) as unknown, description);
  t.throws(() => Schemas.description({ ...description, slots: undefined }), {
    instanceOf: SchemaError,
  });
  t.deepEqual(Schemas.zoneOrder({ order: 'empty' }), { order: 'empty', of: 'all' });
  t.deepEqual(Schemas.zoneOrder({ order: 'take-back', of: 'origins' }), {
    order: 'take-back',
    of: 'origins',
  });
});
