import { Ballots, type Ballot, type Vote } from './acceptor.js';

/** What a change makes of the value it reads: a new one, the same one, or a refusal. */
export type Changed =
  | { readonly kind: 'write'; readonly value: unknown }
  | { readonly kind: 'keep' }
  | { readonly kind: 'refuse'; readonly reason: string };

/**
 * A change is applied again on each try, so it must know its own earlier work by an id in the
 * value.
 */
export type Change = (current: unknown) => Changed;

/** One replica as a member; disk names the life of its data, so votes of a wiped one never mix. */
export type Member = string;

export type Proposal = {
  readonly key: string;
  readonly change: Change;
  readonly members: readonly Member[];
  readonly ballot: Ballot;
  readonly highest: Ballot;
  readonly phase: 'prepare' | 'accept' | 'done';
  readonly promises: Readonly<Record<Member, { readonly disk: string; readonly vote: Vote }>>;
  /** Members that promised a higher ballot, in either phase. */
  readonly refusedBy: readonly Member[];
  /** What the change was applied to; known once a majority has promised. */
  readonly read: unknown;
  readonly proposed: unknown;
  readonly verdict: Changed | null;
  readonly accepts: readonly Member[];
};

/** What the proposer wants sent, or how it ended. */
export type Move =
  | { readonly kind: 'prepare'; readonly to: Member; readonly ballot: Ballot }
  | {
      readonly kind: 'accept';
      readonly to: Member;
      readonly ballot: Ballot;
      readonly value: unknown;
      readonly disk: string;
    }
  | {
      readonly kind: 'chosen';
      readonly ballot: Ballot | null;
      readonly value: unknown;
      readonly wrote: boolean;
      /** What the change was applied to. */ readonly read: unknown;
    }
  | { readonly kind: 'refused'; readonly reason: string; readonly value: unknown }
  | { readonly kind: 'outvoted' };

export type Turn = { readonly proposal: Proposal; readonly moves: readonly Move[] };

/** @example majorityOf(5) // 3 */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

const still = (proposal: Proposal): Turn => ({ proposal, moves: [] });
const ended = (proposal: Proposal, move: Move): Turn => ({
  proposal: { ...proposal, phase: 'done' },
  moves: [move],
});

const toAccept = (proposal: Proposal): Turn => {
  const promises = Object.entries(proposal.promises).flatMap(([member, { disk, vote }]) =>
    vote.kind === 'yes' ? [{ member, disk, accepted: vote.accepted }] : [],
  );
  if (promises.length < majorityOf(proposal.members.length)) return still(proposal);
  const newest = promises.reduce<{ ballot: Ballot; value: unknown } | null>(
    (best, { accepted }) =>
      accepted !== null && (best === null || Ballots.compare(accepted.ballot, best.ballot) > 0)
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
              Ballots.compare(accepted.ballot, newest.ballot) === 0,
          ).length;
    if (held >= majorityOf(proposal.members.length)) {
      return ended(
        { ...proposal, read: current },
        changed.kind === 'keep'
          ? {
              kind: 'chosen',
              ballot: newest === null ? null : newest.ballot,
              value: current,
              wrote: false,
              read: current,
            }
          : { kind: 'refused', reason: changed.reason, value: current },
      );
    }
  }
  // A kept or refused value that no majority is seen to hold is written again first: only then is it true.
  const proposed = changed.kind === 'write' ? changed.value : current;
  return {
    proposal: { ...proposal, phase: 'accept', read: current, proposed, verdict: changed },
    moves: promises.map(({ member, disk }) => ({
      kind: 'accept',
      to: member,
      ballot: proposal.ballot,
      value: proposed,
      disk,
    })),
  };
};

/**
 * A member promised a higher ballot: without it, and others like it, there may be no majority left.
 */
const refused = (proposal: Proposal, member: Member, promised: Ballot): Turn => {
  const highest = Ballots.compare(promised, proposal.highest) > 0 ? promised : proposal.highest;
  const refusedBy = proposal.refusedBy.includes(member)
    ? proposal.refusedBy
    : [...proposal.refusedBy, member];
  const next = { ...proposal, highest, refusedBy };
  const isOutvoted =
    refusedBy.length > proposal.members.length - majorityOf(proposal.members.length);
  return isOutvoted ? { proposal: next, moves: [{ kind: 'outvoted' }] } : still(next);
};

/**
 * A promise that comes after the second phase has begun: the member may take the value as well.
 * Without it the refusal of one of a bare majority would leave the ballot hanging.
 */
const lateToAccept = (proposal: Proposal, member: Member, disk: string, vote: Vote): Turn => {
  if (proposal.promises[member] !== undefined) return still(proposal);
  const promises = { ...proposal.promises, [member]: { disk, vote } };
  const { ballot, proposed: value } = proposal;
  return {
    proposal: { ...proposal, promises },
    moves: [{ kind: 'accept', to: member, ballot, value, disk }],
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
    members: readonly Member[],
    above: Ballot,
    proposer: string,
  ): Turn => {
    const ballot = Ballots.after(above, proposer);
    return {
      proposal: {
        key,
        change,
        members,
        ballot,
        highest: ballot,
        phase: 'prepare',
        promises: {},
        refusedBy: [],
        read: undefined,
        proposed: undefined,
        verdict: null,
        accepts: [],
      },
      moves: members.map((to) => ({ kind: 'prepare', to, ballot })),
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
    member: Member,
    disk: string,
    phase: 'prepare' | 'accept',
    ballot: Ballot,
    vote: Vote,
  ): Turn => {
    if (proposal.phase === 'done' || Ballots.compare(ballot, proposal.ballot) !== 0)
      return still(proposal);
    if (proposal.phase === 'prepare' && phase === 'accept') return still(proposal);
    if (vote.kind === 'no') return refused(proposal, member, vote.promised);
    if (phase === 'prepare' && proposal.phase === 'accept')
      return lateToAccept(proposal, member, disk, vote);
    if (phase === 'prepare')
      return toAccept({
        ...proposal,
        promises: { ...proposal.promises, [member]: { disk, vote } },
      });
    if (proposal.accepts.includes(member)) return still(proposal);
    const next = { ...proposal, accepts: [...proposal.accepts, member] };
    if (next.accepts.length < majorityOf(next.members.length)) return still(next);
    return ended(
      next,
      next.verdict?.kind === 'refuse'
        ? { kind: 'refused', reason: next.verdict.reason, value: next.proposed }
        : {
            kind: 'chosen',
            ballot: next.ballot,
            value: next.proposed,
            wrote: true,
            read: next.read,
          },
    );
  },
} as const;
