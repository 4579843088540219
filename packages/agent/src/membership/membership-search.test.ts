// The membership protocol against its invariants (docs/control-model.md), with the product's own
// reducers: every order of a few messages, and planted faults that the same search must find.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { harm } from '../testing/membership-history.js';
import type { Invariant } from '../testing/membership-history.js';
import { both, mutations, sound } from '../testing/membership-mutations.js';
import type { Mutation } from '../testing/membership-mutations.js';
import {
  growWhileAppending,
  rejoinAfterWipe,
  replaceTwice,
  replaceWhileAppending,
} from '../testing/membership-scenarios.js';
import type { Scenario } from '../testing/membership-scenarios.js';
import { explore } from '../testing/membership-search.js';
import type { Bounds, SearchFigures } from '../testing/membership-search.js';

const mostStates = 250_000;
const bounds: Bounds = {
  lost: 0,
  repeated: 0,
  beats: 0,
  losesIdleCalls: true,
  states: mostStates,
};

const logSearch = (t: ExecutionContext, figures: SearchFigures): void => {
  const { states, depth, complete, violation } = figures;
  const end = violation === null ? '' : `, ${violation.invariant}: ${violation.text}`;
  t.log(`${states} states, depth ${depth}, ${complete ? 'complete' : 'cut off'}${end}`);
};

type SoundCase = {
  readonly title: string;
  readonly make: Scenario;
  readonly bounds: Bounds;
  readonly least: number;
};

const soundCases: readonly SoundCase[] = [
  {
    title: 'a replacement beside an append, every order',
    make: replaceWhileAppending,
    bounds: { ...bounds, losesIdleCalls: false },
    least: 150_000,
  },
  {
    title: 'a replacement beside an append, the successor woken while it reads',
    make: replaceWhileAppending,
    bounds: { ...bounds, beats: 1 },
    least: 6_000,
  },
  {
    title: 'a replacement beside an append, one answer lost',
    make: replaceWhileAppending,
    bounds: { ...bounds, lost: 1 },
    least: 25_000,
  },
  {
    title: 'a replacement beside an append, one request twice',
    make: replaceWhileAppending,
    bounds: { ...bounds, repeated: 1 },
    least: 29_000,
  },
  {
    title: 'a replacement beside an append, reads answered late',
    make: replaceWhileAppending,
    bounds: { ...bounds, delaysReads: true },
    least: 35_000,
  },
  {
    title: 'a fourth member joins beside an append',
    make: growWhileAppending,
    bounds: { ...bounds, beats: 1 },
    least: 20_000,
  },
  {
    title: 'a member wiped at any moment of an append joins again',
    make: rejoinAfterWipe,
    bounds: { ...bounds, beats: 1 },
    least: 4_000,
  },
];

for (const { title, make, bounds: within, least } of soundCases) {
  test(`search: ${title}: no invariant breaks`, (t) => {
    const figures = explore(make(sound, within));
    logSearch(t, figures);
    t.is(figures.violation, null);
    t.true(figures.complete);
    t.true(figures.states >= least);
    t.deepEqual([figures.appended, figures.epochs], [1, 2]);
  });
}

/** More than a planted fault needs; the whole of it, more than 100,000 states, takes far longer. */
const statesOfTwoReplacements = process.env.MEMBERSHIP_MODEL === 'whole' ? 1_000_000 : 20_000;

test('search: two replacements beside a client of the first epoch: no invariant breaks', (t) => {
  const figures = explore(replaceTwice(sound, { ...bounds, states: statesOfTwoReplacements }));
  logSearch(t, figures);
  t.is(figures.violation, null);
  t.is(figures.epochs, 3);
});

/** What alone takes nothing away, since another safeguard stands before it. */
const secondLines: readonly (readonly [Mutation, Scenario])[] = [
  [mutations.acceptsForAnyDisk, rejoinAfterWipe],
  [mutations.keepsPromises, rejoinAfterWipe],
  [mutations.takesNoPromises, rejoinAfterWipe],
  [mutations.takesNoPromises, replaceWhileAppending],
];

for (const [index, [mutation, make]] of secondLines.entries()) {
  test(`search: alone no harm comes of this (${index}): ${mutation.name}`, (t) => {
    const figures = explore(make(mutation, bounds));
    logSearch(t, figures);
    t.is(figures.violation, null);
    t.true(figures.complete);
  });
}

type PlantedSearch = {
  readonly mutation: Mutation;
  readonly make: Scenario;
  readonly breaks: Invariant;
  readonly watched: readonly Invariant[];
};

const plantedSearches: readonly PlantedSearch[] = [
  {
    mutation: mutations.votesBeforeReading,
    make: replaceWhileAppending,
    breaks: 'reads-before-voting',
    watched: ['reads-before-voting'],
  },
  {
    mutation: mutations.votesBeforeReading,
    make: replaceWhileAppending,
    breaks: 'quorums-of-epochs-meet',
    watched: harm,
  },
  {
    mutation: mutations.readsTooFew,
    make: replaceWhileAppending,
    breaks: 'reads-before-voting',
    watched: ['reads-before-voting'],
  },
  {
    mutation: mutations.readsTooFew,
    make: replaceWhileAppending,
    breaks: 'quorums-of-epochs-meet',
    watched: harm,
  },
  {
    mutation: mutations.readsWithoutTelling,
    make: replaceWhileAppending,
    breaks: 'quorums-of-epochs-meet',
    watched: harm,
  },
  {
    mutation: mutations.readsPredecessorUntold,
    make: replaceWhileAppending,
    breaks: 'reads-before-voting',
    watched: ['reads-before-voting'],
  },
  {
    mutation: mutations.readsPredecessorUntold,
    make: replaceWhileAppending,
    breaks: 'quorums-of-epochs-meet',
    watched: harm,
  },
  {
    mutation: mutations.predecessorVotesOn,
    make: replaceWhileAppending,
    breaks: 'read-predecessor-is-frozen',
    watched: ['read-predecessor-is-frozen'],
  },
  {
    mutation: mutations.predecessorVotesOn,
    make: replaceWhileAppending,
    breaks: 'quorums-of-epochs-meet',
    watched: harm,
  },
  {
    mutation: mutations.predecessorForgets,
    make: replaceWhileAppending,
    breaks: 'acknowledged-is-readable',
    watched: harm,
  },
  {
    mutation: mutations.takesStaleEpochs,
    make: replaceWhileAppending,
    breaks: 'acknowledged-is-readable',
    watched: harm,
  },
  {
    mutation: mutations.takesStaleMembership,
    make: replaceTwice,
    breaks: 'chosen-values-descend',
    watched: harm,
  },
  {
    mutation: mutations.keepsNameAfterWipe,
    make: rejoinAfterWipe,
    breaks: 'acknowledged-is-readable',
    watched: harm,
  },
  {
    mutation: both(mutations.acceptsForAnyDisk, mutations.keepsPromises),
    make: rejoinAfterWipe,
    breaks: 'promise-and-vote-of-one-life',
    watched: ['promise-and-vote-of-one-life'],
  },
];

for (const { mutation, make, breaks, watched } of plantedSearches) {
  test(`search finds: ${mutation.name} (${breaks})`, (t) => {
    const figures = explore({ ...make(mutation, bounds), watched });
    logSearch(t, figures);
    t.is(figures.violation?.invariant, breaks);
  });
}
