import test from 'ava';
import { Limits } from '@reedyard/gauge';
import type { Feed } from '@reedyard/jig';
import { Stencil } from '@reedyard/stencil';
import { Lathe, present, type Asked, type LatheEffect, type LatheEvent, type LatheState, type LegAnswer } from './index.js';

const policy = Stencil.policy({
  services: { store: { ceiling: 1_000, coldRate: 10 } },
  routes: [{ name: 'sheets', host: 'a.example', path: '/sheets/', service: 'store', methods: ['GET', 'POST'] }, { name: 'homed', host: 'a.example', path: '/homed/', service: 'store', homes: ['far'] }],
});
const origin = { service: 'store', instance: 'o1', incarnation: 1, address: '10.0.0.1:1', hall: 'w', region: 'near', capacity: 100, cold: false };
const partner = { id: 'b', hall: 'w', region: 'far', address: '10.0.0.2:1', delay: 0.001 };
const feedOf = (part: Partial<Feed> = {}): Feed => ({
  leaseMs: Limits.lease, life: 'l', flushes: 0, policy: { serial: 1, document: policy }, policySerial: 1, origins: [origin], partners: [partner], emptied: [], split: {},
  slices: { store: { rate: 1_000, share: 1 } }, seated: true, purges: [], purgeSeq: 0, ...part,
});
const asked = (method: string, target = '/sheets/1'): Asked => ({ method, target, host: 'a.example', headers: {}, via: null, bodyBytes: 0 });
const arrive = (id: number, method: string, now: number, target?: string): LatheEvent => ({ kind: 'arrived', id, asked: asked(method, target), draws: [0.5, 0.5, 0.5, 0.5, 0.5], token: `t${id}`, now });
const answer = (mark: string, part: Partial<LegAnswer> = {}): LegAnswer => ({
  status: 200, size: 3, whole: true, body: 'abc', headers: { 'reedyard-stamp': 'store/o1/1', 'reedyard-leg': mark, 'cache-control': 'max-age=60' }, ...part,
});
const play = (events: readonly LatheEvent[], from: LatheState): { state: LatheState; effects: readonly LatheEffect[] } =>
  events.reduce<{ state: LatheState; effects: readonly LatheEffect[] }>((all, event) => {
    const step = Lathe.reduce(all.state, event);
    return { state: step.state, effects: [...all.effects, ...step.effects] };
  }, { state: from, effects: [] });
/** A lathe that has had its feed for a second, so that its buckets are filled. */
const begun = (feed = feedOf()): LatheState => play([
  { kind: 'fed', feed, askedAt: 0, now: 0 }, { kind: 'arrived', id: 90, asked: { ...asked('POST'), via: 'z' }, draws: [0.5, 0.5, 0.5, 0.5, 0.5], token: 't90', now: 1 }, { kind: 'left', id: 90, now: 1 }, { kind: 'beat', now: 500 }, { kind: 'fed', feed: { ...feed, policy: null }, askedAt: 900, now: 900 },
], Lathe.open({ id: 'a', hall: 'w', region: 'near', capacityBps: 1e7, life: 'x' }, 0)).state;
const only = <K extends LatheEffect['kind']>(effects: readonly LatheEffect[], kind: K, id: number): readonly Extract<LatheEffect, { kind: K }>[] =>
  effects.filter((effect): effect is Extract<LatheEffect, { kind: K }> => effect.kind === kind && 'id' in effect && effect.id === id);

const orders = <T>(list: readonly T[]): readonly (readonly T[])[] => (list.length < 2 ? [list] : list.flatMap((each, index) => orders([...list.slice(0, index), ...list.slice(index + 1)]).map((rest) => [each, ...rest])));

test('one transaction, all orders of what can befall it: one answer at most, one end, and no second leg that may run twice', (t) => {
  let played = 0;
  for (const method of ['GET', 'POST']) {
    const happenings: readonly ((now: number) => LatheEvent)[] = [
      (now) => ({ kind: 'answered', id: 1, leg: 0, answer: answer('t1-0'), now }),
      (now) => ({ kind: 'failed', id: 1, leg: 0, sent: 'maybe', why: 'cut', now }),
      (now) => ({ kind: 'left', id: 1, now }),
      (now) => ({ kind: 'beat', now: now + Limits.leg }),
      (now) => ({ kind: 'fed', feed: feedOf({ policy: null, purges: [{ seq: 1, purge: { objects: ['a.example/sheets/1'], tags: [] } }], purgeSeq: 1 }), askedAt: now, now }),
      (now) => ({ kind: 'answered', id: 1, leg: 1, answer: answer('t1-1'), now }),
    ];
    for (const order of orders(happenings)) {
      const { state, effects } = play([arrive(1, method, 1_000), ...order.map((make, index) => make(1_010 + index)), { kind: 'beat', now: 60_000 }, { kind: 'beat', now: 60_025 }], begun());
      const opens = only(effects, 'open', 1);
      const gone = order.findIndex((make) => make(0).kind === 'left');
      played += 1;
      t.true(only(effects, 'answer', 1).length <= 1);
      t.is(only(effects, 'closed', 1).length, 1, `${method} ${order.map((make) => make(0).kind).join(' ')}`);
      t.true(gone >= 0 && opens.length >= 1);
      t.is(Object.keys(state.transactions).length, 0);
      if (method === 'POST') t.is(opens.length, 1);
    }
  }
  t.is(played, 1_440);
});

test('an answer of another mark, stamp or leg is never passed on', (t) => {
  for (const bad of [answer('t9-0'), answer('t1-0', { headers: { 'reedyard-leg': 't1-0' } }), answer('t1-0', { headers: { 'reedyard-stamp': 'store/o1/2', 'reedyard-leg': 't1-0' } })]) {
    const { effects } = play([arrive(1, 'POST', 1_000), { kind: 'answered', id: 1, leg: 0, answer: bad, now: 1_010 }], begun());
    const [given] = only(effects, 'answer', 1);
    t.is(given?.answer.status, 502);
    t.is(given?.answer.headers['reedyard-outcome'], 'unknown');
    t.is(only(effects, 'abort', 1).length, 1);
  }
});

test('once the lease is over: no copy, no leg, no read passed on; what ran is still told', (t) => {
  const kept = play([arrive(1, 'GET', 1_000), { kind: 'answered', id: 1, leg: 0, answer: answer('t1-0'), now: 1_010 }], begun()).state;
  t.is(kept.sieve.copies.size, 1);
  t.is(only(play([arrive(2, 'GET', 1_100)], kept).effects, 'answer', 2)[0]?.answer.status, 200);
  const late = 900 + Limits.lease;
  t.is(only(play([arrive(2, 'GET', late)], kept).effects, 'answer', 2)[0]?.answer.status, 503);
  t.is(only(play([arrive(2, 'GET', 1_100, '/sheets/2'), { kind: 'answered', id: 2, leg: 0, answer: answer('t2-0'), now: late }], kept).effects, 'answer', 2)[0]?.answer.status, 502);
  t.is(only(play([arrive(2, 'POST', 1_100), { kind: 'answered', id: 2, leg: 0, answer: answer('t2-0'), now: late }], kept).effects, 'answer', 2)[0]?.answer.status, 200);
});

test('outside its homes a route is relayed to a partner inside, unkept; without one it is not served', (t) => {
  const { state, effects } = play([arrive(1, 'GET', 1_000, '/homed/1'), { kind: 'answered', id: 1, leg: 0, answer: answer('t1-0'), now: 1_010 }], begun());
  t.is(only(effects, 'open', 1)[0]?.to.kind, 'partner');
  t.is(only(effects, 'answer', 1)[0]?.answer.status, 200);
  t.is(state.sieve.copies.size, 0);
  const alone = play([arrive(1, 'GET', 1_000, '/homed/1')], begun(feedOf({ partners: [] }))).effects;
  t.is(only(alone, 'answer', 1)[0]?.answer.status, 503);
  t.is(only(alone, 'open', 1).length, 0);
});

test('what arrives from a partner is served here, never handed on', (t) => {
  const split = { sheets: [['b', 1] as const] };
  const from = (via: string | null): LatheEvent => ({ kind: 'arrived', id: 1, asked: { ...asked('GET'), via }, draws: [0.5, 0.5, 0.5, 0.5, 0.5], token: 't1', now: 1_000 });
  t.is(only(play([from(null)], begun(feedOf({ split }))).effects, 'open', 1)[0]?.to.kind, 'partner');
  t.is(only(play([from('b')], begun(feedOf({ split }))).effects, 'open', 1)[0]?.to.kind, 'origin');
});

test('the draw follows the row', (t) => {
  const split = { sheets: [['a', 0.3] as const, ['b', 0.7] as const] };
  let away = 0;
  for (let each = 0; each < 100; each += 1) {
    const event: LatheEvent = { kind: 'arrived', id: 1, asked: asked('GET'), draws: [(each + 0.5) / 100, 0.5, 0.5, 0.5, 0.5], token: 't1', now: 1_000 };
    if (only(play([event], begun(feedOf({ split }))).effects, 'open', 1)[0]?.to.kind === 'partner') away += 1;
  }
  t.is(away, 70);
});

test('without a token the answer is given at once, or within the holding', (t) => {
  const none = begun(feedOf({ slices: { store: { rate: 0, share: 0 } } }));
  const { effects } = play([arrive(1, 'GET', 1_000)], none);
  t.is(only(effects, 'answer', 1)[0]?.answer.status, 503);
  t.is(only(effects, 'answer', 1)[0]?.answer.headers['retry-after'], '1');
});

test('shown whole, as a part, or as not changed', (t) => {
  t.is(present('GET', { 'if-none-match': '"a"' }, 200, { etag: '"a"' }, 10).status, 304);
  t.deepEqual([present('GET', { range: 'bytes=2-3' }, 200, {}, 10)].map(({ status, from, to }) => [status, from, to]), [[206, 2, 4]]);
  t.is(present('GET', { range: 'bytes=2-3', 'if-range': '"b"' }, 200, { etag: '"a"' }, 10).status, 200);
  t.is(present('GET', { range: 'bytes=20-' }, 200, {}, 10).status, 416);
  t.is(present('POST', { range: 'bytes=0-1' }, 200, {}, 10).status, 200);
});
