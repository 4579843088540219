/**
 * Ballots of this node. Each register has at most one under way here: changes that come meanwhile
 * wait, and the next ballot makes all of them, each on what the one before it left. So changes of
 * one node never outvote each other, and are made in the order in which they came.
 *
 * A change joins only a ballot that is opened after it came. Joining one whose promises may have
 * been given before could answer a read with a value that was replaced before the read was asked
 * for.
 */
import {
  type Change,
  type ChangeResult,
  compareProposalNumbers,
  handleVote,
  type ProposalNumber,
  type ProposalTransition,
  startProposal,
} from '@reedyard/consensus';
import { Limits } from '@reedyard/constants';
import { membershipKey, type ReplicaReply } from '@reedyard/replica';
import type { Reading, RegisterChange } from './changes.js';
import { finish, type Outcome } from './completion.js';
import { learnRegister } from './pulls.js';
import { isStranded } from './reachability.js';
import {
  type AgentState,
  type BallotRun,
  chance,
  counts,
  type IncludedChange,
  log,
  type ProposalRun,
  type Purpose,
  type Retries,
  sendToReplica,
  set,
  takeId,
  watched,
  type Watched,
  without,
  type Work,
} from './state.js';

/**
 * The wait of an outvoted proposer is drawn from a span that doubles each time: at first four times
 * what an exchange with the replicas took, two ballots, so that the one that won can end; at most
 * 32 times, which is room for sixteen.
 */
const Backoff = { leastExchange: 4, firstExchanges: 4, mostExchanges: 32, longest: 640 } as const;

const noRetries: Retries = { outvoted: 0, timedOut: 0 };

const isWatched = (key: string): key is Watched => (watched as readonly string[]).includes(key);

/** The changes that wait for a ballot on a register, the oldest first. */
const waitingFor = (state: AgentState, key: string): readonly IncludedChange[] =>
  Object.entries(state.proposalRuns).flatMap(([id, proposalRun]) =>
    proposalRun.key === key ? [{ id: Number(id), proposalRun }] : [],
  );

/** The changes of a ballot that are still wanted. */
const wantedOf = (state: AgentState, run: BallotRun): readonly IncludedChange[] =>
  run.included.filter(({ id }) => state.proposalRuns[id] !== undefined);

/** What a change made of the value it was applied to, and what it left. */
type Applied = IncludedChange & { readonly changed: ChangeResult; readonly value: unknown };

/**
 * Applies changes one after the other to what a ballot read; tells of each what it made and what it
 * left.
 */
const applyAll = (included: readonly IncludedChange[], read: unknown): readonly Applied[] => {
  let current = read;
  return included.map(({ id, proposalRun }) => {
    const reading: Reading | undefined =
      proposalRun.firstRead === null
        ? undefined
        : { first: proposalRun.firstRead.value, now: read };
    const changed = proposalRun.change(current, reading);
    if (changed.kind === 'write') current = changed.value;
    return { id, proposalRun, changed, value: current };
  });
};

/**
 * All changes of a ballot as one. Refusals are told to those they concern, and don't hold up the
 * others.
 */
const combine =
  (included: readonly IncludedChange[]): Change =>
  (current) => {
    const applied = applyAll(included, current);
    const last = applied.at(-1);
    const isWritten = applied.some(({ changed }) => changed.kind === 'write');
    return last !== undefined && isWritten
      ? { kind: 'write', value: last.value }
      : { kind: 'keep' };
  };

const setRun = (work: Work, key: string, run: BallotRun): void => {
  set(work, { runs: { ...work.state.runs, [key]: run } });
};

const sendMoves = (work: Work, turn: ProposalTransition): void => {
  const { key } = turn.proposal;
  for (const move of turn.actions) {
    if (move.kind !== 'prepare' && move.kind !== 'accept') continue;
    const replica = work.state.replicas[move.to];
    if (replica === undefined) continue;
    const { proposalNumber } = move;
    const call =
      move.kind === 'prepare'
        ? ({ kind: 'prepare', key, proposalNumber } as const)
        : ({
            kind: 'accept',
            key,
            proposalNumber,
            value: move.value,
            diskId: move.diskId,
          } as const);
    sendToReplica(work, replica.address, call, {
      kind: 'vote',
      key,
      replica: move.to,
      phase: move.kind,
      proposalNumber,
    });
  }
};

/** Drops the changes of a register whose callers are gone. */
const dropAbandoned = (work: Work, key: string): void => {
  for (const { id, proposalRun } of waitingFor(work.state, key)) {
    if (proposalRun.isAbandoned) set(work, { proposalRuns: without(work.state.proposalRuns, id) });
  }
};

/** Opens a ballot for all changes that wait for a register. */
const openRun = (work: Work, key: string, retries: Retries = noRetries): void => {
  dropAbandoned(work, key);
  const waiting = waitingFor(work.state, key);
  if (waiting.length === 0) {
    set(work, { runs: without(work.state.runs, key) });
    return;
  }
  const { state } = work;
  const members = Object.keys(state.replicas);
  // A ballot belongs to one life of a process: a new one does not know which ballots the last one
  // opened.
  const proposer = `${state.self.id}/${state.life}`;
  const turn = startProposal(key, combine(waiting), members, state.highestBallot, proposer);
  set(work, { highestBallot: turn.proposal.proposalNumber });
  setRun(work, key, {
    proposal: turn.proposal,
    included: waiting,
    phaseAt: state.now,
    sentAt: state.now,
    resends: 0,
    retries,
    retryAt: null,
  });
  sendMoves(work, turn);
  work.effects.push({ kind: 'wake', inMs: Limits.resend });
};

/** Notes what the register held when changes were first applied. */
const noteFirstRead = (work: Work, run: BallotRun, read: unknown): void => {
  const noted = wantedOf(work.state, run).flatMap(({ id, proposalRun }) =>
    proposalRun.firstRead === null
      ? [[id, { ...proposalRun, firstRead: { value: read } }] as const]
      : [],
  );
  set(work, { proposalRuns: { ...work.state.proposalRuns, ...Object.fromEntries(noted) } });
};

const outcomeOf = ({ changed, value }: Applied): Outcome =>
  changed.kind === 'refuse'
    ? { kind: 'refused', reason: changed.reason, value }
    : { kind: 'chosen', value };

/** Takes in what a ballot chose, and tells each of its changes how it ended. */
const conclude = (
  work: Work,
  run: BallotRun,
  chosen: {
    readonly proposalNumber: ProposalNumber | null;
    readonly value: unknown;
    readonly valueRead: unknown;
  },
): void => {
  const { key } = run.proposal;
  const isWanted = ({ id }: Applied): boolean => work.state.proposalRuns[id] !== undefined;
  const applied = applyAll(run.included, chosen.valueRead).filter(isWanted);
  const proposalRuns = applied.reduce((left, { id }) => without(left, id), work.state.proposalRuns);
  set(work, { proposalRuns, runs: without(work.state.runs, key) });
  if (chosen.proposalNumber !== null) learnChosen(work, key, chosen.proposalNumber, chosen.value);
  for (const each of applied) finish(work, each.proposalRun.purpose, outcomeOf(each));
  if (work.state.runs[key] === undefined) openRun(work, key);
};

const learnChosen = (
  work: Work,
  key: string,
  proposalNumber: ProposalNumber,
  value: unknown,
): void => {
  if (isWatched(key)) {
    learnRegister(work, key, proposalNumber, value);
    return;
  }
  const [newest, ...older] = work.state.claims;
  if (newest !== undefined)
    set(work, { claims: [newest.set(key, { proposalNumber, value }), ...older] });
};

/**
 * Waits before the next ballot, at random and longer each time, so that proposers don't outvote
 * each other for ever.
 */
const backOff = (work: Work, run: BallotRun): void => {
  const exchange = Math.max(Backoff.leastExchange, work.state.now - run.phaseAt);
  const exchanges = Math.min(
    Backoff.mostExchanges,
    Backoff.firstExchanges * 2 ** run.retries.outvoted,
  );
  const wait = Math.min(Backoff.longest, exchange * exchanges) * chance(work);
  setRun(work, run.proposal.key, { ...run, retryAt: work.state.now + wait });
  work.effects.push({ kind: 'wake', inMs: wait });
};

/** Proposes a change of a register; what becomes of it is told by its purpose. */
export const propose = (
  work: Work,
  key: string,
  change: RegisterChange,
  purpose: Purpose,
): void => {
  const id = takeId(work);
  const proposalRun: ProposalRun = {
    key,
    change,
    purpose,
    openedAt: work.state.now,
    firstRead: null,
    isAbandoned: false,
  };
  set(work, { proposalRuns: { ...work.state.proposalRuns, [id]: proposalRun } });
  if (work.state.runs[key] === undefined) openRun(work, key);
};

export const tookVote = (
  work: Work,
  key: string,
  replica: string,
  phase: 'prepare' | 'accept',
  proposalNumber: ProposalNumber,
  reply: ReplicaReply,
): void => {
  const run = work.state.runs[key];
  if (run === undefined) return;
  if (reply.kind === 'too-many-claims') {
    // There is no room for another key: told at once, not after its whole limit.
    for (const { id, proposalRun } of wantedOf(work.state, run)) giveUp(work, id, proposalRun);
    openRun(work, key);
    return;
  }
  if (reply.kind !== 'vote' || !counts(work.state, replica, reply.diskId)) return;
  const { vote } = reply;
  if (vote.kind === 'no' && compareProposalNumbers(vote.promised, work.state.highestBallot) > 0) {
    set(work, { highestBallot: vote.promised });
  }
  advance(
    work,
    run,
    handleVote(run.proposal, {
      member: replica,
      diskId: reply.diskId,
      phase,
      proposalNumber,
      vote,
    }),
  );
};

/** Goes on with a ballot after a vote. */
const advance = (work: Work, run: BallotRun, turn: ProposalTransition): void => {
  const { now } = work.state;
  const isNewPhase = turn.proposal.phase !== run.proposal.phase;
  const next: BallotRun = {
    ...run,
    proposal: turn.proposal,
    phaseAt: isNewPhase ? now : run.phaseAt,
    sentAt: isNewPhase ? now : run.sentAt,
    resends: isNewPhase ? 0 : run.resends,
  };
  setRun(work, turn.proposal.key, next);
  if (isNewPhase && run.proposal.phase === 'prepare')
    noteFirstRead(work, next, turn.proposal.valueRead);
  sendMoves(work, turn);
  if (isNewPhase && turn.proposal.phase === 'accept')
    work.effects.push({ kind: 'wake', inMs: Limits.resend });
  for (const move of turn.actions) {
    if (move.kind === 'preempted' && next.retryAt === null) backOff(work, next);
    if (move.kind === 'chosen') conclude(work, next, move);
  }
};

const timeoutOf = (purpose: Purpose): number =>
  purpose.kind === 'zone' ? Limits.zoneOrder : Limits.proposal;

const giveUp = (work: Work, id: number, proposalRun: ProposalRun): void => {
  set(work, { proposalRuns: without(work.state.proposalRuns, id) });
  finish(work, proposalRun.purpose, { kind: 'unknown' });
};

/**
 * Leaves out of a ballot's first phase what is no longer wanted; without anything left it is not
 * gone on with.
 */
const leaveOut = (work: Work, key: string): void => {
  const run = work.state.runs[key];
  if (run === undefined) return;
  const included = wantedOf(work.state, run);
  if (included.length === run.included.length) return;
  if (included.length === 0) {
    openRun(work, key);
    return;
  }
  // The second phase is out and can't be recalled.
  if (run.proposal.phase === 'accept') return;
  const proposal = { ...run.proposal, change: combine(included) };
  setRun(work, key, { ...run, proposal, included });
};

/**
 * Prepares for replicas that have not answered, and accepts for those that have promised and not
 * accepted.
 */
const unanswered = ({ proposal }: BallotRun): ProposalTransition['actions'] => {
  const { proposalNumber, prepareResponses: promises, proposedValue: value } = proposal;
  return proposal.members.flatMap((to): ProposalTransition['actions'] => {
    const promise = promises[to];
    if (proposal.rejectedBy.includes(to) || proposal.acceptedBy.includes(to)) return [];
    if (promise === undefined) return [{ kind: 'prepare', to, proposalNumber }];
    return proposal.phase === 'accept'
      ? [{ kind: 'accept', to, proposalNumber, value, diskId: promise.diskId }]
      : [];
  });
};

/** ms that one phase of a ballot may take at most: little at first where members change. */
const longestPhaseOf = (run: BallotRun, now: number): number => {
  const [oldest] = run.included;
  const isYoung =
    oldest !== undefined && now - oldest.proposalRun.openedAt < Limits.membershipHaste;
  return isYoung && run.proposal.key === membershipKey
    ? Limits.membershipPhase
    : Limits.ballotPhase;
};

/**
 * ms after which the calls of a ballot are sent again: longer each time, since a slow replica is
 * not helped by more.
 */
const resendAfter = (run: BallotRun): number => Limits.resend * 2 ** run.resends;

const resend = (work: Work, run: BallotRun): void => {
  const next = { ...run, sentAt: work.state.now, resends: run.resends + 1 };
  setRun(work, run.proposal.key, next);
  sendMoves(work, { proposal: run.proposal, actions: unanswered(run) });
  work.effects.push({ kind: 'wake', inMs: resendAfter(next) });
};

const tendRun = (work: Work, key: string, run: BallotRun): void => {
  const { now } = work.state;
  const { outvoted, timedOut } = run.retries;
  if (run.retryAt !== null) {
    if (now >= run.retryAt) openRun(work, key, { outvoted: outvoted + 1, timedOut });
  } else if (now - run.phaseAt > longestPhaseOf(run, now))
    openRun(work, key, { outvoted, timedOut: timedOut + 1 });
  else if (now - run.sentAt >= resendAfter(run)) resend(work, run);
};

/** Looks after ballots that wait or hang, and changes that have taken too long. */
export const tendProposalRuns = (work: Work): void => {
  for (const [id, proposalRun] of Object.entries(work.state.proposalRuns)) {
    const isOverdue = work.state.now - proposalRun.openedAt > timeoutOf(proposalRun.purpose);
    if (!isOverdue && !isStranded(work.state, proposalRun)) continue;
    giveUp(work, Number(id), proposalRun);
    leaveOut(work, proposalRun.key);
  }
  for (const [key, run] of Object.entries(work.state.runs)) tendRun(work, key, run);
};

const isCallersPurpose = (purpose: Purpose, caller: number): boolean =>
  (purpose.kind === 'put-policy' || purpose.kind === 'get-policy' || purpose.kind === 'zone') &&
  purpose.id === caller;

/**
 * The caller of an operator's action is gone: it repeats its order at another node. What has not
 * been proposed yet is dropped, and what is being proposed gets no further ballot, so that it can't
 * undo an order that follows.
 */
export const dropCaller = (work: Work, caller: number): void => {
  for (const [id, proposalRun] of Object.entries(work.state.proposalRuns)) {
    if (!isCallersPurpose(proposalRun.purpose, caller)) continue;
    if (isProposed(work.state, Number(id))) {
      set(work, {
        proposalRuns: { ...work.state.proposalRuns, [id]: { ...proposalRun, isAbandoned: true } },
      });
      continue;
    }
    set(work, { proposalRuns: without(work.state.proposalRuns, id) });
    log(work, 'order.dropped', { kind: proposalRun.purpose.kind });
    leaveOut(work, proposalRun.key);
  }
};

/** Whether a change is part of a ballot whose second phase is out. */
const isProposed = (state: AgentState, id: number): boolean =>
  Object.values(state.runs).some(
    (run) =>
      run.proposal.phase === 'accept' &&
      run.retryAt === null &&
      run.included.some((each) => each.id === id),
  );

/**
 * Under new members nothing counts that was counted by the old ones: all that is under way begins
 * again.
 */
export const countAnew = (work: Work): void => {
  const { state } = work;
  const runs = Object.entries(state.runs).map(
    ([key, run]) =>
      [
        key,
        { ...run, retryAt: state.now, proposal: { ...run.proposal, phase: 'done' as const } },
      ] as const,
  );
  const postings = Object.entries(state.postings).map(
    ([which, posting]) => [which, { ...posting, acks: [], sentAt: -Infinity }] as const,
  );
  const replicas = Object.entries(state.replicas).map(
    ([name, view]) => [name, { ...view, pulled: null }] as const,
  );
  set(work, {
    runs: Object.fromEntries(runs),
    postings: Object.fromEntries(postings),
    replicas: Object.fromEntries(replicas),
  });
  if (runs.length > 0) work.effects.push({ kind: 'wake', inMs: 0 });
};
