import test from 'ava';
import { faultCasesOfFile, assertFaultBreaksRule } from './injected-fault-runs.js';

for (const faultCase of faultCasesOfFile(4)) {
  test.serial(
    `rule ${faultCase.rule} is broken when ${faultCase.description}, and holds otherwise (${faultCase.scenario})`,
    (t) => assertFaultBreaksRule(t, faultCase, [11, 12]),
  );
}
