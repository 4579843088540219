/** Runs that show that a rule is broken without its safeguard and holds with it. */
import type { ExecutionContext } from 'ava';
import type { InjectedFault } from './injected-faults.js';
import type { Violation } from './history.js';
import { run } from './run.js';

/** A rule, the injected fault that removes its safeguard, and the scenario that then breaks it. */
export type FaultCase = {
  readonly rule: number;
  readonly description: string;
  readonly plant: InjectedFault;
  readonly scenario: string;
  /** How many seeds to try, if the scenario does not break the rule with every seed. */
  readonly seeds?: number;
};

export const faultCases: readonly FaultCase[] = [
  {
    rule: 1,
    description: 'an attempt that may have been executed is retried',
    plant: 'repeat-unsafe',
    scenario: 'lost-answers',
  },
  {
    rule: 1,
    description: 'idempotency keys are used without a claim',
    plant: 'claims-granted',
    scenario: 'lost-answers',
  },
  {
    rule: 1,
    description: 'a claim is granted to a request with different content',
    plant: 'claims-of-any-content',
    scenario: 'calm',
    seeds: 2,
  },
  {
    rule: 2,
    description: 'a lost response counts as not executed',
    plant: 'repeat-unsafe',
    scenario: 'lost-answers',
  },
  {
    rule: 3,
    description: 'a response is accepted although it belongs to another request',
    plant: 'no-marks',
    scenario: 'lost-answers',
  },
  {
    rule: 3,
    description: 'a truncated body is accepted as complete',
    plant: 'short-as-whole',
    scenario: 'lost-answers',
  },
  {
    rule: 4,
    description: 'connections are used without evidence of the origin id',
    plant: 'no-identity',
    scenario: 'reused-address',
  },
  {
    rule: 4,
    description: 'a request keeps the route that it had on arrival',
    plant: 'route-at-arrival',
    scenario: 'policies',
    seeds: 8,
  },
  {
    rule: 4,
    description: 'the instances that a policy allows are ignored',
    plant: 'deaf-instances',
    scenario: 'policies',
    seeds: 4,
  },
  {
    rule: 4,
    description: 'the methods of a route are ignored',
    plant: 'deaf-methods',
    scenario: 'policies',
    seeds: 4,
  },
  {
    rule: 5,
    description: 'proxies ignore the lease',
    plant: 'deaf-lease',
    scenario: 'freezes',
  },
  {
    rule: 6,
    description: 'a wiped replica votes immediately',
    plant: 'wiped-votes',
    scenario: 'wiped-and-down',
  },
  {
    rule: 6,
    description: 'replicas reply before they sync to disk',
    plant: 'tell-unsynced',
    scenario: 'kill-after-ack',
  },
  {
    rule: 6,
    description: 'replicas ignore the membership',
    plant: 'deaf-members',
    scenario: 'core-replaced',
    seeds: 16,
  },
  {
    rule: 6,
    description: 'two policies get one revision',
    plant: 'same-revisions',
    scenario: 'operators',
  },
  { rule: 7, description: 'drain notices are ignored', plant: 'deaf-drain', scenario: 'drains' },
  {
    rule: 9,
    description: 'clocks run up to 45 % too fast or too slow',
    plant: 'wild-clocks',
    scenario: 'drifting',
    seeds: 2,
  },
  {
    rule: 8,
    description: 'requests are forwarded to peers in evacuated zones',
    plant: 'deaf-relays',
    scenario: 'region-emptied',
    seeds: 3,
  },
  {
    rule: 8,
    description: 'nodes in evacuated zones report that they are ready',
    plant: 'deaf-ready',
    scenario: 'zones',
    seeds: 3,
  },
  { rule: 8, description: 'zone orders are ignored', plant: 'deaf-zones', scenario: 'zones' },
  { rule: 9, description: 'purges are ignored', plant: 'deaf-purges', scenario: 'purges' },
  {
    rule: 9,
    description: 'purges of tags are ignored',
    plant: 'deaf-tags',
    scenario: 'copies',
    seeds: 2,
  },
  {
    rule: 9,
    description: 'cached responses outlive the maximum age of their route',
    plant: 'deaf-life',
    scenario: 'copies',
    seeds: 2,
  },
  { rule: 10, description: 'quotas are ignored', plant: 'no-buckets', scenario: 'ceilings' },
  {
    rule: 10,
    description: 'slow start is ignored',
    plant: 'no-cold-rates',
    scenario: 'cold',
  },
  {
    rule: 10,
    description: 'the announced capacities of instances are ignored',
    plant: 'no-capacities',
    scenario: 'capacities',
  },
  {
    rule: 10,
    description: 'quotas keep the rate of an older rate limit',
    plant: 'old-rates',
    scenario: 'lowered',
  },
  {
    rule: 11,
    description: 'retries cost no retry token',
    plant: 'free-repeats',
    scenario: 'repeats',
  },
  {
    rule: 11,
    description: 'forwarded requests earn retry tokens at the peer as well',
    plant: 'earn-twice',
    scenario: 'repeats-relayed',
  },
  { rule: 12, description: 'home regions are ignored', plant: 'no-homes', scenario: 'homes' },
  {
    rule: 12,
    description: 'a response that came through a peer is cached',
    plant: 'keep-relayed',
    scenario: 'homes',
  },
  {
    rule: 13,
    description: 'disks lose their content',
    plant: 'forgetful-disks',
    scenario: 'full-loss',
  },
  {
    rule: 14,
    description: 'attempts delegated to a peer are not counted',
    plant: 'uncounted-grants',
    scenario: 'slow-peers',
    seeds: 4,
  },
];

/**
 * Number of test files that the cases are spread over. Cases of one scenario stay in one file, so that
 * its runs without a fault are played only once.
 */
const testFileCount = 6;
const scenarioNames = [...new Set(faultCases.map((each) => each.scenario))];
/** Returns the cases that one of the test files runs. */
export const faultCasesOfFile = (file: number): readonly FaultCase[] =>
  faultCases.filter((each) => scenarioNames.indexOf(each.scenario) % testFileCount === file);

const cleanRuns = new Map<
  string,
  { readonly violations: readonly Violation[]; readonly asked: number; readonly replay: string }
>();
const cleanRunOf = (
  scenario: string,
  seed: number,
): {
  readonly violations: readonly Violation[];
  readonly asked: number;
  readonly replay: string;
} => {
  const key = `${scenario} ${seed}`;
  const cached = cleanRuns.get(key);
  if (cached !== undefined) return cached;
  const { violations, asked, replay } = run({ scenario, seed });
  const result = { violations, asked, replay };
  cleanRuns.set(key, result);
  return result;
};
/** Lets the test runner report progress before the next long run. */
const yieldToRunner = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Asserts that the rule is broken under the injected fault, and that no rule is broken without it. */
export const assertFaultBreaksRule = async (
  t: ExecutionContext,
  { rule, plant, scenario, seeds: seedCount = 1 }: FaultCase,
  seeds: readonly number[],
): Promise<void> => {
  const firstSeed = seeds[0] ?? 1;
  await yieldToRunner();
  const isBroken = Array.from({ length: seedCount }, (_, index) => firstSeed + index).some((seed) =>
    run({ scenario, seed, plant }).violations.some((violation) => violation.rule === rule),
  );
  t.true(isBroken, `with the fault ${plant}, rule ${rule} is not broken in ${scenario}`);
  for (const seed of seeds) {
    await yieldToRunner();
    const report = cleanRunOf(scenario, seed);
    t.deepEqual(report.violations, [], report.replay);
    t.true(report.asked > 500);
  }
  await yieldToRunner();
};
