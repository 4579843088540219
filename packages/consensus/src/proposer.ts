/**
 * The proposer of CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs"): one
 * proposal reads a register from a majority, applies a change to what it read, and writes the
 * result to a majority.
 *
 * It is a state machine without I/O: `startProposal` and `handleVote` return the next state and the
 * actions to carry out. It relies on acceptors to keep their promises, and on its caller to use
 * each proposal number once and to pass on only votes of the disks that the membership names.
 */
import {
  compareProposalNumbers,
  higherProposalNumber,
  nextProposalNumber,
  type ProposalNumber,
} from './proposal-number.js';
import type { Vote } from './acceptor.js';
import { majorityOf } from './quorum.js';
import type { AcceptedValue } from './register.js';

/** The result of applying a change to a register's value. */
export type ChangeResult =
  | { readonly kind: 'write'; readonly value: unknown }
  /** The value stays the same, and is known to be committed once the proposal ends. */
  | { readonly kind: 'keep' }
  | { readonly kind: 'refuse'; readonly reason: string };

/**
 * A change of a register. It is applied again in each proposal that is started for it, so it must
 * recognize by an id in the value that it has already been applied.
 */
export type Change = (current: unknown) => ChangeResult;

/** A member, named by its slot in the membership. */
export type MemberName = string;

/**
 * A member's vote in the first phase, with its disk: the second phase is sent to that disk only.
 */
type PrepareResponse = { readonly diskId: string; readonly vote: Vote };

/** The state of a proposal under one proposal number. */
export type Proposal = {
  /** The register's key. */
  readonly key: string;
  readonly change: Change;
  readonly members: readonly MemberName[];
  readonly proposalNumber: ProposalNumber;
  /** The highest number seen in any response. */
  readonly highestSeen: ProposalNumber;
  readonly phase: 'prepare' | 'accept' | 'done';
  readonly prepareResponses: Readonly<Record<MemberName, PrepareResponse>>;
  /** Members that promised a higher number, in either phase. */
  readonly rejectedBy: readonly MemberName[];
  /** The value to which the change was applied; known once a majority has promised. */
  readonly valueRead: unknown;
  readonly proposedValue: unknown;
  readonly changeResult: ChangeResult | null;
  readonly acceptedBy: readonly MemberName[];
};

/** A message for the caller to send, or the outcome of the proposal. */
export type ProposerAction =
  | {
      readonly kind: 'prepare';
      readonly to: MemberName;
      readonly proposalNumber: ProposalNumber;
    }
  | {
      readonly kind: 'accept';
      readonly to: MemberName;
      readonly proposalNumber: ProposalNumber;
      readonly value: unknown;
      readonly diskId: string;
    }
  | {
      readonly kind: 'chosen';
      /** The number under which the value was chosen; null for an empty register. */
      readonly proposalNumber: ProposalNumber | null;
      readonly value: unknown;
      /** Whether this proposal wrote the value; if not, it had been chosen before. */
      readonly isWrite: boolean;
      /** The value to which the change was applied. */
      readonly valueRead: unknown;
    }
  | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown }
  /** Members with higher promises leave no majority; the caller may start another proposal. */
  | { readonly kind: 'preempted' };

/** The proposal after an event, and the resulting actions. */
export type ProposalTransition = {
  readonly proposal: Proposal;
  readonly actions: readonly ProposerAction[];
};

/** A member that promised, and the value that it had accepted before. */
type GrantedPromise = {
  readonly member: MemberName;
  readonly diskId: string;
  readonly accepted: AcceptedValue | null;
};

const withoutActions = (proposal: Proposal): ProposalTransition => ({ proposal, actions: [] });

const endProposal = (proposal: Proposal, action: ProposerAction): ProposalTransition => ({
  proposal: { ...proposal, phase: 'done' },
  actions: [action],
});

const promisesOf = (proposal: Proposal): readonly GrantedPromise[] =>
  Object.entries(proposal.prepareResponses).flatMap(([member, { diskId, vote }]) =>
    vote.kind === 'yes' ? [{ member, diskId, accepted: vote.accepted }] : [],
  );

const newestAccepted = (promises: readonly GrantedPromise[]): AcceptedValue | null =>
  promises.reduce<AcceptedValue | null>((newest, { accepted }) => {
    if (accepted === null) return newest;
    const isNewer =
      newest === null || compareProposalNumbers(accepted.proposalNumber, newest.proposalNumber) > 0;
    return isNewer ? accepted : newest;
  }, null);

/** Whether the promises show that a majority voted for the newest value, so that it is chosen. */
const isKnownChosen = (
  proposal: Proposal,
  promises: readonly GrantedPromise[],
  newest: AcceptedValue | null,
): boolean => {
  const votes =
    newest === null
      ? promises
      : promises.filter(
          ({ accepted }) =>
            accepted !== null &&
            accepted.copied !== true &&
            compareProposalNumbers(accepted.proposalNumber, newest.proposalNumber) === 0,
        );
  return votes.length >= majorityOf(proposal.members.length);
};

/** Ends a proposal without a write, since the value that it read is known to be chosen. */
const endWithoutWrite = (
  proposal: Proposal,
  newest: AcceptedValue | null,
  result: Exclude<ChangeResult, { readonly kind: 'write' }>,
): ProposalTransition => {
  const value = newest === null ? null : newest.value;
  const ended = { ...proposal, valueRead: value };
  if (result.kind === 'refuse')
    return endProposal(ended, { kind: 'refused', reason: result.reason, value });
  return endProposal(ended, {
    kind: 'chosen',
    proposalNumber: newest?.proposalNumber ?? null,
    value,
    isWrite: false,
    valueRead: value,
  });
};

/** Begins the second phase once a majority has promised, or ends if there is nothing to write. */
const acceptIfPromised = (proposal: Proposal): ProposalTransition => {
  const promises = promisesOf(proposal);
  if (promises.length < majorityOf(proposal.members.length)) return withoutActions(proposal);
  const newest = newestAccepted(promises);
  const current = newest === null ? null : newest.value;
  const result = proposal.change(current);
  if (result.kind !== 'write' && isKnownChosen(proposal, promises, newest))
    return endWithoutWrite(proposal, newest, result);
  // A value that is kept, or that caused a refusal, may have reached only a minority. It is chosen
  // only once a majority has accepted it, so it is written again.
  const proposedValue = result.kind === 'write' ? result.value : current;
  return {
    proposal: {
      ...proposal,
      phase: 'accept',
      valueRead: current,
      proposedValue,
      changeResult: result,
    },
    actions: promises.map(({ member, diskId }) => ({
      kind: 'accept',
      to: member,
      proposalNumber: proposal.proposalNumber,
      value: proposedValue,
      diskId,
    })),
  };
};

/** Records that a member promised a higher number, and reports if that leaves no majority. */
const handleRejection = (
  proposal: Proposal,
  member: MemberName,
  promised: ProposalNumber,
): ProposalTransition => {
  const highestSeen = higherProposalNumber(proposal.highestSeen, promised);
  const rejectedBy = proposal.rejectedBy.includes(member)
    ? proposal.rejectedBy
    : [...proposal.rejectedBy, member];
  const next = { ...proposal, highestSeen, rejectedBy };
  const memberCount = proposal.members.length;
  const isPreempted = rejectedBy.length > memberCount - majorityOf(memberCount);
  return isPreempted ? { proposal: next, actions: [{ kind: 'preempted' }] } : withoutActions(next);
};

/**
 * Handles a promise that arrives after the second phase has begun: the member may accept the value
 * too. Otherwise the rejection by one member of a bare majority would leave the proposal hanging.
 */
const handleLatePromise = (
  proposal: Proposal,
  member: MemberName,
  response: PrepareResponse,
): ProposalTransition => {
  if (proposal.prepareResponses[member] !== undefined) return withoutActions(proposal);
  const { proposalNumber, proposedValue: value } = proposal;
  return {
    proposal: addPromise(proposal, member, response),
    actions: [{ kind: 'accept', to: member, proposalNumber, value, diskId: response.diskId }],
  };
};

const addPromise = (
  proposal: Proposal,
  member: MemberName,
  response: PrepareResponse,
): Proposal => ({
  ...proposal,
  prepareResponses: { ...proposal.prepareResponses, [member]: response },
});

const handleAcceptance = (proposal: Proposal, member: MemberName): ProposalTransition => {
  if (proposal.acceptedBy.includes(member)) return withoutActions(proposal);
  const next = { ...proposal, acceptedBy: [...proposal.acceptedBy, member] };
  if (next.acceptedBy.length < majorityOf(next.members.length)) return withoutActions(next);
  const value = next.proposedValue;
  if (next.changeResult?.kind === 'refuse')
    return endProposal(next, { kind: 'refused', reason: next.changeResult.reason, value });
  return endProposal(next, {
    kind: 'chosen',
    proposalNumber: next.proposalNumber,
    value,
    isWrite: true,
    valueRead: next.valueRead,
  });
};

/**
 * Starts a proposal for a register, under a number above any that the proposer has seen.
 *
 * @param highestSeen the highest number that the proposer has seen
 * @param proposerId the proposer and its incarnation
 * @example
 * startProposal('config', () => ({ kind: 'write', value: 1 }), ['a', 'b', 'c'], zeroProposalNumber, 'agent').actions.length // 3
 */
export const startProposal = (
  key: string,
  change: Change,
  members: readonly MemberName[],
  highestSeen: ProposalNumber,
  proposerId: string,
): ProposalTransition => {
  const proposalNumber = nextProposalNumber(highestSeen, proposerId);
  const proposal: Proposal = {
    key,
    change,
    members,
    proposalNumber,
    highestSeen: proposalNumber,
    phase: 'prepare',
    prepareResponses: {},
    rejectedBy: [],
    valueRead: undefined,
    proposedValue: undefined,
    changeResult: null,
    acceptedBy: [],
  };
  return {
    proposal,
    actions: members.map((to) => ({ kind: 'prepare', to, proposalNumber })),
  };
};

/** A member's vote, as the proposer receives it. */
export type ReceivedVote = {
  readonly member: MemberName;
  /** The disk that voted. */
  readonly diskId: string;
  readonly phase: 'prepare' | 'accept';
  readonly proposalNumber: ProposalNumber;
  readonly vote: Vote;
};

/**
 * Handles a vote. A vote under another proposal number is ignored.
 *
 * @example
 * handleVote(proposal, { member: 'a', diskId: 'disk-1', phase: 'prepare', proposalNumber, vote: { kind: 'yes', accepted: null } })
 */
export const handleVote = (
  proposal: Proposal,
  { member, diskId, phase, proposalNumber, vote }: ReceivedVote,
): ProposalTransition => {
  if (proposal.phase === 'done') return withoutActions(proposal);
  if (compareProposalNumbers(proposalNumber, proposal.proposalNumber) !== 0)
    return withoutActions(proposal);
  if (proposal.phase === 'prepare' && phase === 'accept') return withoutActions(proposal);
  if (vote.kind === 'no') return handleRejection(proposal, member, vote.promised);
  if (phase === 'accept') return handleAcceptance(proposal, member);
  const response = { diskId, vote };
  if (proposal.phase === 'accept') return handleLatePromise(proposal, member, response);
  return acceptIfPromised(addPromise(proposal, member, response));
};
