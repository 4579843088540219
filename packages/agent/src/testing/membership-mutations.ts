/**
 * Test support: injected faults. Each one disables one safeguard of the membership protocol by
 * changing the input or the output of a replica's reducer, or the behavior of a client.
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

type ReplicaTransition = {
  readonly state: ReplicaState;
  readonly effects: readonly ReplicaEffect[];
};

export type Mutation = {
  readonly name: string;
  /** Alters a request before the replica handles it. */
  readonly alterRequest?: (state: ReplicaState, request: ReplicaRequest) => ReplicaRequest;
  /** Alters the result of a step of the replica. */
  readonly alterTransition?: (
    before: ReplicaState,
    transition: ReplicaTransition,
  ) => ReplicaTransition;
  /** Returns the disk id of the blank disk after a wipe. */
  readonly diskIdAfterWipe?: (oldDiskId: string) => string;
  /** Alters the request by which a replica reads another. */
  readonly alterReadRequest?: (request: ReplicaRequest, to: string) => ReplicaRequest;
  /** Alters the reply to a replica that reads another. */
  readonly alterReadReply?: (body: ReplicaReply) => ReplicaReply;
  /** Alters the records that a restart reads from the disk. */
  readonly alterReplayedRecords?: (records: readonly ReplicaRecord[]) => readonly ReplicaRecord[];
  readonly repliesBeforeSync?: boolean;
  readonly client?: ClientFaults;
};

export const noMutation: Mutation = { name: 'none' };

const treatAsCurrent = (state: ReplicaState, request: ReplicaRequest): ReplicaRequest => {
  const { committedMembership: committed } = state;
  const isOlder =
    committed !== null &&
    request.membership !== null &&
    isNewerMembership(committed, request.membership);
  return isOlder && state.hasBegunVoting ? { ...request, membership: committed } : request;
};

const isMembershipProposal = ({ operation: operation }: ReplicaRequest): boolean =>
  (operation.kind === 'prepare' || operation.kind === 'accept') && operation.key === membershipKey;

const isNamedInMembership = ({
  committedMembership: committed,
  diskId: disk,
}: ReplicaState): boolean =>
  committed !== null && Object.values(committed.value.disks).includes(disk);

/** Makes a replica vote as soon as it has read the required number of members. */
const voteAfterReading =
  (requiredReads: (members: number) => number) =>
  (_before: ReplicaState, transition: ReplicaTransition): ReplicaTransition => {
    const { state } = transition;
    if (state.hasBegunVoting || state.committedMembership === null || !isNamedInMembership(state))
      return transition;
    const { epoch, disks } = state.committedMembership.value;
    const doneReads = Object.values(state.peerReads).filter(
      (reading) => reading.state === 'done' && reading.epoch >= epoch,
    );
    if (doneReads.length < requiredReads(Object.keys(disks).length)) return transition;
    const append = { kind: 'append-records', records: [{ kind: 'voting-begun' }] } as const;
    const votingEpoch = state.committedMembership.value.epoch;
    return {
      state: { ...state, hasBegunVoting: true, votingEpoch, peerReads: {} },
      effects: [...transition.effects, append],
    };
  };

const keepDiskIdWhenErased = (
  before: ReplicaState,
  transition: ReplicaTransition,
): ReplicaTransition => {
  if (!before.hasBegunVoting || transition.state.hasBegunVoting) return transition;
  const records: readonly ReplicaRecord[] = [{ kind: 'disk-erased', diskId: before.diskId }];
  const renamed = transition.effects.map((effect) =>
    effect.kind === 'append-records' &&
    effect.records.some((record) => record.kind === 'disk-erased')
      ? { ...effect, records: [...records, ...effect.records.slice(1)] }
      : effect,
  );
  return { state: { ...transition.state, diskId: before.diskId }, effects: renamed };
};

const withoutPromise = ([key, register]: readonly [string, RegisterState]): readonly [
  string,
  RegisterState,
] => [key, { ...register, promised: register.accepted?.proposalNumber ?? zeroProposalNumber }];

const isPredecessorAt = (request: ReplicaRequest, address: string): boolean => {
  const { addresses = {}, predecessors = {} } = request.membership?.value ?? {};
  const isMember = Object.values(addresses).includes(address);
  return (
    !isMember && Object.values(predecessors).some((predecessor) => predecessor.address === address)
  );
};

const isRetired = (state: ReplicaState): boolean =>
  state.hasBegunVoting && !isNamedInMembership(state);

/**
 * Makes a replica that learns of a membership without it send its reply, but keep its state and
 * continue to vote.
 */
const keepVotingWhenReplaced = (
  before: ReplicaState,
  transition: ReplicaTransition,
): ReplicaTransition => {
  if (
    !before.hasBegunVoting ||
    !isNamedInMembership(before) ||
    isNamedInMembership(transition.state)
  )
    return transition;
  const effects = transition.effects.filter(({ kind }) => kind === 'send-reply');
  return { state: before, effects };
};

/** Makes a replaced replica keep its disk id but erase its data immediately. */
const eraseDataWhenReplaced = (
  _before: ReplicaState,
  transition: ReplicaTransition,
): ReplicaTransition => {
  const { state } = transition;
  if (!isRetired(state)) return transition;
  const isEmpty = state.registers.isEmpty() && state.entries.length === 0;
  const emptiedState = isEmpty
    ? state
    : { ...state, registers: state.registers.clear(), entries: [] };
  const effects = transition.effects.map((effect) =>
    effect.kind === 'send-reply' && effect.reply.kind === 'page-read'
      ? { ...effect, reply: { ...effect.reply, registers: [], entries: [] } }
      : effect,
  );
  return { state: emptiedState, effects };
};

const countCopiedRegisters = (
  _before: ReplicaState,
  transition: ReplicaTransition,
): ReplicaTransition => {
  const registers = transition.state.registers.map((register): RegisterState => {
    if (register.accepted?.copied !== true) return register;
    const { proposalNumber, value } = register.accepted;
    return { ...register, accepted: { proposalNumber, value } };
  });
  return { ...transition, state: { ...transition.state, registers: registers } };
};

/**
 * Removes the epochs of predecessors from the membership, as if every replaced disk had been a
 * founder.
 */
const withoutPredecessorEpochs = (request: ReplicaRequest): ReplicaRequest => {
  if (request.membership === null) return request;
  const { value } = request.membership;
  const predecessors = Object.fromEntries(
    Object.entries(value.predecessors ?? {}).map(([slot, { disk, address }]) => [
      slot,
      { disk, address },
    ]),
  );
  return { ...request, membership: { ...request.membership, value: { ...value, predecessors } } };
};

/** All injected faults, by a short name. */
export const mutations = {
  votesBeforeReading: {
    name: 'a successor votes before it has read',
    alterTransition: voteAfterReading(() => 0),
  },
  readsTooFew: {
    name: 'a successor reads one member fewer than it must',
    alterTransition: voteAfterReading((members) => members - majorityOf(members)),
  },
  acceptsStaleEpochs: {
    name: 'replicas handle requests of older epochs',
    alterRequest: treatAsCurrent,
  },
  acceptsStaleMembershipProposals: {
    name: 'replicas handle membership proposals of older epochs',
    alterRequest: (state, request) =>
      isMembershipProposal(request) ? treatAsCurrent(state, request) : request,
  },
  keepsDiskIdAfterWipe: {
    name: 'a wiped disk keeps its disk id',
    diskIdAfterWipe: (oldDiskId) => oldDiskId,
  },
  keepsDiskIdAfterReplacement: {
    name: 'a replaced disk keeps its disk id',
    alterTransition: keepDiskIdWhenErased,
  },
  acceptsForAnyDisk: {
    name: 'an accept is not bound to the disk that promised',
    alterRequest: (state, request) =>
      request.operation.kind === 'accept'
        ? { ...request, operation: { ...request.operation, diskId: state.diskId } }
        : request,
  },
  keepsPromises: {
    name: 'a client keeps its promises after a membership change',
    client: { keepsPromises: true },
  },
  readsWithoutEpoch: {
    name: 'a successor does not send its epoch to the members that it reads',
    alterReadRequest: (request) => ({ ...request, membership: null }),
  },
  readsPredecessorWithoutEpoch: {
    name: 'a successor reads its predecessor without sending its epoch',
    alterReadRequest: (request, to) =>
      isPredecessorAt(request, to) ? { ...request, membership: null } : request,
  },
  predecessorKeepsVoting: {
    name: 'a predecessor continues to vote after its successor has read it',
    alterTransition: keepVotingWhenReplaced,
  },
  predecessorErasesData: {
    name: 'a predecessor erases its data before its successor has read it',
    alterTransition: eraseDataWhenReplaced,
  },
  readsIdlePredecessor: {
    name: 'a successor reads a predecessor that did not vote in its last slot',
    alterRequest: (_state, request) => withoutPredecessorEpochs(request),
  },
  countsCopies: {
    name: 'a copied value counts as a vote',
    alterTransition: countCopiedRegisters,
  },
  votesInAnySlot: {
    name: 'a disk votes in every slot after it has voted in one',
    alterTransition: (_before, transition) =>
      transition.state.hasBegunVoting
        ? { ...transition, state: { ...transition.state, votingEpoch: Infinity } }
        : transition,
  },
  copiesNoPromises: {
    name: 'a successor copies accepted values but no promises',
    alterReadReply: (body) =>
      body.kind === 'page-read' ? { ...body, registers: body.registers.map(withoutPromise) } : body,
  },
  copiesNoEntries: {
    name: 'a successor copies no journal entries',
    alterReadReply: (body) => (body.kind === 'page-read' ? { ...body, entries: [] } : body),
  },
  leasesFromNewest: {
    name: 'a lease starts with the newest of a majority of polls',
    client: { leasesFromNewest: true },
  },
  countsUnknown: {
    name: 'a poll counts although it shows an unknown value',
    client: { countsUnknown: true },
  },
  forgetsMembership: {
    name: 'a restarted replica forgets the committed membership',
    alterReplayedRecords: (records) =>
      records.filter((record) => record.kind !== 'membership-committed'),
  },
  repliesBeforeSync: { name: 'replicas reply before they sync', repliesBeforeSync: true },
} as const satisfies Record<string, Mutation>;

/** Combines two faults into one mutation. */
export const combineMutations = (left: Mutation, right: Mutation): Mutation => ({
  ...left,
  ...right,
  name: `${left.name}; ${right.name}`,
});
