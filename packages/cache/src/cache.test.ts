import test from 'ava';
import { Cache, type CachedResponse } from './index.js';

const copy = (
  key: string,
  tags: readonly string[],
  size = 10,
  freshUntil = 1_000,
): CachedResponse => ({
  key,
  service: 's',
  status: 200,
  headers: {},
  body: key,
  sizeBytes: size,
  tags,
  vary: {},
  storedAt: 0,
  freshUntil,
  initialAgeSeconds: 0,
});
const request = { method: 'GET', url: '/x', headers: {} };
const life = (
  headers: Record<string, string>,
  attemptMs = 0,
  asked: Record<string, string> = {},
): number => Cache.life({ ...request, headers: asked }, { status: 200, headers }, attemptMs);

test('how long an answer is kept follows its headers, its age and the attempt that brought it', (t) => {
  t.is(life({ 'cache-control': 'max-age=60' }), 60_000);
  t.is(life({ 'cache-control': 'max-age=60', age: '50' }), 10_000);
  t.is(life({ 'cache-control': 'max-age=60' }, 1_500), 58_500);
  t.is(life({ 'cache-control': 'max-age=60, s-maxage=5' }), 5_000);
  t.is(
    life({ date: 'Tue, 01 Dec 2026 10:00:00 GMT', expires: 'Tue, 01 Dec 2026 10:00:30 GMT' }),
    30_000,
  );
  for (const none of ['no-store', 'private', 'no-cache', 'max-age=0', ''])
    t.is(life({ 'cache-control': none }), 0, none);
  t.is(life({ 'cache-control': 'max-age=60', vary: '*' }), 0);
  t.is(life({ 'cache-control': 'max-age=60' }, 0, { authorization: 'x' }), 0);
});

test('purges by object and by tag, and remembers them for fetches under way', (t) => {
  let state = [
    copy('a.example/1', ['t']),
    copy('a.example/2', ['t', 'u']),
    copy('a.example/3', []),
  ].reduce((all, each) => Cache.keep(all, each), Cache.empty);
  state = Cache.purge(state, { objects: ['http://A.example:80/3'], tags: ['u'] }, 100);
  t.deepEqual([...state.copies.keys()], ['a.example/1']);
  t.is(state.bytes, 10);
  t.is(Cache.firstPurgeSince(state, 'a.example/3', [], 50), 100);
  t.is(Cache.firstPurgeSince(state, 'a.example/9', ['u'], 50), 100);
  t.is(Cache.firstPurgeSince(state, 'a.example/9', ['u'], 101), null);
  // Of several, the first since then tells how long it was known; each is forgotten after its
  // minute.
  state = Cache.purge(state, { objects: [], tags: ['u'] }, 400);
  t.is(Cache.firstPurgeSince(state, 'a.example/9', ['u'], 50), 100);
  t.is(Cache.firstPurgeSince(state, 'a.example/9', ['u'], 101), 400);
  state = Cache.purge(state, { objects: ['a.example/7'], tags: [] }, 60_200);
  t.is(Cache.firstPurgeSince(state, 'a.example/3', [], 0), null);
  t.is(Cache.firstPurgeSince(state, 'a.example/9', ['u'], 0), 400);
  t.is(state.purgedAt.size, 2);
});

test('memory is bounded, the least lately used goes first, and nothing outlives its life', (t) => {
  let state = Cache.keep(Cache.keep(Cache.empty, copy('1', []), 25), copy('2', []), 25);
  state = Cache.touch(state, '1');
  state = Cache.keep(state, copy('3', []), 25);
  t.deepEqual([...state.copies.keys()], ['1', '3']);
  t.truthy(Cache.find(state, '1', {}, 999));
  t.is(Cache.find(state, '1', {}, 1_000), undefined);
  t.is(Cache.evictWhere(state, ({ freshUntil }) => freshUntil <= 1_000).bytes, 0);
});

test('a copy answers only requests that agree in the fields it varies by', (t) => {
  const state = Cache.keep(Cache.empty, {
    ...copy('1', []),
    vary: Cache.vary({ vary: 'Accept-Language' }, { 'accept-language': 'de' }),
  });
  t.truthy(Cache.find(state, '1', { 'accept-language': 'de' }, 1));
  t.is(Cache.find(state, '1', { 'accept-language': 'fr' }, 1), undefined);
});
