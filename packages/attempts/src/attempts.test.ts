import test from 'ava';
import { type Attempt, type AttemptResult, decideNextStep, shouldHedge } from './index.js';

const attempt = (number: number, end: AttemptResult | null): Attempt => ({
  number,
  to: { kind: 'origin', id: `o${number}` },
  openedAt: 0,
  timeoutAt: 10,
  result: end,
});
const ends: readonly AttemptResult[] = [
  { kind: 'failed', sent: 'nothing', why: 'connect' },
  { kind: 'failed', sent: 'maybe', why: 'cut' },
  { kind: 'failed', sent: 'maybe', why: 'limit' },
  { kind: 'answered', status: 200, final: true, provablyNotExecuted: false },
  { kind: 'answered', status: 503, final: false, provablyNotExecuted: true },
  { kind: 'answered', status: 503, final: false, provablyNotExecuted: false },
];
const ran = (end: AttemptResult): boolean =>
  end.kind === 'failed' ? end.sent === 'maybe' : !end.provablyNotExecuted;

test('over every ledger of up to three attempts: an unsafe one is never made again once an attempt may have run', (t) => {
  const ledgers = ends.flatMap((a) => [
    [a],
    ...ends.flatMap((b) => [[a, b], ...ends.map((c) => [a, b, c])]),
  ]);
  t.is(ledgers.length, 6 + 36 + 216);
  for (const list of ledgers) {
    for (const hasRetryBudget of [true, false]) {
      const attempts = list.map((end, index) => attempt(index, end));
      const move = decideNextStep({
        safe: false,
        attempts,
        now: 5,
        requestDeadlineAt: 9,
        hasRetryBudget: hasRetryBudget,
      });
      if (list.some(ran) && move.kind === 'open') t.fail(JSON.stringify(list));
      // A 503 tells "not run", and is told only where no attempt may have run; nothing else claims
      // it.
      if (move.kind === 'fail') t.is(move.status === 503, !list.some(ran));
      if (move.kind === 'fail') t.is(move.outcome === 'not-run', !list.some(ran));
      if (!hasRetryBudget) t.not(move.kind, 'open');
    }
  }
});

test('a safe one is made again within its limit and budget, then given up at once', (t) => {
  const attempts = [attempt(0, ends[1] ?? null)];
  t.is(
    decideNextStep({ safe: true, attempts, now: 5, requestDeadlineAt: 9, hasRetryBudget: true })
      .kind,
    'open',
  );
  t.is(
    decideNextStep({ safe: true, attempts, now: 9, requestDeadlineAt: 9, hasRetryBudget: true })
      .kind,
    'fail',
  );
  t.is(
    decideNextStep({ safe: true, attempts, now: 5, requestDeadlineAt: 9, hasRetryBudget: false })
      .kind,
    'fail',
  );
  t.is(
    decideNextStep({
      safe: true,
      attempts: [attempt(0, null)],
      now: 5,
      requestDeadlineAt: 9,
      hasRetryBudget: true,
    }).kind,
    'wait',
  );
  t.is(
    decideNextStep({
      safe: true,
      attempts: [0, 1, 2].map((n) => attempt(n, ends[1] ?? null)),
      now: 5,
      requestDeadlineAt: 9,
      hasRetryBudget: true,
    }).kind,
    'fail',
  );
});

test('beside a silent attempt a second one is made for a safe request alone, and nothing is given up while one is under way', (t) => {
  const silent = attempt(0, null);
  const hedge = {
    safe: true,
    attempts: [silent],
    now: 5,
    limitAt: 9,
    hasRetryBudget: true,
    hedgeDelayMs: 5,
  };
  t.true(shouldHedge(hedge));
  t.false(shouldHedge({ ...hedge, safe: false }));
  t.false(shouldHedge({ ...hedge, hasRetryBudget: false }));
  t.false(shouldHedge({ ...hedge, now: 4 }));
  t.false(shouldHedge({ ...hedge, now: 9 }));
  t.false(shouldHedge({ ...hedge, maxAttempts: 1 }));
  t.false(shouldHedge({ ...hedge, attempts: [silent, attempt(1, null)] }));
  for (const end of ends) {
    const move = decideNextStep({
      safe: true,
      attempts: [silent, attempt(1, end)],
      now: 5,
      requestDeadlineAt: 9,
      hasRetryBudget: true,
    });
    t.is(move.kind, end.kind === 'answered' && end.final ? 'relay' : 'wait');
  }
});
