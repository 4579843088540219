import test from 'ava';
import { MemoryBudget } from './memory-budget.js';

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
