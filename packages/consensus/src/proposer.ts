import { Ballots, type ProposalNumber, type Vote } from './acceptor.js';

/** What a change makes of the value it reads: a new one, the same one, or a refusal. */
export type ChangeResult =
  | { readonly kind: 'write'; readonly value: unknown }
  | { readonly kind: 'keep' }
  | { readonly kind: 'refuse'; readonly reason: string };

/**
 * A change is applied again on each try, so it must know its own earlier work by an id in the
 * value.
 */
export type Change = (current: unknown) => ChangeResult;

/** One replica as a member; disk names the life of its data, so votes of a wiped one never mix. */
export type MemberName = string;

export type Proposal = {
  readonly key: string;
  readonly change: Change;
  readonly members: readonly MemberName[];
  readonly proposalNumber: ProposalNumber;
  readonly highestSeen: ProposalNumber;
  readonly phase: 'prepare' | 'accept' | 'done';
  readonly prepareResponses: Readonly<
    Record<MemberName, { readonly diskId: string; readonly vote: Vote }>
  >;
  /** Members that promised a higher ballot, in either phase. */
  readonly rejectedBy: readonly MemberName[];
  /** What the change was applied to; known once a majority has promised. */
  readonly valueRead: unknown;
  readonly proposedValue: unknown;
  readonly changeResult: ChangeResult | null;
  readonly acceptedBy: readonly MemberName[];
};

/** What the proposer wants sent, or how it ended. */
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
      readonly proposalNumber: ProposalNumber | null;
      readonly value: unknown;
      readonly isWrite: boolean;
      /** What the change was applied to. */ readonly valueRead: unknown;
    }
  | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown }
  | { readonly kind: 'preempted' };

export type ProposalTransition = {
  readonly proposal: Proposal;
  readonly actions: readonly ProposerAction[];
};

/** @example majorityOf(5) // 3 */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

const still = (proposal: Proposal): ProposalTransition => ({ proposal, actions: [] });
const ended = (proposal: Proposal, move: ProposerAction): ProposalTransition => ({
  proposal: { ...proposal, phase: 'done' },
  actions: [move],
});

const toAccept = (proposal: Proposal): ProposalTransition => {
  const promises = Object.entries(proposal.prepareResponses).flatMap(
    ([member, { diskId: disk, vote }]) =>
      vote.kind === 'yes' ? [{ member, disk, accepted: vote.accepted }] : [],
  );
  if (promises.length < majorityOf(proposal.members.length)) return still(proposal);
  const newest = promises.reduce<{ proposalNumber: ProposalNumber; value: unknown } | null>(
    (best, { accepted }) =>
      accepted !== null &&
      (best === null || Ballots.compare(accepted.proposalNumber, best.proposalNumber) > 0)
        ? accepted
        : best,
    null,
  );
  const current = newest === null ? null : newest.value;
  const changed = proposal.change(current);
  if (changed.kind !== 'write') {
    const held =
      newest === null
        ? promises.length
        : promises.filter(
            ({ accepted }) =>
              accepted !== null &&
              accepted.copied !== true &&
              Ballots.compare(accepted.proposalNumber, newest.proposalNumber) === 0,
          ).length;
    if (held >= majorityOf(proposal.members.length)) {
      return ended(
        { ...proposal, valueRead: current },
        changed.kind === 'keep'
          ? {
              kind: 'chosen',
              proposalNumber: newest === null ? null : newest.proposalNumber,
              value: current,
              isWrite: false,
              valueRead: current,
            }
          : { kind: 'refused', reason: changed.reason, value: current },
      );
    }
  }
  // A kept or refused value that no majority is seen to hold is written again first: only then is it true.
  const proposed = changed.kind === 'write' ? changed.value : current;
  return {
    proposal: {
      ...proposal,
      phase: 'accept',
      valueRead: current,
      proposedValue: proposed,
      changeResult: changed,
    },
    actions: promises.map(({ member, disk }) => ({
      kind: 'accept',
      to: member,
      proposalNumber: proposal.proposalNumber,
      value: proposed,
      diskId: disk,
    })),
  };
};

/**
 * A member promised a higher proposalNumber: without it, and others like it, there may be no majority left.
 */
const refused = (
  proposal: Proposal,
  member: MemberName,
  promised: ProposalNumber,
): ProposalTransition => {
  const highest =
    Ballots.compare(promised, proposal.highestSeen) > 0 ? promised : proposal.highestSeen;
  const refusedBy = proposal.rejectedBy.includes(member)
    ? proposal.rejectedBy
    : [...proposal.rejectedBy, member];
  const next = { ...proposal, highestSeen: highest, rejectedBy: refusedBy };
  const isOutvoted =
    refusedBy.length > proposal.members.length - majorityOf(proposal.members.length);
  return isOutvoted ? { proposal: next, actions: [{ kind: 'preempted' }] } : still(next);
};

/**
 * A promise that comes after the second phase has begun: the member may take the value as well.
 * Without it the refusal of one of a bare majority would leave the ballot hanging.
 */
const lateToAccept = (
  proposal: Proposal,
  member: MemberName,
  disk: string,
  vote: Vote,
): ProposalTransition => {
  if (proposal.prepareResponses[member] !== undefined) return still(proposal);
  const promises = { ...proposal.prepareResponses, [member]: { diskId: disk, vote } };
  const { proposalNumber, proposedValue: value } = proposal;
  return {
    proposal: { ...proposal, prepareResponses: promises },
    actions: [{ kind: 'accept', to: member, proposalNumber, value, diskId: disk }],
  };
};

export const Proposer = {
  /**
   * Opens a proposal over a register with a ballot above any seen.
   *
   * @example
   * Proposer.open('policy', () => ({ kind: 'write', value: 1 }), ['a', 'b', 'c'], [0, ''], 'agent').moves.length // 3
   */
  open: (
    key: string,
    change: Change,
    members: readonly MemberName[],
    above: ProposalNumber,
    proposer: string,
  ): ProposalTransition => {
    const proposalNumber = Ballots.after(above, proposer);
    return {
      proposal: {
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
      },
      actions: members.map((to) => ({ kind: 'prepare', to, proposalNumber })),
    };
  },

  /**
   * Takes in a vote; a vote of an earlier try is passed over.
   *
   * @example
   * Proposer.voted(proposal, 'a', 'disk-1', 'prepare', [1, 'agent'], { kind: 'yes', accepted: null })
   */
  voted: (
    proposal: Proposal,
    member: MemberName,
    disk: string,
    phase: 'prepare' | 'accept',
    proposalNumber: ProposalNumber,
    vote: Vote,
  ): ProposalTransition => {
    if (proposal.phase === 'done' || Ballots.compare(proposalNumber, proposal.proposalNumber) !== 0)
      return still(proposal);
    if (proposal.phase === 'prepare' && phase === 'accept') return still(proposal);
    if (vote.kind === 'no') return refused(proposal, member, vote.promised);
    if (phase === 'prepare' && proposal.phase === 'accept')
      return lateToAccept(proposal, member, disk, vote);
    if (phase === 'prepare')
      return toAccept({
        ...proposal,
        prepareResponses: { ...proposal.prepareResponses, [member]: { diskId: disk, vote } },
      });
    if (proposal.acceptedBy.includes(member)) return still(proposal);
    const next = { ...proposal, acceptedBy: [...proposal.acceptedBy, member] };
    if (next.acceptedBy.length < majorityOf(next.members.length)) return still(next);
    return ended(
      next,
      next.changeResult?.kind === 'refuse'
        ? { kind: 'refused', reason: next.changeResult.reason, value: next.proposedValue }
        : {
            kind: 'chosen',
            proposalNumber: next.proposalNumber,
            value: next.proposedValue,
            isWrite: true,
            valueRead: next.valueRead,
          },
    );
  },
} as const;
