/**
 * Proposals of this node. At most one proposal per register is in flight: changes that are requested
 * in the meantime wait, and the next proposal includes all of them, each applied to the value that
 * the change before it produced. So changes of one node never preempt each other, and are applied in
 * the order in which they were requested.
 *
 * A change is included only in a proposal that is started after the change was requested. If it
 * joined a proposal whose promises may be older than its request, a read could return a value that
 * was replaced before the read was requested.
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
 * How long after its request a change of the membership is proposed with the short phase timeout, in
 * milliseconds. After that it gets the same timeout as any other change, since the machines are
 * evidently slow.
 */
export const membershipShortPhasesMs = 1_000;

/**
 * Phase timeout of a proposal on the membership in its first second, in milliseconds. Until the
 * membership is changed the fleet tolerates one loss less, and a lost message must not take up a
 * third of the available time.
 */
export const membershipPhaseTimeoutMs = 200;

/**
 * How long an order for a zone may be proposed, in milliseconds. Its client switches to another node
 * after one second, and gets a response before that.
 */
export const zoneOrderTimeoutMs = 800;

/**
 * A preempted proposer waits for a random time, up to a limit that doubles with each preemption. The
 * first limit is four times the duration of an exchange with the replicas, which is the time of two
 * proposals, so that the winning proposal can finish. The highest limit is 32 times, enough for
 * sixteen proposals.
 */
const firstBackoffExchanges = 4;
const maxBackoffExchanges = 32;

/** The minimum duration that the backoff assumes for an exchange with the replicas, in milliseconds. */
const minExchangeMs = 4;

/** The longest wait of a preempted proposer, in milliseconds. */
const maxBackoffMs = 640;

const noRetries: Retries = { preempted: 0, timedOut: 0 };

const isWatched = (key: string): key is WatchedRegister =>
  (watchedRegisters as readonly string[]).includes(key);

/** The pending changes of a register, the oldest first. */
const pendingChangesOf = (state: AgentState, key: string): readonly IncludedChange[] =>
  Object.entries(state.pendingChanges).flatMap(([id, pendingChange]) =>
    pendingChange.key === key ? [{ id: Number(id), pendingChange }] : [],
  );

/** The changes included in a proposal that are still pending. */
const stillPendingOf = (state: AgentState, active: ActiveProposal): readonly IncludedChange[] =>
  active.included.filter(({ id }) => state.pendingChanges[id] !== undefined);

/** An applied change: its result, and the register's value after it. */
type AppliedChange = IncludedChange & { readonly result: ChangeResult; readonly value: unknown };

/**
 * Applies changes one after the other to the value that a proposal read, and returns the result of
 * each and the value after it.
 */
const applyChanges = (
  included: readonly IncludedChange[],
  valueRead: unknown,
): readonly AppliedChange[] => {
  let current = valueRead;
  return included.map(({ id, pendingChange }) => {
    const readHistory: ReadHistory | undefined =
      pendingChange.firstRead === null
        ? undefined
        : { first: pendingChange.firstRead.value, now: valueRead };
    const result = pendingChange.change(current, readHistory);
    if (result.kind === 'write') current = result.value;
    return { id, pendingChange, result, value: current };
  });
};

/**
 * Combines the changes of a proposal into one. A refused change is reported to its own client when
 * the proposal concludes, and does not prevent the other changes.
 */
const combineChanges =
  (included: readonly IncludedChange[]): Change =>
  (current) => {
    const applied = applyChanges(included, current);
    const last = applied.at(-1);
    const isWritten = applied.some(({ result }) => result.kind === 'write');
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
    const operation =
      action.kind === 'prepare'
        ? ({ kind: 'prepare', key, proposalNumber } as const)
        : ({
            kind: 'accept',
            key,
            proposalNumber,
            value: action.value,
            diskId: action.diskId,
          } as const);
    sendToReplica(transition, replica.address, operation, {
      kind: 'vote',
      key,
      replica: action.to,
      phase: action.kind,
      proposalNumber,
    });
  }
};

/** Removes the pending changes of a register whose clients have disconnected. */
const removeAbandoned = (transition: Transition, key: string): void => {
  for (const { id, pendingChange } of pendingChangesOf(transition.state, key)) {
    if (pendingChange.isAbandoned)
      update(transition, { pendingChanges: omitKey(transition.state.pendingChanges, id) });
  }
};

/** Starts a proposal that includes all pending changes of a register. */
const startProposalFor = (
  transition: Transition,
  key: string,
  retries: Retries = noRetries,
): void => {
  removeAbandoned(transition, key);
  const included = pendingChangesOf(transition.state, key);
  if (included.length === 0) {
    update(transition, { activeProposals: omitKey(transition.state.activeProposals, key) });
    return;
  }
  const { state } = transition;
  const members = Object.keys(state.replicas);
  // A proposal number belongs to one incarnation of the process: a new incarnation does not know
  // which proposals the previous one started.
  const proposer = `${state.self.id}/${state.incarnation}`;
  const proposalTransition = startProposal(
    key,
    combineChanges(included),
    members,
    state.highestProposalNumber,
    proposer,
  );
  update(transition, { highestProposalNumber: proposalTransition.proposal.proposalNumber });
  setActiveProposal(transition, key, {
    proposal: proposalTransition.proposal,
    included,
    phaseStartedAt: state.now,
    lastSentAt: state.now,
    resendCount: 0,
    retries,
    retryAt: null,
  });
  sendActions(transition, proposalTransition);
  transition.effects.push({ kind: 'schedule-wake-up', delayMs: resendMs });
};

/** Records the register's value with the changes that were applied for the first time. */
const recordFirstRead = (
  transition: Transition,
  active: ActiveProposal,
  valueRead: unknown,
): void => {
  const changesRead = stillPendingOf(transition.state, active).flatMap(({ id, pendingChange }) =>
    pendingChange.firstRead === null
      ? [[id, { ...pendingChange, firstRead: { value: valueRead } }] as const]
      : [],
  );
  update(transition, {
    pendingChanges: { ...transition.state.pendingChanges, ...Object.fromEntries(changesRead) },
  });
};

const outcomeOf = ({ result, value }: AppliedChange): ChangeOutcome =>
  result.kind === 'refuse'
    ? { kind: 'refused', reason: result.reason, value }
    : { kind: 'chosen', value };

/** Learns the value that a proposal chose, and completes each of the proposal's changes. */
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
  const isPending = ({ id }: AppliedChange): boolean =>
    transition.state.pendingChanges[id] !== undefined;
  const applied = applyChanges(active.included, chosen.valueRead).filter(isPending);
  const pendingChanges = applied.reduce(
    (remaining, { id }) => omitKey(remaining, id),
    transition.state.pendingChanges,
  );
  update(transition, {
    pendingChanges,
    activeProposals: omitKey(transition.state.activeProposals, key),
  });
  if (chosen.proposalNumber !== null)
    learnChosen(transition, key, chosen.proposalNumber, chosen.value);
  for (const change of applied)
    completeChange(transition, change.pendingChange.purpose, outcomeOf(change));
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
  const [newestSpan, ...olderSpans] = transition.state.claimSpans;
  if (newestSpan !== undefined)
    update(transition, {
      claimSpans: [newestSpan.set(key, { proposalNumber, value }), ...olderSpans],
    });
};

/**
 * Schedules the next proposal after a random delay, whose limit grows with each preemption, so that
 * proposers don't preempt each other forever.
 */
const backOff = (transition: Transition, active: ActiveProposal): void => {
  const exchangeMs = Math.max(minExchangeMs, transition.state.now - active.phaseStartedAt);
  const maxExchanges = Math.min(
    maxBackoffExchanges,
    firstBackoffExchanges * 2 ** active.retries.preempted,
  );
  const delayMs = Math.min(maxBackoffMs, exchangeMs * maxExchanges) * nextRandom(transition);
  setActiveProposal(transition, active.proposal.key, {
    ...active,
    retryAt: transition.state.now + delayMs,
  });
  transition.effects.push({ kind: 'schedule-wake-up', delayMs });
};

/**
 * Requests a change of a register. The change is proposed immediately, or after the register's
 * proposal in flight; its outcome is handled according to its purpose.
 */
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
    // The replicas have no capacity for another key: fails immediately rather than by timeout.
    for (const { id, pendingChange } of stillPendingOf(transition.state, active))
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
  advanceProposal(
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

/** Advances a proposal after a vote. */
const advanceProposal = (
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
    recordFirstRead(transition, next, proposalTransition.proposal.valueRead);
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
 * Removes changes that are no longer pending from a proposal in its first phase. A proposal without
 * any pending change is replaced, in either phase, by a proposal for the register's other pending
 * changes, if there are any.
 */
const withdrawRemovedChanges = (transition: Transition, key: string): void => {
  const active = transition.state.activeProposals[key];
  if (active === undefined) return;
  const included = stillPendingOf(transition.state, active);
  if (included.length === active.included.length) return;
  if (included.length === 0) {
    startProposalFor(transition, key);
    return;
  }
  // The accepts of the second phase have been sent and can't be recalled.
  if (active.proposal.phase === 'accept') return;
  const proposal = { ...active.proposal, change: combineChanges(included) };
  setActiveProposal(transition, key, { ...active, proposal, included });
};

/**
 * The calls to send again: prepares to the replicas that have not promised, and in the second phase
 * accepts to the replicas that have promised but not accepted.
 */
const unacknowledgedActions = ({ proposal }: ActiveProposal): ProposalTransition['actions'] => {
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

/**
 * The maximum duration of one phase of a proposal, in milliseconds: shorter for young changes of the
 * membership.
 */
const phaseTimeoutMs = (active: ActiveProposal, now: number): number => {
  const [oldest] = active.included;
  const isYoung =
    oldest !== undefined && now - oldest.pendingChange.requestedAt < membershipShortPhasesMs;
  return isYoung && active.proposal.key === membershipKey
    ? membershipPhaseTimeoutMs
    : proposalPhaseTimeoutMs;
};

/**
 * The time in milliseconds after which the calls of a proposal are sent again. It doubles each time,
 * since more calls don't help a slow replica.
 */
const resendIntervalMs = (active: ActiveProposal): number => resendMs * 2 ** active.resendCount;

const resend = (transition: Transition, active: ActiveProposal): void => {
  const next = {
    ...active,
    lastSentAt: transition.state.now,
    resendCount: active.resendCount + 1,
  };
  setActiveProposal(transition, active.proposal.key, next);
  sendActions(transition, { proposal: active.proposal, actions: unacknowledgedActions(active) });
  transition.effects.push({ kind: 'schedule-wake-up', delayMs: resendIntervalMs(next) });
};

const maintainProposal = (transition: Transition, key: string, active: ActiveProposal): void => {
  const { now } = transition.state;
  const { preempted, timedOut } = active.retries;
  if (active.retryAt !== null) {
    if (now >= active.retryAt)
      startProposalFor(transition, key, { preempted: preempted + 1, timedOut });
  } else if (now - active.phaseStartedAt > phaseTimeoutMs(active, now))
    startProposalFor(transition, key, { preempted, timedOut: timedOut + 1 });
  else if (now - active.lastSentAt >= resendIntervalMs(active)) resend(transition, active);
};

/**
 * Fails changes that have timed out or can't progress on an isolated node, then restarts proposals
 * whose backoff or phase timeout has elapsed and resends the calls of others.
 */
export const maintainProposals = (transition: Transition): void => {
  for (const [id, pendingChange] of Object.entries(transition.state.pendingChanges)) {
    const isOverdue =
      transition.state.now - pendingChange.requestedAt > timeoutOf(pendingChange.purpose);
    if (!isOverdue && !isChangeIsolated(transition.state, pendingChange)) continue;
    failChange(transition, Number(id), pendingChange);
    withdrawRemovedChanges(transition, pendingChange.key);
  }
  for (const [key, active] of Object.entries(transition.state.activeProposals))
    maintainProposal(transition, key, active);
};

const isRequestedBy = (purpose: Purpose, apiRequestId: number): boolean =>
  (purpose.kind === 'put-policy' || purpose.kind === 'get-policy' || purpose.kind === 'zone') &&
  purpose.id === apiRequestId;

/**
 * Abandons the changes of an API request whose client has disconnected, since the client repeats its
 * request at another node. A change that is not in a second phase yet is removed. A change that is in
 * a second phase is included in no further proposal, so that it can't undo a later command.
 */
export const abandonClient = (transition: Transition, apiRequestId: number): void => {
  for (const [id, pendingChange] of Object.entries(transition.state.pendingChanges)) {
    if (!isRequestedBy(pendingChange.purpose, apiRequestId)) continue;
    if (isInSecondPhase(transition.state, Number(id))) {
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
    withdrawRemovedChanges(transition, pendingChange.key);
  }
};

/** Whether a change is included in a proposal in its second phase that was not preempted. */
const isInSecondPhase = (state: AgentState, id: number): boolean =>
  Object.values(state.activeProposals).some(
    (active) =>
      active.proposal.phase === 'accept' &&
      active.retryAt === null &&
      active.included.some((change) => change.id === id),
  );

/**
 * Restarts the proposals and journal appends in flight and discards the counted polls when the
 * membership changes, since replies counted under the previous membership are no longer valid.
 */
export const restartUnderNewMembership = (transition: Transition): void => {
  const { state } = transition;
  const restartedProposals = Object.entries(state.activeProposals).map(
    ([key, active]) =>
      [
        key,
        { ...active, retryAt: state.now, proposal: { ...active.proposal, phase: 'done' as const } },
      ] as const,
  );
  const restartedAppends = Object.entries(state.pendingAppends).map(
    ([appendId, append]) =>
      [appendId, { ...append, acknowledgedBy: [], lastSentAt: -Infinity }] as const,
  );
  const replicas = Object.entries(state.replicas).map(
    ([name, view]) => [name, { ...view, countedPolls: null }] as const,
  );
  update(transition, {
    activeProposals: Object.fromEntries(restartedProposals),
    pendingAppends: Object.fromEntries(restartedAppends),
    replicas: Object.fromEntries(replicas),
  });
  if (restartedProposals.length > 0)
    transition.effects.push({ kind: 'schedule-wake-up', delayMs: 0 });
};
