// Checks the membership protocol against its invariants (docs/control-model.md) with the product's
// own reducers: long random runs with message loss, crashes and wipes, and injected faults that the
// runs must detect.
import test from 'ava';
import fc from 'fast-check';
import { harmfulInvariants } from '../testing/membership-history.js';
import type { Invariant } from '../testing/membership-history.js';
import { mutations, noMutation } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import { playRun, shortenSchedule } from '../testing/membership-random.js';
import type { RunFigures, RunOptions } from '../testing/membership-random.js';

const threeMembers: RunOptions = {
  founders: ['a', 'b', 'c'],
  spares: ['d', 'e'],
  members: 3,
  mutation: noMutation,
  syncMode: 'later',
  offeredDisks: 'blank-once',
};
const fiveMembers: RunOptions = {
  ...threeMembers,
  founders: ['a', 'b', 'c', 'd', 'e'],
  spares: ['f', 'g'],
  members: 5,
};
const growing: RunOptions = { ...threeMembers, spares: ['d', 'e', 'f'], members: 5 };

const stepsPerRun = 1_000;
const runsPerGroup = 600;
const seed = 160_316;
const schedules = fc.noBias(
  fc.array(fc.nat(), { minLength: stepsPerRun, maxLength: stepsPerRun, size: 'max' }),
);

const addFigures = (sum: Record<string, number>, figures: RunFigures): void => {
  for (const [name, value] of Object.entries(figures)) {
    if (typeof value === 'number') sum[name] = (sum[name] ?? 0) + value;
  }
};

const describeFailure = (options: RunOptions, schedule: readonly number[]): string => {
  const shortest = shortenSchedule(options, schedule);
  const { violations } = playRun(options, shortest);
  return JSON.stringify({ violations, schedule: shortest });
};

type Group = {
  readonly title: string;
  readonly options: RunOptions;
  /** The minimum totals of all runs, without which the result would mean little. */
  readonly minimums: Partial<Record<keyof RunFigures, number>>;
};

const groups: readonly Group[] = [
  {
    title: 'three members and two spares',
    options: threeMembers,
    minimums: { epochs: 1_800, appended: 1_800, posted: 1_500, leases: 1_500, wipes: 1_000 },
  },
  {
    title: 'five members and two spares',
    options: fiveMembers,
    minimums: { epochs: 1_400, appended: 1_000, posted: 1_500, leases: 1_500, wipes: 1_500 },
  },
  {
    title: 'three members growing to five',
    options: growing,
    minimums: { epochs: 1_700, appended: 1_400, posted: 1_500, leases: 1_500, wipes: 1_000 },
  },
];

for (const { title, options, minimums } of groups) {
  test(`runs: ${title}: no invariant is violated`, (t) => {
    const sum: Record<string, number> = {};
    const property = fc.property(schedules, (schedule) => {
      const figures = playRun(options, schedule);
      addFigures(sum, figures);
      if (figures.violations.length > 0) throw new Error(describeFailure(options, schedule));
    });
    t.notThrows(() => fc.assert(property, { seed, numRuns: runsPerGroup, endOnFailure: true }));
    t.log(`${runsPerGroup} runs: ${JSON.stringify(sum)}`);
    for (const [name, value] of Object.entries(minimums)) t.true((sum[name] ?? 0) >= value, name);
  });
}

type MutationRuns = {
  readonly mutation: Mutation;
  readonly maxRuns: number;
  readonly watched: readonly Invariant[];
};

const mutationRuns: readonly MutationRuns[] = [
  { mutation: mutations.votesBeforeReading, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.readsTooFew, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.readsWithoutEpoch, maxRuns: 50, watched: ['reads-before-voting'] },
  { mutation: mutations.readsPredecessorWithoutEpoch, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.predecessorKeepsVoting, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.predecessorErasesData, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.votesInAnySlot, maxRuns: 300, watched: harmfulInvariants },
  { mutation: mutations.acceptsStaleEpochs, maxRuns: 100, watched: harmfulInvariants },
  { mutation: mutations.keepsDiskIdAfterWipe, maxRuns: 100, watched: harmfulInvariants },
  { mutation: mutations.copiesNoEntries, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.leasesFromNewest, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.countsUnknown, maxRuns: 50, watched: harmfulInvariants },
  { mutation: mutations.forgetsMembership, maxRuns: 100, watched: harmfulInvariants },
  { mutation: mutations.repliesBeforeSync, maxRuns: 300, watched: harmfulInvariants },
];

for (const { mutation, maxRuns, watched } of mutationRuns) {
  test(`random runs detect the fault: ${mutation.name}`, (t) => {
    let steps = 0;
    const foundIndex = fc.sample(schedules, { seed, numRuns: maxRuns }).findIndex((schedule) => {
      const figures = playRun({ ...threeMembers, mutation, watched }, schedule);
      steps += figures.steps;
      return figures.violations.length > 0;
    });
    t.log(`run ${foundIndex + 1} of ${maxRuns}, ${steps} steps`);
    t.true(foundIndex >= 0);
  });
}
