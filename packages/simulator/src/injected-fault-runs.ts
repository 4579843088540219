/** Runs that show a rule broken without its safeguard, and kept with it. */
import type { ExecutionContext } from 'ava';
import type { InjectedFault } from './injected-faults.js';
import type { Violation } from './history.js';
import { run } from './run.js';

/**
 * One point of the brief: the safeguard taken away to see it broken, and the failure that then
 * breaks it.
 */
export type FaultCase = {
  readonly rule: number;
  readonly description: string;
  readonly plant: InjectedFault;
  readonly scenario: string;
  /** How many seeds to look through, where the failure does not meet the fault in every one. */
  readonly seeds?: number;
};

export const faultCases: readonly FaultCase[] = [
  {
    rule: 1,
    description: 'an attempt that may have run is made again',
    plant: 'repeat-unsafe',
    scenario: 'lost-answers',
  },
  {
    rule: 1,
    description: 'keys are used without a claim',
    plant: 'claims-granted',
    scenario: 'lost-answers',
  },
  {
    rule: 1,
    description: 'a key is granted to a request of other content',
    plant: 'claims-of-any-content',
    scenario: 'calm',
    seeds: 2,
  },
  {
    rule: 2,
    description: 'a lost answer counts as not run',
    plant: 'repeat-unsafe',
    scenario: 'lost-answers',
  },
  {
    rule: 3,
    description: 'an answer is taken whosever it is',
    plant: 'no-marks',
    scenario: 'lost-answers',
  },
  {
    rule: 3,
    description: 'a short body is taken as whole',
    plant: 'short-as-whole',
    scenario: 'lost-answers',
  },
  {
    rule: 4,
    description: 'conns are used without a proof of identity',
    plant: 'no-identity',
    scenario: 'reused-address',
  },
  {
    rule: 4,
    description: 'a request keeps the route that it found at arrival',
    plant: 'route-at-arrival',
    scenario: 'policies',
    seeds: 8,
  },
  {
    rule: 4,
    description: 'the instances that a policy names are not heeded',
    plant: 'deaf-instances',
    scenario: 'policies',
    seeds: 4,
  },
  {
    rule: 4,
    description: 'the methods of a route are not heeded',
    plant: 'deaf-methods',
    scenario: 'policies',
    seeds: 4,
  },
  {
    rule: 5,
    description: 'proxies do not heed the lease',
    plant: 'deaf-lease',
    scenario: 'freezes',
  },
  {
    rule: 6,
    description: 'a wiped replica votes at once',
    plant: 'wiped-votes',
    scenario: 'wiped-and-down',
  },
  {
    rule: 6,
    description: 'replicas answer before they sync',
    plant: 'tell-unsynced',
    scenario: 'kill-after-ack',
  },
  {
    rule: 6,
    description: 'replicas do not heed who votes',
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
  { rule: 7, description: 'drain notices are not heeded', plant: 'deaf-drain', scenario: 'drains' },
  {
    rule: 9,
    description: 'clocks run up to 45 % off',
    plant: 'wild-clocks',
    scenario: 'drifting',
    seeds: 2,
  },
  {
    rule: 8,
    description: 'peers in emptied zones get forwarded requests',
    plant: 'deaf-relays',
    scenario: 'region-emptied',
    seeds: 3,
  },
  {
    rule: 8,
    description: 'nodes in emptied zones say they are ready',
    plant: 'deaf-ready',
    scenario: 'zones',
    seeds: 3,
  },
  { rule: 8, description: 'zone orders are not heeded', plant: 'deaf-zones', scenario: 'zones' },
  { rule: 9, description: 'purges are not heeded', plant: 'deaf-purges', scenario: 'purges' },
  {
    rule: 9,
    description: 'purged tags are not heeded',
    plant: 'deaf-tags',
    scenario: 'copies',
    seeds: 2,
  },
  {
    rule: 9,
    description: 'copies live past what their route allows',
    plant: 'deaf-life',
    scenario: 'copies',
    seeds: 2,
  },
  { rule: 10, description: 'slices are not heeded', plant: 'no-buckets', scenario: 'ceilings' },
  {
    rule: 10,
    description: 'cold instances are treated as warm',
    plant: 'no-cold-rates',
    scenario: 'cold',
  },
  {
    rule: 10,
    description: 'what instances say they carry is not heeded',
    plant: 'no-capacities',
    scenario: 'capacities',
  },
  {
    rule: 10,
    description: 'slices keep the rate of an older ceiling',
    plant: 'old-rates',
    scenario: 'lowered',
  },
  { rule: 11, description: 'repeats are free', plant: 'free-repeats', scenario: 'repeats' },
  {
    rule: 11,
    description: 'forwarded requests earn repeats where they are handed to as well',
    plant: 'earn-twice',
    scenario: 'repeats-relayed',
  },
  { rule: 12, description: 'homes are not heeded', plant: 'no-homes', scenario: 'homes' },
  {
    rule: 12,
    description: 'an answer that came through a peer is kept',
    plant: 'keep-relayed',
    scenario: 'homes',
  },
  { rule: 13, description: 'disks forget', plant: 'forgetful-disks', scenario: 'full-loss' },
  {
    rule: 14,
    description: 'attempts granted to a peer are not counted',
    plant: 'uncounted-grants',
    scenario: 'slow-peers',
    seeds: 4,
  },
];

/**
 * Files that the cases are spread over; those of one scenario stay together, so that its sound runs
 * are made once.
 */
const testFileCount = 6;
const scenarioNames = [...new Set(faultCases.map((each) => each.scenario))];
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
/** Lets the runner tell what is done so far before the next long run. */
const yieldToRunner = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Shows that the rule breaks with the safeguard away, and that nothing breaks with it in place. */
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
  t.true(isBroken, `with ${plant}, rule ${rule} should break in ${scenario}`);
  for (const seed of seeds) {
    await yieldToRunner();
    const report = cleanRunOf(scenario, seed);
    t.deepEqual(report.violations, [], report.replay);
    t.true(report.asked > 500);
  }
  await yieldToRunner();
};
