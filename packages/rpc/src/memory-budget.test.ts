import test from 'ava';
import { MemoryBudget, stalledAfterMs } from './memory-budget.js';

test('bodies are held up to the budget together, and a single one whatever its size', (t) => {
  const budget = new MemoryBudget(100);
  const [first, second, third] = [budget.open(), budget.open(), budget.open()];
  t.true(first.reserve(90));
  t.true(second.reserve(10));
  t.false(second.reserve(1));
  t.false(third.reserve(1));
  t.is(budget.heldBytes, 100);
  first.release();
  first.release();
  t.is(budget.heldBytes, 10);
  t.true(third.reserve(90));
  second.release();
  t.true(third.reserve(1_000), 'alone, it may exceed the budget');
  third.release();
  t.is(budget.heldBytes, 0);
});

test('who makes no progress loses its memory, the longest without first, before others are refused', (t) => {
  let now = 0;
  const budget = new MemoryBudget(100, () => now);
  const evicted: string[] = [];
  const open = (name: string): ReturnType<MemoryBudget['open']> =>
    budget.open(() => evicted.push(name));
  const [stalled, slow, answered, newcomer] = [
    open('stalled'),
    open('slow'),
    open('answered'),
    open('newcomer'),
  ];
  t.true(stalled.reserve(30));
  t.true(slow.reserve(30));
  t.true(answered.reserve(40));
  answered.waitsForClient(false);
  now = stalledAfterMs - 1;
  slow.progress();
  t.false(newcomer.reserve(10), 'nobody is without progress for long enough');
  now = stalledAfterMs;
  t.true(newcomer.reserve(10));
  t.deepEqual(evicted, ['stalled']);
  t.is(budget.heldBytes, 80);
  t.false(newcomer.reserve(30), 'neither one that makes progress nor one that waits for us');
  now = 3 * stalledAfterMs;
  newcomer.progress();
  t.true(newcomer.reserve(30));
  t.deepEqual(evicted, ['stalled', 'slow']);
});

test('bytes that are taken already count, and evict who makes no progress', (t) => {
  let now = 0;
  const budget = new MemoryBudget(100, () => now);
  let evictions = 0;
  const stalled = budget.open(() => {
    evictions += 1;
  });
  t.true(stalled.reserve(60));
  now = stalledAfterMs;
  const answer = budget.open();
  answer.take(60);
  t.is(evictions, 1);
  t.is(budget.heldBytes, 60);
  stalled.release();
  answer.release();
  t.is(budget.heldBytes, 0);
});
