// Checks the membership protocol against its invariants (docs/control-model.md) with the product's
// own reducers: every order of a few messages, and injected faults that the same search must
// detect.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { harmfulInvariants } from '../testing/membership-history.js';
import type { Invariant } from '../testing/membership-history.js';
import { combineMutations, mutations, noMutation } from '../testing/membership-mutations.js';
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

const defaultMaxStates = 250_000;
const bounds: Bounds = {
  lostReplies: 0,
  repeatedRequests: 0,
  ticks: 0,
  losesIdleCalls: true,
  maxStates: defaultMaxStates,
};

const logSearch = (t: ExecutionContext, figures: SearchFigures): void => {
  const { states, depth, complete, violation } = figures;
  const end = violation === null ? '' : `, ${violation.invariant}: ${violation.text}`;
  t.log(`${states} states, depth ${depth}, ${complete ? 'complete' : 'incomplete'}${end}`);
};

type UnmutatedCase = {
  readonly title: string;
  readonly scenario: Scenario;
  readonly bounds: Bounds;
  readonly minStates: number;
};

const unmutatedCases: readonly UnmutatedCase[] = [
  {
    title: 'a replacement during an append, in every message order',
    scenario: replaceWhileAppending,
    bounds: { ...bounds, losesIdleCalls: false },
    minStates: 150_000,
  },
  {
    title: 'a replacement during an append, with a tick of the successor while it reads',
    scenario: replaceWhileAppending,
    bounds: { ...bounds, ticks: 1 },
    minStates: 6_000,
  },
  {
    title: 'a replacement during an append, with one lost reply',
    scenario: replaceWhileAppending,
    bounds: { ...bounds, lostReplies: 1 },
    minStates: 25_000,
  },
  {
    title: 'a replacement during an append, with one request delivered twice',
    scenario: replaceWhileAppending,
    bounds: { ...bounds, repeatedRequests: 1 },
    minStates: 29_000,
  },
  {
    title: 'a replacement during an append, with delayed replies to reads',
    scenario: replaceWhileAppending,
    bounds: { ...bounds, delaysReads: true },
    minStates: 35_000,
  },
  {
    title: 'a fourth member joins during an append',
    scenario: growWhileAppending,
    bounds: { ...bounds, ticks: 1 },
    minStates: 20_000,
  },
  {
    title: 'a member that is wiped at any point of an append joins again',
    scenario: rejoinAfterWipe,
    bounds: { ...bounds, ticks: 1 },
    minStates: 4_000,
  },
];

for (const { title, scenario, bounds: caseBounds, minStates } of unmutatedCases) {
  test(`search: ${title}: no invariant is violated`, (t) => {
    const figures = explore(scenario(noMutation, caseBounds));
    logSearch(t, figures);
    t.is(figures.violation, null);
    t.true(figures.complete);
    t.true(figures.states >= minStates);
    t.deepEqual([figures.appended, figures.epochs], [1, 2]);
  });
}

/**
 * The maximum number of states in the search with two replacements: more than the search needs to
 * find an injected fault. The complete search, with more than 100,000 states, takes far longer and
 * runs only with `MEMBERSHIP_MODEL=whole`.
 */
const maxStatesOfTwoReplacements = process.env.MEMBERSHIP_MODEL === 'whole' ? 1_000_000 : 20_000;

test('search: two replacements while a client knows only the first epoch: no invariant is violated', (t) => {
  const figures = explore(
    replaceTwice(noMutation, { ...bounds, maxStates: maxStatesOfTwoReplacements }),
  );
  logSearch(t, figures);
  t.is(figures.violation, null);
  t.is(figures.epochs, 3);
});

/** Faults that violate no invariant alone, because another safeguard prevents it. */
const harmlessFaults: readonly (readonly [Mutation, Scenario])[] = [
  [mutations.acceptsForAnyDisk, rejoinAfterWipe],
  [mutations.keepsPromises, rejoinAfterWipe],
  [mutations.copiesNoPromises, rejoinAfterWipe],
  [mutations.copiesNoPromises, replaceWhileAppending],
];

for (const [index, [mutation, scenario]] of harmlessFaults.entries()) {
  test(`search: this fault alone violates no invariant (${index}): ${mutation.name}`, (t) => {
    const figures = explore(scenario(mutation, bounds));
    logSearch(t, figures);
    t.is(figures.violation, null);
    t.true(figures.complete);
  });
}

type MutationSearch = {
  readonly mutation: Mutation;
  readonly scenario: Scenario;
  readonly violated: Invariant;
  readonly watched: readonly Invariant[];
};

const mutationSearches: readonly MutationSearch[] = [
  {
    mutation: mutations.votesBeforeReading,
    scenario: replaceWhileAppending,
    violated: 'reads-before-voting',
    watched: ['reads-before-voting'],
  },
  {
    mutation: mutations.votesBeforeReading,
    scenario: replaceWhileAppending,
    violated: 'quorums-of-epochs-meet',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.readsTooFew,
    scenario: replaceWhileAppending,
    violated: 'reads-before-voting',
    watched: ['reads-before-voting'],
  },
  {
    mutation: mutations.readsTooFew,
    scenario: replaceWhileAppending,
    violated: 'quorums-of-epochs-meet',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.readsWithoutEpoch,
    scenario: replaceWhileAppending,
    violated: 'quorums-of-epochs-meet',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.readsPredecessorWithoutEpoch,
    scenario: replaceWhileAppending,
    violated: 'reads-before-voting',
    watched: ['reads-before-voting'],
  },
  {
    mutation: mutations.readsPredecessorWithoutEpoch,
    scenario: replaceWhileAppending,
    violated: 'quorums-of-epochs-meet',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.predecessorKeepsVoting,
    scenario: replaceWhileAppending,
    violated: 'read-predecessor-is-frozen',
    watched: ['read-predecessor-is-frozen'],
  },
  {
    mutation: mutations.predecessorKeepsVoting,
    scenario: replaceWhileAppending,
    violated: 'quorums-of-epochs-meet',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.predecessorErasesData,
    scenario: replaceWhileAppending,
    violated: 'acknowledged-is-readable',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.acceptsStaleEpochs,
    scenario: replaceWhileAppending,
    violated: 'acknowledged-is-readable',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.acceptsStaleMembershipProposals,
    scenario: replaceTwice,
    violated: 'chosen-values-descend',
    watched: harmfulInvariants,
  },
  {
    mutation: mutations.keepsDiskIdAfterWipe,
    scenario: rejoinAfterWipe,
    violated: 'acknowledged-is-readable',
    watched: harmfulInvariants,
  },
  {
    mutation: combineMutations(mutations.acceptsForAnyDisk, mutations.keepsPromises),
    scenario: rejoinAfterWipe,
    violated: 'promise-and-vote-of-one-life',
    watched: ['promise-and-vote-of-one-life'],
  },
];

for (const { mutation, scenario, violated, watched } of mutationSearches) {
  test(`search detects the fault: ${mutation.name} (${violated})`, (t) => {
    const figures = explore({ ...scenario(mutation, bounds), watched });
    logSearch(t, figures);
    t.is(figures.violation?.invariant, violated);
  });
}
