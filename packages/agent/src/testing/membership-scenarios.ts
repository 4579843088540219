/** Test support: small configurations for the exhaustive search. */
import { Cluster } from './membership-cluster.js';
import type { Goal } from './membership-goals.js';
import type { Mutation } from './membership-mutations.js';
import type { Bounds, Operation, Search } from './membership-search.js';

/**
 * Proposes the goal that the function returns for the members that the client knows at that point,
 * or does not run yet.
 */
const propose = (name: string, goal: (client: KnownMembers) => Goal | null): Operation => ({
  kind: 'client',
  name,
  event: ({ members }) => {
    const proposedGoal = members === null ? null : goal({ known: members.value });
    return proposedGoal === null ? null : { kind: 'propose', goal: proposedGoal };
  },
});

type KnownMembers = { readonly known: Extract<Goal, { kind: 'replace' }>['known'] };

const append = (name: string, id: string): Operation =>
  propose(name, () => ({ kind: 'append', id }));

/** Replaces a member by a spare as soon as the client knows the members of this epoch. */
const replace = (
  name: string,
  epoch: number,
  replacedSlot: string,
  disk: string,
  address: string,
) =>
  propose(name, ({ known }) =>
    known.epoch === epoch
      ? { kind: 'replace', known, replacedSlot, slot: address, disk, address }
      : null,
  );

/**
 * Assigns a disk to an existing slot or to a new one, as soon as the client knows the members of
 * this epoch.
 */
const join = (name: string, epoch: number, slot: string, disk: string): Operation =>
  propose(name, ({ known }) =>
    known.epoch === epoch ? { kind: 'join', known, slot, disk, address: slot } : null,
  );

/**
 * Polls a replica as soon as the client knows members of at least this epoch; the request carries
 * the membership to the replica.
 */
const requestFrom = (name: string, epoch: number, address: string): Operation => ({
  kind: 'client',
  name,
  event: ({ members }) => ((members?.value.epoch ?? 0) >= epoch ? { kind: 'look', address } : null),
});

const outpace = (name: string, rounds: number): Operation => ({
  kind: 'client',
  name,
  event: () => ({ kind: 'outpaced', rounds }),
});

const repairMembership = (name: string): Operation =>
  propose(name, () => ({ kind: 'repair', key: 'members' }));

const wipe = (address: string): Operation => ({ kind: 'wipe', address });

/** More rounds than the proposal numbers of the other client reach. */
const higherRounds = 9;
const founders = ['a', 'b', 'c'];
const clients = ['p', 'q'];
/** Disks are numbered in the order in which they are first started, after the three founders. */
const [fourthDisk, fifthDisk] = ['disk-4', 'disk-5'];

/** Creates the search of a configuration with the given mutation and bounds. */
export type Scenario = (mutation: Mutation, bounds: Bounds) => Search;

const scenario =
  (spares: readonly string[], sequences: readonly (readonly Operation[])[]): Scenario =>
  (mutation, bounds) => ({
    start: Cluster.createFounded({ founders, spares, clients, mutation, syncMode: 'at-once' }),
    sequences,
    bounds,
  });

/**
 * One client assigns the slot of c to a spare, while the other appends under the members that it
 * knows.
 */
export const replaceWhileAppending = scenario(
  ['d'],
  [[replace('p', 1, 'c', fourthDisk, 'd'), requestFrom('p', 2, 'd')], [append('q', 'q1')]],
);

/**
 * One client assigns a new slot to a spare, while the other appends under the founding membership.
 */
export const growWhileAppending = scenario(
  ['d'],
  [[join('p', 1, 'd', fourthDisk), requestFrom('p', 2, 'd')], [append('q', 'q1')]],
);

/** Replica c is wiped at any point, and its blank disk is assigned its slot again. */
export const rejoinAfterWipe = scenario(
  [],
  [[wipe('c')], [join('p', 1, 'c', fourthDisk), requestFrom('p', 2, 'c')], [append('q', 'q1')]],
);

/**
 * Two successive replacements, while a client that knows only the founders confirms the value of
 * the membership register with a higher proposal number.
 */
export const replaceTwice = scenario(
  ['d', 'e'],
  [
    [
      replace('p', 1, 'c', fourthDisk, 'd'),
      requestFrom('p', 2, 'd'),
      replace('p', 2, 'b', fifthDisk, 'e'),
    ],
    [outpace('q', higherRounds), repairMembership('q')],
  ],
);
