import test from 'ava';
import { Attempts, type Attempt, type AttemptEnd } from './index.js';

const attempt = (number: number, end: AttemptEnd | null): Attempt => ({
  number,
  to: { kind: 'origin', id: `o${number}` },
  openedAt: 0,
  limitAt: 10,
  end,
});
const ends: readonly AttemptEnd[] = [
  { kind: 'failed', sent: 'nothing', why: 'connect' },
  { kind: 'failed', sent: 'maybe', why: 'cut' },
  { kind: 'failed', sent: 'maybe', why: 'limit' },
  { kind: 'answered', status: 200, final: true, notRun: false },
  { kind: 'answered', status: 503, final: false, notRun: true },
  { kind: 'answered', status: 503, final: false, notRun: false },
];
const ran = (end: AttemptEnd): boolean =>
  end.kind === 'failed' ? end.sent === 'maybe' : !end.notRun;

test('over every ledger of up to three attempts: an unsafe one is never made again once an attempt may have run', (t) => {
  const ledgers = ends.flatMap((a) => [
    [a],
    ...ends.flatMap((b) => [[a, b], ...ends.map((c) => [a, b, c])]),
  ]);
  t.is(ledgers.length, 6 + 36 + 216);
  for (const list of ledgers) {
    for (const mayRepeat of [true, false]) {
      const attempts = list.map((end, index) => attempt(index, end));
      const move = Attempts.next({ safe: false, attempts, now: 5, limitAt: 9, mayRepeat });
      if (list.some(ran) && move.kind === 'open') t.fail(JSON.stringify(list));
      // A 503 tells "not run", and is told only where no attempt may have run; nothing else claims
      // it.
      if (move.kind === 'give-up') t.is(move.status === 503, !list.some(ran));
      if (move.kind === 'give-up') t.is(move.outcome === 'not-run', !list.some(ran));
      if (!mayRepeat) t.not(move.kind, 'open');
    }
  }
});

test('a safe one is made again within its limit and budget, then given up at once', (t) => {
  const attempts = [attempt(0, ends[1] ?? null)];
  t.is(Attempts.next({ safe: true, attempts, now: 5, limitAt: 9, mayRepeat: true }).kind, 'open');
  t.is(
    Attempts.next({ safe: true, attempts, now: 9, limitAt: 9, mayRepeat: true }).kind,
    'give-up',
  );
  t.is(
    Attempts.next({ safe: true, attempts, now: 5, limitAt: 9, mayRepeat: false }).kind,
    'give-up',
  );
  t.is(
    Attempts.next({ safe: true, attempts: [attempt(0, null)], now: 5, limitAt: 9, mayRepeat: true })
      .kind,
    'wait',
  );
  t.is(
    Attempts.next({
      safe: true,
      attempts: [0, 1, 2].map((n) => attempt(n, ends[1] ?? null)),
      now: 5,
      limitAt: 9,
      mayRepeat: true,
    }).kind,
    'give-up',
  );
});

test('beside a silent attempt a second one is made for a safe request alone, and nothing is given up while one is under way', (t) => {
  const silent = attempt(0, null);
  const hedge = {
    safe: true,
    attempts: [silent],
    now: 5,
    limitAt: 9,
    mayRepeat: true,
    silentMs: 5,
  };
  t.true(Attempts.mayHedge(hedge));
  t.false(Attempts.mayHedge({ ...hedge, safe: false }));
  t.false(Attempts.mayHedge({ ...hedge, mayRepeat: false }));
  t.false(Attempts.mayHedge({ ...hedge, now: 4 }));
  t.false(Attempts.mayHedge({ ...hedge, now: 9 }));
  t.false(Attempts.mayHedge({ ...hedge, most: 1 }));
  t.false(Attempts.mayHedge({ ...hedge, attempts: [silent, attempt(1, null)] }));
  for (const end of ends) {
    const move = Attempts.next({
      safe: true,
      attempts: [silent, attempt(1, end)],
      now: 5,
      limitAt: 9,
      mayRepeat: true,
    });
    t.is(move.kind, end.kind === 'answered' && end.final ? 'relay' : 'wait');
  }
});
