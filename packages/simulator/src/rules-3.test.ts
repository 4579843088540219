import test from 'ava';
import { casesOf, show } from './injected-fault-runs.js';

for (const each of casesOf(2)) {
  test.serial(
    `rule ${each.rule}: broken when ${each.what}, kept otherwise (${each.scenario})`,
    (t) => show(t, each, [11, 12]),
  );
}
