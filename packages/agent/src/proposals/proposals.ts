/**
 * Proposals of this node. Each register has at most one under way here: changes that come meanwhile
 * wait, and the next proposal makes all of them, each on what the one before it left. So changes of
 * one node never outvote each other, and are made in the order in which they came.
 *
 * A change joins only a proposal that is opened after it came. Joining one whose promises may have
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
import { membershipKey, proposalPhaseTimeoutMs, type ReplicaReply } from '@reedyard/replica';
import { type WatchedRegister, watchedRegisters } from '../control/control-state.js';
import { learnRegister } from '../control/polling.js';
import { isChangeIsolated } from '../control/reachability.js';
import { isDiskOfMember } from '../control/registers.js';
import type { AgentState } from '../state.js';
import { omitKey } from '../omit-key.js';
import {
  log,
  nextRandom,
  sendToReplica,
  takeRequestId,
  type Transition,
  update,
} from '../transition.js';
import type { ReadHistory, RegisterChange } from './changes.js';
import { completeChange, type ChangeOutcome } from './completion.js';
import {
  type ActiveProposal,
  type IncludedChange,
  type PendingChange,
  proposalTimeoutMs,
  type Purpose,
  resendMs,
  type Retries,
} from './proposal-state.js';

/**
 * ms. After this a proposal on the membership is given as long as any other, since the machines are
 * slow.
 */
export const membershipShortPhasesMs = 1_000;

/**
 * ms. The same for a proposal on the membership in its first second: while it lasts one loss less
 * is borne, and a lost message must not cost a third of the time that there is.
 */
export const membershipPhaseTimeoutMs = 200;

/**
 * ms. An order for a zone is proposed this long at most: its caller goes to another node after a
 * second, and is told before that.
 */
export const zoneOrderTimeoutMs = 800;

/**
 * The wait of an outvoted proposer is drawn from a span that doubles each time: at first four times
 * what an exchange with the replicas took, two proposals, so that the one that won can end; at most
 * 32 times, which is room for sixteen.
 */
const firstBackoffExchanges = 4;
const maxBackoffExchanges = 32;

/** ms. An exchange with the replicas counts as this long at least. */
const minExchangeMs = 4;

/** ms. The longest wait of a preempted proposer. */
const maxBackoffMs = 640;

const noRetryYet: Retries = { preempted: 0, timedOut: 0 };

const isWatched = (key: string): key is WatchedRegister =>
  (watchedRegisters as readonly string[]).includes(key);

/** The changes that wait for a proposal on a register, the oldest first. */
const waitingFor = (state: AgentState, key: string): readonly IncludedChange[] =>
  Object.entries(state.pendingChanges).flatMap(([id, pendingChange]) =>
    pendingChange.key === key ? [{ id: Number(id), pendingChange }] : [],
  );

/** The changes of a proposal that are still wanted. */
const wantedOf = (state: AgentState, active: ActiveProposal): readonly IncludedChange[] =>
  active.included.filter(({ id }) => state.pendingChanges[id] !== undefined);

/** What a change made of the value it was applied to, and what it left. */
type Applied = IncludedChange & { readonly changed: ChangeResult; readonly value: unknown };

/**
 * Applies changes one after the other to what a proposal read; tells of each what it made and what
 * it left.
 */
const applyAll = (included: readonly IncludedChange[], read: unknown): readonly Applied[] => {
  let current = read;
  return included.map(({ id, pendingChange }) => {
    const reading: ReadHistory | undefined =
      pendingChange.firstRead === null
        ? undefined
        : { first: pendingChange.firstRead.value, now: read };
    const changed = pendingChange.change(current, reading);
    if (changed.kind === 'write') current = changed.value;
    return { id, pendingChange, changed, value: current };
  });
};

/**
 * All changes of a proposal as one. Refusals are told to those they concern, and don't hold up the
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

const setActiveProposal = (transition: Transition, key: string, active: ActiveProposal): void => {
  update(transition, { activeProposals: { ...transition.state.activeProposals, [key]: active } });
};

const sendActions = (transition: Transition, proposalTransition: ProposalTransition): void => {
  const { key } = proposalTransition.proposal;
  for (const action of proposalTransition.actions) {
    if (action.kind !== 'prepare' && action.kind !== 'accept') continue;
    const replica = transition.state.replicas[action.to];
    if (replica === undefined) continue;
    const { proposalNumber } = action;
    const call =
      action.kind === 'prepare'
        ? ({ kind: 'prepare', key, proposalNumber } as const)
        : ({
            kind: 'accept',
            key,
            proposalNumber,
            value: action.value,
            diskId: action.diskId,
          } as const);
    sendToReplica(transition, replica.address, call, {
      kind: 'vote',
      key,
      replica: action.to,
      phase: action.kind,
      proposalNumber,
    });
  }
};

/** Drops the changes of a register whose callers are gone. */
const dropAbandoned = (transition: Transition, key: string): void => {
  for (const { id, pendingChange } of waitingFor(transition.state, key)) {
    if (pendingChange.isAbandoned)
      update(transition, { pendingChanges: omitKey(transition.state.pendingChanges, id) });
  }
};

/** Opens a proposal for all changes that wait for a register. */
const startProposalFor = (
  transition: Transition,
  key: string,
  retries: Retries = noRetryYet,
): void => {
  dropAbandoned(transition, key);
  const waiting = waitingFor(transition.state, key);
  if (waiting.length === 0) {
    update(transition, { activeProposals: omitKey(transition.state.activeProposals, key) });
    return;
  }
  const { state } = transition;
  const members = Object.keys(state.replicas);
  // A proposal belongs to one incarnation of a process: a new one does not know which proposals the last one
  // opened.
  const proposer = `${state.self.id}/${state.incarnation}`;
  const proposalTransition = startProposal(
    key,
    combine(waiting),
    members,
    state.highestProposalNumber,
    proposer,
  );
  update(transition, { highestProposalNumber: proposalTransition.proposal.proposalNumber });
  setActiveProposal(transition, key, {
    proposal: proposalTransition.proposal,
    included: waiting,
    phaseStartedAt: state.now,
    lastSentAt: state.now,
    resendCount: 0,
    retries,
    retryAt: null,
  });
  sendActions(transition, proposalTransition);
  transition.effects.push({ kind: 'schedule-wake-up', delayMs: resendMs });
};

/** Notes what the register held when changes were first applied. */
const noteFirstRead = (transition: Transition, active: ActiveProposal, read: unknown): void => {
  const noted = wantedOf(transition.state, active).flatMap(({ id, pendingChange }) =>
    pendingChange.firstRead === null
      ? [[id, { ...pendingChange, firstRead: { value: read } }] as const]
      : [],
  );
  update(transition, {
    pendingChanges: { ...transition.state.pendingChanges, ...Object.fromEntries(noted) },
  });
};

const outcomeOf = ({ changed, value }: Applied): ChangeOutcome =>
  changed.kind === 'refuse'
    ? { kind: 'refused', reason: changed.reason, value }
    : { kind: 'chosen', value };

/** Learns what a proposal chose, and tells each of its changes how it ended. */
const concludeProposal = (
  transition: Transition,
  active: ActiveProposal,
  chosen: {
    readonly proposalNumber: ProposalNumber | null;
    readonly value: unknown;
    readonly valueRead: unknown;
  },
): void => {
  const { key } = active.proposal;
  const isWanted = ({ id }: Applied): boolean => transition.state.pendingChanges[id] !== undefined;
  const applied = applyAll(active.included, chosen.valueRead).filter(isWanted);
  const proposalRuns = applied.reduce(
    (left, { id }) => omitKey(left, id),
    transition.state.pendingChanges,
  );
  update(transition, {
    pendingChanges: proposalRuns,
    activeProposals: omitKey(transition.state.activeProposals, key),
  });
  if (chosen.proposalNumber !== null)
    learnChosen(transition, key, chosen.proposalNumber, chosen.value);
  for (const each of applied)
    completeChange(transition, each.pendingChange.purpose, outcomeOf(each));
  if (transition.state.activeProposals[key] === undefined) startProposalFor(transition, key);
};

const learnChosen = (
  transition: Transition,
  key: string,
  proposalNumber: ProposalNumber,
  value: unknown,
): void => {
  if (isWatched(key)) {
    learnRegister(transition, key, proposalNumber, value);
    return;
  }
  const [newest, ...older] = transition.state.claimSpans;
  if (newest !== undefined)
    update(transition, { claimSpans: [newest.set(key, { proposalNumber, value }), ...older] });
};

/**
 * Waits before the next proposal, at random and longer each time, so that proposers don't outvote
 * each other for ever.
 */
const backOff = (transition: Transition, active: ActiveProposal): void => {
  const exchange = Math.max(minExchangeMs, transition.state.now - active.phaseStartedAt);
  const exchanges = Math.min(
    maxBackoffExchanges,
    firstBackoffExchanges * 2 ** active.retries.preempted,
  );
  const wait = Math.min(maxBackoffMs, exchange * exchanges) * nextRandom(transition);
  setActiveProposal(transition, active.proposal.key, {
    ...active,
    retryAt: transition.state.now + wait,
  });
  transition.effects.push({ kind: 'schedule-wake-up', delayMs: wait });
};

/** Proposes a change of a register; what becomes of it is told by its purpose. */
export const propose = (
  transition: Transition,
  key: string,
  change: RegisterChange,
  purpose: Purpose,
): void => {
  const id = takeRequestId(transition);
  const pendingChange: PendingChange = {
    key,
    change,
    purpose,
    requestedAt: transition.state.now,
    firstRead: null,
    isAbandoned: false,
  };
  update(transition, {
    pendingChanges: { ...transition.state.pendingChanges, [id]: pendingChange },
  });
  if (transition.state.activeProposals[key] === undefined) startProposalFor(transition, key);
};

/** Handles a replica's reply to either phase of a proposal. */
export const handleVoteReply = (
  transition: Transition,
  key: string,
  replica: string,
  phase: 'prepare' | 'accept',
  proposalNumber: ProposalNumber,
  reply: ReplicaReply,
): void => {
  const active = transition.state.activeProposals[key];
  if (active === undefined) return;
  if (reply.kind === 'too-many-claims') {
    // There is no room for another key: told at once, not after its whole limit.
    for (const { id, pendingChange } of wantedOf(transition.state, active))
      failChange(transition, id, pendingChange);
    startProposalFor(transition, key);
    return;
  }
  if (reply.kind !== 'vote' || !isDiskOfMember(transition.state, replica, reply.diskId)) return;
  const { vote } = reply;
  if (
    vote.kind === 'no' &&
    compareProposalNumbers(vote.promised, transition.state.highestProposalNumber) > 0
  ) {
    update(transition, { highestProposalNumber: vote.promised });
  }
  advance(
    transition,
    active,
    handleVote(active.proposal, {
      member: replica,
      diskId: reply.diskId,
      phase,
      proposalNumber,
      vote,
    }),
  );
};

/** Goes on with a proposal after a vote. */
const advance = (
  transition: Transition,
  active: ActiveProposal,
  proposalTransition: ProposalTransition,
): void => {
  const { now } = transition.state;
  const isNewPhase = proposalTransition.proposal.phase !== active.proposal.phase;
  const next: ActiveProposal = {
    ...active,
    proposal: proposalTransition.proposal,
    phaseStartedAt: isNewPhase ? now : active.phaseStartedAt,
    lastSentAt: isNewPhase ? now : active.lastSentAt,
    resendCount: isNewPhase ? 0 : active.resendCount,
  };
  setActiveProposal(transition, proposalTransition.proposal.key, next);
  if (isNewPhase && active.proposal.phase === 'prepare')
    noteFirstRead(transition, next, proposalTransition.proposal.valueRead);
  sendActions(transition, proposalTransition);
  if (isNewPhase && proposalTransition.proposal.phase === 'accept')
    transition.effects.push({ kind: 'schedule-wake-up', delayMs: resendMs });
  for (const action of proposalTransition.actions) {
    if (action.kind === 'preempted' && next.retryAt === null) backOff(transition, next);
    if (action.kind === 'chosen') concludeProposal(transition, next, action);
  }
};

const timeoutOf = (purpose: Purpose): number =>
  purpose.kind === 'zone' ? zoneOrderTimeoutMs : proposalTimeoutMs;

const failChange = (transition: Transition, id: number, pendingChange: PendingChange): void => {
  update(transition, { pendingChanges: omitKey(transition.state.pendingChanges, id) });
  completeChange(transition, pendingChange.purpose, { kind: 'unknown' });
};

/**
 * Leaves out of a proposal's first phase what is no longer wanted; without anything left it is not
 * gone on with.
 */
const withdrawUnwanted = (transition: Transition, key: string): void => {
  const active = transition.state.activeProposals[key];
  if (active === undefined) return;
  const included = wantedOf(transition.state, active);
  if (included.length === active.included.length) return;
  if (included.length === 0) {
    startProposalFor(transition, key);
    return;
  }
  // The second phase is out and can't be recalled.
  if (active.proposal.phase === 'accept') return;
  const proposal = { ...active.proposal, change: combine(included) };
  setActiveProposal(transition, key, { ...active, proposal, included });
};

/**
 * Prepares for replicas that have not answered, and accepts for those that have promised and not
 * accepted.
 */
const unansweredActions = ({ proposal }: ActiveProposal): ProposalTransition['actions'] => {
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

/** ms that one phase of a proposal may take at most: little at first where members change. */
const phaseTimeoutMs = (active: ActiveProposal, now: number): number => {
  const [oldest] = active.included;
  const isYoung =
    oldest !== undefined && now - oldest.pendingChange.requestedAt < membershipShortPhasesMs;
  return isYoung && active.proposal.key === membershipKey
    ? membershipPhaseTimeoutMs
    : proposalPhaseTimeoutMs;
};

/**
 * ms after which the calls of a proposal are sent again: longer each time, since a slow replica is
 * not helped by more.
 */
const resendIntervalMs = (active: ActiveProposal): number => resendMs * 2 ** active.resendCount;

const resend = (transition: Transition, active: ActiveProposal): void => {
  const next = {
    ...active,
    lastSentAt: transition.state.now,
    resendCount: active.resendCount + 1,
  };
  setActiveProposal(transition, active.proposal.key, next);
  sendActions(transition, { proposal: active.proposal, actions: unansweredActions(active) });
  transition.effects.push({ kind: 'schedule-wake-up', delayMs: resendIntervalMs(next) });
};

const tendProposal = (transition: Transition, key: string, active: ActiveProposal): void => {
  const { now } = transition.state;
  const { preempted: outvoted, timedOut } = active.retries;
  if (active.retryAt !== null) {
    if (now >= active.retryAt)
      startProposalFor(transition, key, { preempted: outvoted + 1, timedOut });
  } else if (now - active.phaseStartedAt > phaseTimeoutMs(active, now))
    startProposalFor(transition, key, { preempted: outvoted, timedOut: timedOut + 1 });
  else if (now - active.lastSentAt >= resendIntervalMs(active)) resend(transition, active);
};

/** Looks after proposals that wait or hang, and changes that have taken too long. */
export const maintainProposals = (transition: Transition): void => {
  for (const [id, pendingChange] of Object.entries(transition.state.pendingChanges)) {
    const isOverdue =
      transition.state.now - pendingChange.requestedAt > timeoutOf(pendingChange.purpose);
    if (!isOverdue && !isChangeIsolated(transition.state, pendingChange)) continue;
    failChange(transition, Number(id), pendingChange);
    withdrawUnwanted(transition, pendingChange.key);
  }
  for (const [key, active] of Object.entries(transition.state.activeProposals))
    tendProposal(transition, key, active);
};

const isCallersPurpose = (purpose: Purpose, caller: number): boolean =>
  (purpose.kind === 'put-policy' || purpose.kind === 'get-policy' || purpose.kind === 'zone') &&
  purpose.id === caller;

/**
 * The caller of an operator's action is gone: it repeats its order at another node. What has not
 * been proposed yet is dropped, and what is being proposed gets no further proposal, so that it
 * can't undo an order that follows.
 */
export const abandonClient = (transition: Transition, caller: number): void => {
  for (const [id, pendingChange] of Object.entries(transition.state.pendingChanges)) {
    if (!isCallersPurpose(pendingChange.purpose, caller)) continue;
    if (isProposed(transition.state, Number(id))) {
      update(transition, {
        pendingChanges: {
          ...transition.state.pendingChanges,
          [id]: { ...pendingChange, isAbandoned: true },
        },
      });
      continue;
    }
    update(transition, { pendingChanges: omitKey(transition.state.pendingChanges, id) });
    log(transition, 'order.dropped', { kind: pendingChange.purpose.kind });
    withdrawUnwanted(transition, pendingChange.key);
  }
};

/** Whether a change is part of a proposal whose second phase is out. */
const isProposed = (state: AgentState, id: number): boolean =>
  Object.values(state.activeProposals).some(
    (active) =>
      active.proposal.phase === 'accept' &&
      active.retryAt === null &&
      active.included.some((each) => each.id === id),
  );

/**
 * Under new members nothing counts that was counted by the old ones: all that is under way begins
 * again.
 */
export const restartUnderNewMembership = (transition: Transition): void => {
  const { state } = transition;
  const runs = Object.entries(state.activeProposals).map(
    ([key, active]) =>
      [
        key,
        { ...active, retryAt: state.now, proposal: { ...active.proposal, phase: 'done' as const } },
      ] as const,
  );
  const postings = Object.entries(state.pendingAppends).map(
    ([which, posting]) =>
      [which, { ...posting, acknowledgedBy: [], lastSentAt: -Infinity }] as const,
  );
  const replicas = Object.entries(state.replicas).map(
    ([name, view]) => [name, { ...view, countedPolls: null }] as const,
  );
  update(transition, {
    activeProposals: Object.fromEntries(runs),
    pendingAppends: Object.fromEntries(postings),
    replicas: Object.fromEntries(replicas),
  });
  if (runs.length > 0) transition.effects.push({ kind: 'schedule-wake-up', delayMs: 0 });
};
