import test from 'ava';
import { faultCasesOfFile, assertFaultBreaksRule } from './injected-fault-runs.js';

for (const each of faultCasesOfFile(2)) {
  test.serial(
    `rule ${each.rule}: broken when ${each.description}, kept otherwise (${each.scenario})`,
    (t) => assertFaultBreaksRule(t, each, [11, 12]),
  );
}
