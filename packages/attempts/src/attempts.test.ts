import test from 'ava';
import { type Attempt, type AttemptResult, decideNextStep, shouldHedge } from './index.js';

const attempt = (number: number, result: AttemptResult | null): Attempt => ({
  number,
  to: { kind: 'origin', id: `o${number}` },
  openedAt: 0,
  timeoutAt: 10,
  result,
});
const results: readonly AttemptResult[] = [
  { kind: 'failed', sent: 'nothing', why: 'connect' },
  { kind: 'failed', sent: 'maybe', why: 'cut' },
  { kind: 'failed', sent: 'maybe', why: 'limit' },
  { kind: 'answered', status: 200, final: true, provablyNotExecuted: false },
  { kind: 'answered', status: 503, final: false, provablyNotExecuted: true },
  { kind: 'answered', status: 503, final: false, provablyNotExecuted: false },
];
const mayHaveRun = (result: AttemptResult): boolean =>
  result.kind === 'failed' ? result.sent === 'maybe' : !result.provablyNotExecuted;

test('for every sequence of up to three attempts, an unsafe request is never repeated once an attempt may have run', (t) => {
  const ledgers = results.flatMap((a) => [
    [a],
    ...results.flatMap((b) => [[a, b], ...results.map((c) => [a, b, c])]),
  ]);
  t.is(ledgers.length, 6 + 36 + 216);
  for (const ledger of ledgers) {
    for (const hasRetryBudget of [true, false]) {
      const attempts = ledger.map((result, index) => attempt(index, result));
      const step = decideNextStep({
        safe: false,
        attempts,
        now: 5,
        requestDeadlineAt: 9,
        hasRetryBudget: hasRetryBudget,
      });
      if (ledger.some(mayHaveRun) && step.kind === 'open') t.fail(JSON.stringify(ledger));
      // A 503 and the outcome "not-run" appear exactly when no attempt may have run.
      if (step.kind === 'fail') t.is(step.status === 503, !ledger.some(mayHaveRun));
      if (step.kind === 'fail') t.is(step.outcome === 'not-run', !ledger.some(mayHaveRun));
      if (!hasRetryBudget) t.not(step.kind, 'open');
    }
  }
});

test('a safe request is retried within its deadline, retry budget and number of attempts, and fails beyond them', (t) => {
  const attempts = [attempt(0, results[1] ?? null)];
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
      attempts: [0, 1, 2].map((number) => attempt(number, results[1] ?? null)),
      now: 5,
      requestDeadlineAt: 9,
      hasRetryBudget: true,
    }).kind,
    'fail',
  );
});

test('only a safe request is hedged, and no request fails while an attempt is in flight', (t) => {
  const unresponsive = attempt(0, null);
  const hedge = {
    safe: true,
    attempts: [unresponsive],
    now: 5,
    requestDeadlineAt: 9,
    hasRetryBudget: true,
    hedgeDelayMs: 5,
  };
  t.true(shouldHedge(hedge));
  t.false(shouldHedge({ ...hedge, safe: false }));
  t.false(shouldHedge({ ...hedge, hasRetryBudget: false }));
  t.false(shouldHedge({ ...hedge, now: 4 }));
  t.false(shouldHedge({ ...hedge, now: 9 }));
  t.false(shouldHedge({ ...hedge, maxAttempts: 1 }));
  t.false(shouldHedge({ ...hedge, attempts: [unresponsive, attempt(1, null)] }));
  for (const result of results) {
    const step = decideNextStep({
      safe: true,
      attempts: [unresponsive, attempt(1, result)],
      now: 5,
      requestDeadlineAt: 9,
      hasRetryBudget: true,
    });
    t.is(step.kind, result.kind === 'answered' && result.final ? 'relay' : 'wait');
  }
});
