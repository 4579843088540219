import test from 'ava';
import { Routes, Stencil, StencilError } from './index.js';

const service = { ceiling: 10, coldRate: 1 };
const route = (name: string, path: string, more: object = {}): object => ({ name, host: 'a.example', path, service: 's', ...more });
const faults = (raw: unknown): readonly string[] => { try { Stencil.policy(raw); return []; } catch (thrown) { return thrown instanceof StencilError ? thrown.faults.map((fault) => fault.path) : ['?']; } };

test('a policy that can not be taken names each fault by its place', (t) => {
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', '/x/')] }), []);
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', '/x/', { service: 'none' })] }), ['/routes/0/service']);
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', '/x/'), route('q', '/x/')] }), ['/routes/1/path']);
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', '/x/'), route('r', '/y/')] }), ['/routes/1/name']);
  t.deepEqual(faults({ services: { s: { ...service, ceiling: 0 } }, routes: [] }), ['/services/s/ceiling']);
  t.deepEqual(faults({ services: { s: service }, routes: [route('r', 'x')] }), ['/routes/0/path']);
  t.deepEqual(faults({ services: { s: { ...service, extra: 1 } }, routes: [] }), ['/services/s']);
  t.deepEqual(faults([]), ['/']);
  t.throws(() => Stencil.description({ service: 's', instance: 'i', incarnation: 1, address: 'localhost:1', region: 'r', hall: 'h', capacity: 1 }), { instanceOf: StencilError });
  t.throws(() => Stencil.purge({}), { instanceOf: StencilError });
  t.throws(() => Stencil.hallOrder({ order: 'close' }), { instanceOf: StencilError });
});

test('the longest prefix that ends where a segment ends is the route', (t) => {
  const table = Routes.table(Stencil.policy({ services: { s: service }, routes: [route('all', '/'), route('a', '/a'), route('ab', '/a/b/'), { ...route('other', '/'), host: 'b.example' }] }).routes);
  const find = (target: string, host = 'a.example'): string | undefined => Routes.find(table, host, target)?.name;
  t.is(find('/a'), 'a');
  t.is(find('/a/x?y=/a/b/'), 'a');
  t.is(find('/ab'), 'all');
  t.is(find('/a/b/c'), 'ab');
  t.is(find('/', 'B.example:8080'), 'other');
  t.is(find('/', 'c.example'), undefined);
});
