// The membership protocol against its invariants (docs/control-model.md), with the product's own
// reducers: long random runs of messages, losses, crashes and wipes, and planted faults to be
// found.
import test from 'ava';
import fc from 'fast-check';
import { harm } from '../testing/membership-history.js';
import type { Invariant } from '../testing/membership-history.js';
import { mutations, sound } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import { playRun, shorten } from '../testing/membership-random.js';
import type { RunFigures, RunOptions } from '../testing/membership-random.js';

const threeMembers: RunOptions = {
  founders: ['a', 'b', 'c'],
  spares: ['d', 'e'],
  members: 3,
  mutation: sound,
  syncing: 'later',
  offers: 'blank-once',
};
const fiveMembers: RunOptions = {
  ...threeMembers,
  founders: ['a', 'b', 'c', 'd', 'e'],
  spares: ['f', 'g'],
  members: 5,
};
const growing: RunOptions = { ...threeMembers, spares: ['d', 'e', 'f'], members: 5 };

const stepsOfRun = 1_000;
const runsOfGroup = 600;
const seed = 160_316;
const schedules = fc.noBias(
  fc.array(fc.nat(), { minLength: stepsOfRun, maxLength: stepsOfRun, size: 'max' }),
);

const add = (sum: Record<string, number>, figures: RunFigures): void => {
  for (const [name, value] of Object.entries(figures)) {
    if (typeof value === 'number') sum[name] = (sum[name] ?? 0) + value;
  }
};

const describeFailure = (options: RunOptions, schedule: readonly number[]): string => {
  const shortest = shorten(options, schedule);
  const { violations } = playRun(options, shortest);
  return JSON.stringify({ violations, schedule: shortest });
};

type Group = {
  readonly title: string;
  readonly options: RunOptions;
  /** What the runs must have come to at least, for their verdict to mean something. */
  readonly least: Partial<Record<keyof RunFigures, number>>;
};

const groups: readonly Group[] = [
  {
    title: 'three members and two spares',
    options: threeMembers,
    least: { epochs: 1_800, appended: 1_800, posted: 1_500, leases: 1_500, wipes: 1_000 },
  },
  {
    title: 'five members and two spares',
    options: fiveMembers,
    least: { epochs: 1_400, appended: 1_000, posted: 1_500, leases: 1_500, wipes: 1_500 },
  },
  {
    title: 'three members that grow to five',
    options: growing,
    least: { epochs: 1_700, appended: 1_400, posted: 1_500, leases: 1_500, wipes: 1_000 },
  },
];

for (const { title, options, least } of groups) {
  test(`runs: ${title}: no invariant breaks`, (t) => {
    const sum: Record<string, number> = {};
    const property = fc.property(schedules, (schedule) => {
      const figures = playRun(options, schedule);
      add(sum, figures);
      if (figures.violations.length > 0) throw new Error(describeFailure(options, schedule));
    });
    t.notThrows(() => fc.assert(property, { seed, numRuns: runsOfGroup, endOnFailure: true }));
    t.log(`${runsOfGroup} runs: ${JSON.stringify(sum)}`);
    for (const [name, value] of Object.entries(least)) t.true((sum[name] ?? 0) >= value, name);
  });
}

type PlantedRuns = {
  readonly mutation: Mutation;
  readonly most: number;
  readonly watched: readonly Invariant[];
};

const plantedRuns: readonly PlantedRuns[] = [
  { mutation: mutations.votesBeforeReading, most: 50, watched: harm },
  { mutation: mutations.readsTooFew, most: 50, watched: harm },
  { mutation: mutations.readsWithoutTelling, most: 50, watched: ['reads-before-voting'] },
  { mutation: mutations.readsPredecessorUntold, most: 50, watched: harm },
  { mutation: mutations.predecessorVotesOn, most: 50, watched: harm },
  { mutation: mutations.predecessorForgets, most: 50, watched: harm },
  { mutation: mutations.votesInAnyPlace, most: 300, watched: harm },
  { mutation: mutations.takesStaleEpochs, most: 100, watched: harm },
  { mutation: mutations.keepsNameAfterWipe, most: 100, watched: harm },
  { mutation: mutations.takesNoFacts, most: 50, watched: harm },
  { mutation: mutations.leasesFromNewest, most: 50, watched: harm },
  { mutation: mutations.countsUnknown, most: 50, watched: harm },
  { mutation: mutations.forgetsTold, most: 100, watched: harm },
  { mutation: mutations.answersBeforeSync, most: 300, watched: harm },
];

for (const { mutation, most, watched } of plantedRuns) {
  test(`runs find: ${mutation.name}`, (t) => {
    let steps = 0;
    const found = fc.sample(schedules, { seed, numRuns: most }).findIndex((schedule) => {
      const figures = playRun({ ...threeMembers, mutation, watched }, schedule);
      steps += figures.steps;
      return figures.violations.length > 0;
    });
    t.log(`run ${found + 1} of ${most}, ${steps} steps`);
    t.true(found >= 0);
  });
}
