/**
 * Test support: planted faults. Each takes one safeguard of the membership protocol away by
 * changing what goes into a replica's reducer or comes out of it.
 */
import { majorityOf, type RegisterState, zeroProposalNumber } from '@reedyard/consensus';
import {
  isNewerMembership,
  membershipKey,
  type ReplicaEffect,
  type ReplicaRecord,
  type ReplicaReply,
  type ReplicaRequest,
  type ReplicaState,
} from '@reedyard/replica';
import type { ClientFaults } from './membership-client-types.js';

type Step = { readonly state: ReplicaState; readonly effects: readonly ReplicaEffect[] };

export type Mutation = {
  readonly name: string;
  /** What a replica hears of a call. */
  readonly hears?: (state: ReplicaState, ask: ReplicaRequest) => ReplicaRequest;
  /** What a replica makes of a step. */
  readonly after?: (before: ReplicaState, step: Step) => Step;
  /** The name that a wiped disk gets. */
  readonly wipedDisk?: (old: string) => string;
  /** The call by which a replica reads another. */
  readonly reads?: (ask: ReplicaRequest, to: string) => ReplicaRequest;
  /** What a replica that reads another gets to see of the answer. */
  readonly shows?: (body: ReplicaReply) => ReplicaReply;
  /** What a restart finds on the disk. */
  readonly replays?: (records: readonly ReplicaRecord[]) => readonly ReplicaRecord[];
  readonly answersBeforeSync?: boolean;
  readonly client?: ClientFaults;
};

export const sound: Mutation = { name: 'none' };

const hearsAsCurrent = (state: ReplicaState, ask: ReplicaRequest): ReplicaRequest => {
  const { committedMembership: told } = state;
  const isStale =
    told !== null && ask.membership !== null && isNewerMembership(told, ask.membership);
  return isStale && state.hasBegunVoting ? { ...ask, membership: told } : ask;
};

const isMembershipCall = ({ operation: call }: ReplicaRequest): boolean =>
  (call.kind === 'prepare' || call.kind === 'accept') && call.key === membershipKey;

const isNamed = ({ committedMembership: told, diskId: disk }: ReplicaState): boolean =>
  told !== null && Object.values(told.value.disks).includes(disk);

/** Lets a replica vote once it has read this many members. */
const votesAfter =
  (enough: (members: number) => number) =>
  (_before: ReplicaState, step: Step): Step => {
    const { state } = step;
    if (state.hasBegunVoting || state.committedMembership === null || !isNamed(state)) return step;
    const { epoch, disks } = state.committedMembership.value;
    const read = Object.values(state.peerReads).filter(
      (reading) => reading.state === 'done' && reading.epoch >= epoch,
    );
    if (read.length < enough(Object.keys(disks).length)) return step;
    const append = { kind: 'append-records', records: [{ kind: 'voting-begun' }] } as const;
    const votingEpoch = state.committedMembership.value.epoch;
    return {
      state: { ...state, hasBegunVoting: true, votingEpoch, peerReads: {} },
      effects: [...step.effects, append],
    };
  };

const withoutBlanking = (before: ReplicaState, step: Step): Step => {
  if (!before.hasBegunVoting || step.state.hasBegunVoting) return step;
  const records: readonly ReplicaRecord[] = [{ kind: 'disk-erased', diskId: before.diskId }];
  const renamed = step.effects.map((effect) =>
    effect.kind === 'append-records' &&
    effect.records.some((record) => record.kind === 'disk-erased')
      ? { ...effect, records: [...records, ...effect.records.slice(1)] }
      : effect,
  );
  return { state: { ...step.state, diskId: before.diskId }, effects: renamed };
};

const withoutPromise = ([key, cell]: readonly [string, RegisterState]): readonly [
  string,
  RegisterState,
] => [key, { ...cell, promised: cell.accepted?.proposalNumber ?? zeroProposalNumber }];

const isPredecessorAt = (ask: ReplicaRequest, address: string): boolean => {
  const { addresses = {}, predecessors = {} } = ask.membership?.value ?? {};
  const isMember = Object.values(addresses).includes(address);
  return !isMember && Object.values(predecessors).some((each) => each.address === address);
};

const isRetired = (state: ReplicaState): boolean => state.hasBegunVoting && !isNamed(state);

/** A replica that is told of members without it tells so to its reader, and goes on as before. */
const votesOn = (before: ReplicaState, step: Step): Step => {
  if (!before.hasBegunVoting || !isNamed(before) || isNamed(step.state)) return step;
  const effects = step.effects.filter(({ kind }) => kind === 'send-reply');
  return { state: before, effects };
};

/** A replaced replica keeps its name, but none of its data. */
const forgetsAtOnce = (_before: ReplicaState, step: Step): Step => {
  const { state } = step;
  if (!isRetired(state)) return step;
  const isEmpty = state.registers.isEmpty() && state.entries.length === 0;
  const emptied = isEmpty ? state : { ...state, registers: state.registers.clear(), entries: [] };
  const effects = step.effects.map((effect) =>
    effect.kind === 'send-reply' && effect.reply.kind === 'page-read'
      ? { ...effect, reply: { ...effect.reply, registers: [], entries: [] } }
      : effect,
  );
  return { state: emptied, effects };
};

const countsCopiedCells = (_before: ReplicaState, step: Step): Step => {
  const cells = step.state.registers.map((cell): RegisterState => {
    if (cell.accepted?.copied !== true) return cell;
    const { proposalNumber, value } = cell.accepted;
    return { ...cell, accepted: { proposalNumber, value } };
  });
  return { ...step, state: { ...step.state, registers: cells } };
};

/** Tells of members as if every replaced disk had been a founder. */
const withoutPredecessorEpochs = (ask: ReplicaRequest): ReplicaRequest => {
  if (ask.membership === null) return ask;
  const { value } = ask.membership;
  const predecessors = Object.fromEntries(
    Object.entries(value.predecessors ?? {}).map(([place, { disk, address }]) => [
      place,
      { disk, address },
    ]),
  );
  return { ...ask, membership: { ...ask.membership, value: { ...value, predecessors } } };
};

/** Every planted fault, by a short name. */
export const mutations = {
  votesBeforeReading: { name: 'a successor votes before it has read', after: votesAfter(() => 0) },
  readsTooFew: {
    name: 'a successor reads one member fewer than it must',
    after: votesAfter((members) => members - majorityOf(members)),
  },
  takesStaleEpochs: { name: 'replicas take calls of older epochs', hears: hearsAsCurrent },
  takesStaleMembership: {
    name: 'replicas take ballots on the membership of older epochs',
    hears: (state, ask) => (isMembershipCall(ask) ? hearsAsCurrent(state, ask) : ask),
  },
  keepsNameAfterWipe: { name: 'a wiped disk keeps its name', wipedDisk: (old) => old },
  keepsNameAfterReplacement: {
    name: 'a replaced disk keeps its name',
    after: withoutBlanking,
  },
  acceptsForAnyDisk: {
    name: 'an accept is not bound to the disk that promised',
    hears: (state, ask) =>
      ask.operation.kind === 'accept'
        ? { ...ask, operation: { ...ask.operation, diskId: state.diskId } }
        : ask,
  },
  keepsPromises: {
    name: 'a client keeps its promises over a change of members',
    client: { keepsPromises: true },
  },
  readsWithoutTelling: {
    name: 'a successor does not tell whom it reads of its epoch',
    reads: (ask) => ({ ...ask, membership: null }),
  },
  readsPredecessorUntold: {
    name: 'a successor does not tell its predecessor of its epoch before it reads it',
    reads: (ask, to) => (isPredecessorAt(ask, to) ? { ...ask, membership: null } : ask),
  },
  predecessorVotesOn: {
    name: 'a predecessor goes on voting after it was read',
    after: votesOn,
  },
  predecessorForgets: {
    name: 'a predecessor forgets its data before its successor has read it',
    after: forgetsAtOnce,
  },
  readsIdlePredecessor: {
    name: 'a predecessor is read that did not vote in its last place',
    hears: (_state, ask) => withoutPredecessorEpochs(ask),
  },
  countsCopies: {
    name: 'a copied value counts as a vote',
    after: countsCopiedCells,
  },
  votesInAnyPlace: {
    name: 'a disk votes in every place once it has voted in one',
    after: (_before, step) =>
      step.state.hasBegunVoting
        ? { ...step, state: { ...step.state, votingEpoch: Infinity } }
        : step,
  },
  takesNoPromises: {
    name: 'a successor takes over what was accepted, not what was promised',
    shows: (body) =>
      body.kind === 'page-read' ? { ...body, registers: body.registers.map(withoutPromise) } : body,
  },
  takesNoFacts: {
    name: 'a successor takes no facts over',
    shows: (body) => (body.kind === 'page-read' ? { ...body, entries: [] } : body),
  },
  leasesFromNewest: {
    name: 'a lease runs from the newest of a majority of pulls',
    client: { leasesFromNewest: true },
  },
  countsUnknown: {
    name: 'a pull counts that shows a value not known yet',
    client: { countsUnknown: true },
  },
  forgetsTold: {
    name: 'a restarted replica forgets the members that it was told of',
    replays: (records) => records.filter((record) => record.kind !== 'membership-committed'),
  },
  answersBeforeSync: { name: 'replicas answer before they sync', answersBeforeSync: true },
} as const satisfies Record<string, Mutation>;

/** Two faults at once. */
export const both = (left: Mutation, right: Mutation): Mutation => ({
  ...left,
  ...right,
  name: `${left.name}; ${right.name}`,
});
