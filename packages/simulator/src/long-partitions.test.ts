import test from 'ava';
import type { Entry } from './history.js';
import type { InjectedFault } from './injected-faults.js';
import { run } from './run.js';

/** Lets the test runner report progress before the next long run. */
const yieldToRunner = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

type Of<K extends Entry['kind']> = Extract<Entry, { kind: K }>;
const only = <K extends Entry['kind']>(history: readonly Entry[], kind: K): readonly Of<K>[] =>
  history.filter((entry): entry is Of<K> => entry.kind === kind);

const seeds: readonly number[] = [31, 32];

// Each scenario, the minimum share of requests that must be served, and whether nodes are isolated.
for (const [scenario, minShare, hasCut] of [
  ['cut-20s', 0.95, true],
  ['cut-20s-out', 0.95, true],
  ['cut-20s-in', 0.95, true],
  ['cut-halves', 0.89, true],
  ['cut-restarts', 0.92, true],
  ['cut-20s-busy', 0.8, true],
  ['refusing-replicas', 0.75, false],
] as const) {
  test.serial(
    `${scenario}: all rules hold, the majority accepts commands, isolated nodes respond early, and leases return quickly`,
    async (t) => {
      for (const seed of seeds) {
        await yieldToRunner();
        const { violations, share, rest, replay, fleet } = run({ scenario, seed });
        t.deepEqual(violations, [], replay);
        t.true(share >= minShare, `seed ${seed}: ${share} served; ${JSON.stringify(rest)}`);
        if (!hasCut) continue;
        const calls = only(fleet.history, 'called').filter((call) => call.cutOff && call.isSteady);
        t.true(calls.length >= 10, `seed ${seed}: ${calls.length} calls to isolated nodes`);
        t.true(
          only(fleet.history, 'served-on').length > 0,
          `seed ${seed}: no node served without a lease`,
        );
        t.true(
          only(fleet.history, 'lease-back').length > 0,
          `seed ${seed}: no node got its lease back`,
        );
        t.true(
          only(fleet.history, 'put').length >= 12,
          `seed ${seed}: too few policies acknowledged`,
        );
      }
    },
  );
}

const injectedFaults: readonly {
  readonly plant: InjectedFault;
  readonly what: string;
  readonly scenario: string;
  readonly seed: number;
  readonly rules: readonly number[];
}[] = [
  {
    plant: 'answers-ignored',
    what: 'replies that are no votes are treated as missing',
    scenario: 'refusing-replicas',
    seed: 31,
    rules: [14],
  },
  {
    plant: 'answers-assumed',
    what: 'missing replies are not noticed',
    scenario: 'cut-20s',
    seed: 31,
    rules: [15],
  },
  {
    plant: 'local-reads',
    what: 'a node answers a read without a majority',
    scenario: 'cut-20s',
    seed: 31,
    rules: [6, 16],
  },
  {
    plant: 'quorum-of-the-reached',
    what: 'unresponsive replicas do not count as members',
    scenario: 'cut-20s',
    seed: 31,
    rules: [6, 16],
  },
];

for (const { plant, what: effect, scenario, seed, rules } of injectedFaults) {
  test.serial(`${scenario}: rules ${rules.join(' and ')} are broken when ${effect}`, async (t) => {
    await yieldToRunner();
    const brokenRules = run({ scenario, seed, plant }).violations.map(
      (violation) => violation.rule,
    );
    for (const rule of rules)
      t.true(
        brokenRules.includes(rule),
        `rule ${rule} is not broken; broken rules: ${brokenRules.join()}`,
      );
    if (!seeds.includes(seed)) t.deepEqual(run({ scenario, seed }).violations, []);
  });
}

// A replica that replies again is polled more often. This scenario does not show it, because leases
// return as quickly without that; the agent's own test (reachability.test.ts) does.
test.serial('cut-20s-busy: a node has a lease again within half of the allowed time', async (t) => {
  await yieldToRunner();
  const { history } = run({ scenario: 'cut-20s-busy', seed: 105 }).fleet;
  const returns = history.flatMap((entry) => (entry.kind === 'lease-back' ? [entry.afterMs] : []));
  t.true(returns.length > 0);
  for (const afterMs of returns) t.true(afterMs <= 1_500, `${afterMs} ms`);
});
