/**
 * Test support: a reducer without clocks that models the part of an agent that takes part in the
 * membership protocol.
 *
 * The client counts replies by the membership that it knows. It learns a newer membership in the
 * same three ways as an agent: from its own proposal, from a majority of polls that show the same
 * proposal, or from a replica that knows it. Under the new membership it restarts its attempts. It
 * proposes with the product's own proposer and change functions.
 */
import {
  compareProposalNumbers,
  handleVote,
  majorityOf,
  type ProposalNumber,
  type ProposalTransition,
  type ProposerAction,
  startProposal,
  zeroProposalNumber,
} from '@reedyard/consensus';
import {
  type CommittedMembership,
  isNewerMembership,
  type Membership,
  membershipKey,
  type ReplicaOperation,
  type ReplicaReply,
} from '@reedyard/replica';
import type {
  Attempt,
  Client,
  ClientCall,
  ClientEffect,
  ClientEvent,
  ClientFaults,
  CallPurpose,
  PollView,
} from './membership-client-types.js';
import { changeOf, type Goal, keyOf, type WatchedKey, watchedKeys } from './membership-goals.js';

type ClientTransition = {
  client: Client;
  readonly effects: ClientEffect[];
  readonly step: number;
  readonly faults: ClientFaults;
};

/**
 * Creates a client that knows these members, or none if `members` is null.
 *
 * @example
 * openClient('p', null).leaseStartStep // -1
 */
export const openClient = (name: string, members: CommittedMembership | null): Client => ({
  name,
  incarnation: 1,
  members,
  highestNumber: members?.proposalNumber ?? zeroProposalNumber,
  attempts: {},
  nextAttempt: 1,
  pendingEntry: null,
  views: {},
  cursors: {},
  data: null,
  entryKeys: [],
  minorityKeys: [],
  leaseStartStep: -1,
});

const update = (transition: ClientTransition, change: Partial<Client>): void => {
  transition.client = { ...transition.client, ...change };
};

const slotsOf = (client: Client): readonly string[] =>
  Object.keys(client.members?.value.disks ?? {});

const sendCall = (
  transition: ClientTransition,
  slot: string,
  body: ReplicaOperation,
  purpose: CallPurpose,
): void => {
  const { members, incarnation } = transition.client;
  const to = members?.value.addresses?.[slot] ?? slot;
  const request = { membership: members, operation: body };
  const clientCall = { incarnation, slot, to, purpose, body: request, sentAt: transition.step };
  transition.effects.push({ kind: 'call', call: clientCall });
};

const openProposal = (
  transition: ClientTransition,
  attemptId: number,
  goal: Goal,
  above: ProposalNumber,
): void => {
  const { client } = transition;
  // As in an agent, each proposal number is used only once and names the incarnation of its
  // process.
  const startAbove =
    compareProposalNumbers(above, client.highestNumber) > 0 ? above : client.highestNumber;
  const proposer = `${client.name}/${client.incarnation}`;
  const proposalTransition = startProposal(
    keyOf(goal),
    changeOf(goal),
    slotsOf(client),
    startAbove,
    proposer,
  );
  const attempt = {
    goal,
    proposal: proposalTransition.proposal,
    promisedBy: {},
    isPreempted: false,
  };
  const attempts = { ...client.attempts, [attemptId]: attempt };
  update(transition, { attempts, highestNumber: proposalTransition.proposal.proposalNumber });
  proposalTransition.actions.forEach((action) => performAction(transition, attemptId, action));
};

const performAction = (
  transition: ClientTransition,
  attemptId: number,
  action: ProposerAction,
): void => {
  const attempt = transition.client.attempts[attemptId];
  if (attempt === undefined) return;
  const key = keyOf(attempt.goal);
  if (action.kind === 'prepare' || action.kind === 'accept') {
    const { kind, to, proposalNumber } = action;
    const body: ReplicaOperation =
      action.kind === 'prepare'
        ? { kind: 'prepare', key, proposalNumber }
        : { kind: 'accept', key, proposalNumber, value: action.value, diskId: action.diskId };
    sendCall(transition, to, body, {
      kind: 'vote',
      attempt: attemptId,
      phase: kind,
      proposalNumber,
    });
    return;
  }
  if (action.kind === 'preempted') {
    update(transition, {
      attempts: { ...transition.client.attempts, [attemptId]: { ...attempt, isPreempted: true } },
    });
    return;
  }
  const { [attemptId]: _endedAttempt, ...attempts } = transition.client.attempts;
  update(transition, { attempts });
  if (action.kind === 'chosen') handleChosen(transition, key, attempt.goal, action);
};

const handleChosen = (
  transition: ClientTransition,
  key: WatchedKey,
  goal: Goal,
  { proposalNumber, value }: Extract<ProposerAction, { kind: 'chosen' }>,
): void => {
  if (proposalNumber === null) return;
  transition.effects.push({ kind: 'chosen', key, proposalNumber, value });
  learnChosen(transition, key, proposalNumber, value);
  if (goal.kind === 'append') transition.effects.push({ kind: 'appended', id: goal.id });
};

/** Learns a chosen value if its proposal is newer than the known one. */
const learnChosen = (
  transition: ClientTransition,
  key: WatchedKey,
  proposalNumber: ProposalNumber,
  value: unknown,
): void => {
  if (key === membershipKey) {
    learnMembership(transition, { proposalNumber, value: value as Membership });
    return;
  }
  const currentNumber = transition.client.data?.proposalNumber ?? zeroProposalNumber;
  if (compareProposalNumbers(proposalNumber, currentNumber) <= 0) return;
  update(transition, { data: { proposalNumber, value } });
  raiseHighestNumber(transition, proposalNumber);
  renewLease(transition);
};

const raiseHighestNumber = (transition: ClientTransition, proposalNumber: ProposalNumber): void => {
  if (compareProposalNumbers(proposalNumber, transition.client.highestNumber) > 0)
    update(transition, { highestNumber: proposalNumber });
};

const learnMembership = (transition: ClientTransition, membership: CommittedMembership): void => {
  if (!isNewerMembership(membership, transition.client.members)) return;
  update(transition, { members: membership, views: {}, minorityKeys: [] });
  raiseHighestNumber(transition, membership.proposalNumber);
  restartUnderNewMembership(transition);
};

/**
 * Restarts all attempts, because replies counted under the former membership do not count under the
 * new one.
 */
const restartUnderNewMembership = (transition: ClientTransition): void => {
  const { attempts, pendingEntry } = transition.client;
  if (pendingEntry !== null) postEntry(transition, pendingEntry.entryKey);
  for (const [name, attempt] of Object.entries(attempts)) {
    if (transition.faults.keepsPromises === true) resendAccepts(transition, Number(name), attempt);
    else
      openProposal(
        transition,
        Number(name),
        attempt.goal,
        highestKnownNumber(transition.client, attempt),
      );
  }
};

/** Injected fault: sends accepts based on promises of the former members to the new members. */
const resendAccepts = (transition: ClientTransition, attemptId: number, attempt: Attempt): void => {
  const { proposalNumber, prepareResponses: promises, proposedValue, phase } = attempt.proposal;
  if (phase !== 'accept') return;
  const restarted = { ...attempt, proposal: { ...attempt.proposal, acceptedBy: [] } };
  update(transition, { attempts: { ...transition.client.attempts, [attemptId]: restarted } });
  for (const [to, { diskId: disk }] of Object.entries(promises)) {
    performAction(transition, attemptId, {
      kind: 'accept',
      to,
      proposalNumber,
      value: proposedValue,
      diskId: disk,
    });
  }
};

const highestKnownNumber = (client: Client, { proposal }: Attempt): ProposalNumber =>
  compareProposalNumbers(client.highestNumber, proposal.highestSeen) > 0
    ? client.highestNumber
    : proposal.highestSeen;

const isMemberDisk = (client: Client, slot: string, disk: string): boolean =>
  client.members?.value.disks[slot] === disk;

const handleVoteReply = (
  transition: ClientTransition,
  event: Extract<ClientEvent, { kind: 'replied' }>,
): void => {
  const { purpose, slot } = event.call;
  const { body } = event;
  if (purpose.kind !== 'vote' || body.kind !== 'vote') return;
  const attempt = transition.client.attempts[purpose.attempt];
  if (attempt === undefined || !isMemberDisk(transition.client, slot, body.diskId)) return;
  if (body.vote.kind === 'no') raiseHighestNumber(transition, body.vote.promised);
  const { phase, proposalNumber } = purpose;
  const proposal = attempt.proposal;
  const proposalTransition = handleVote(proposal, {
    member: slot,
    diskId: body.diskId,
    phase,
    proposalNumber,
    vote: body.vote,
  });
  recordVoteDisk(transition, attempt, proposalTransition, event);
  proposalTransition.actions.forEach((action) =>
    performAction(transition, purpose.attempt, action),
  );
};

/**
 * Stores the proposal's new state, and reports a vote whose physical disk differs from the disk
 * that gave the promise.
 */
const recordVoteDisk = (
  transition: ClientTransition,
  attempt: Attempt,
  { proposal }: ProposalTransition,
  { call: { slot, purpose }, diskNumber }: Extract<ClientEvent, { kind: 'replied' }>,
): void => {
  if (purpose.kind !== 'vote') return;
  const hasNewPromise = proposal.prepareResponses !== attempt.proposal.prepareResponses;
  const hasNewAccept = proposal.acceptedBy.length > attempt.proposal.acceptedBy.length;
  const promisedBy = hasNewPromise
    ? { ...attempt.promisedBy, [slot]: diskNumber }
    : attempt.promisedBy;
  if (hasNewAccept && promisedBy[slot] !== diskNumber) {
    transition.effects.push({ kind: 'lives-mixed', slot, proposalNumber: purpose.proposalNumber });
  }
  const updated = { ...attempt, proposal, promisedBy };
  update(transition, { attempts: { ...transition.client.attempts, [purpose.attempt]: updated } });
};

const pollMembers = (transition: ClientTransition): void => {
  for (const slot of slotsOf(transition.client)) {
    const disk = transition.client.members?.value.disks[slot] ?? '';
    const cursor = transition.client.cursors[disk] ?? null;
    sendCall(transition, slot, { kind: 'poll', cursor, keys: watchedKeys }, { kind: 'pull' });
  }
};

const handlePollReply = (
  transition: ClientTransition,
  { slot, sentAt }: ClientCall,
  body: ReplicaReply,
): void => {
  if (body.kind !== 'polled' || !isMemberDisk(transition.client, slot, body.diskId)) return;
  const { views, cursors, entryKeys } = transition.client;
  if ((views[slot]?.sentAt ?? -1) > sentAt) return;
  const addedKeys = body.entries.map(({ key }) => key).filter((key) => !entryKeys.includes(key));
  update(transition, {
    entryKeys: [...entryKeys, ...addedKeys],
    cursors: { ...cursors, [body.diskId]: { diskId: body.diskId, sequence: body.sequence } },
    views: {
      ...views,
      [slot]: { sentAt, acceptedNumbers: body.acceptedNumbers, copied: body.copiedKeys ?? [] },
    },
    minorityKeys: [],
  });
  watchedKeys.forEach((key) => checkRegister(transition, key));
  renewLease(transition);
};

const knownNumber = (client: Client, key: WatchedKey): ProposalNumber =>
  (key === membershipKey ? client.members?.proposalNumber : client.data?.proposalNumber) ??
  zeroProposalNumber;

/**
 * Whether the replica accepted this proposal itself, rather than copying the value from another
 * replica.
 */
const hasVotedFor = (view: PollView, key: WatchedKey, proposalNumber: ProposalNumber): boolean =>
  !view.copied.includes(key) &&
  compareProposalNumbers(view.acceptedNumbers[key] ?? zeroProposalNumber, proposalNumber) === 0;

/**
 * Fetches a newer value that a majority has voted for, and notes the register as incomplete if only
 * a minority has.
 */
const checkRegister = (transition: ClientTransition, key: WatchedKey): void => {
  const { client } = transition;
  const shown = Object.entries(client.views).map(
    ([slot, view]) => [slot, view.acceptedNumbers[key] ?? zeroProposalNumber] as const,
  );
  const highestNumber = shown.reduce<ProposalNumber>(
    (best, [, proposalNumber]) =>
      compareProposalNumbers(proposalNumber, best) > 0 ? proposalNumber : best,
    zeroProposalNumber,
  );
  if (compareProposalNumbers(highestNumber, knownNumber(client, key)) <= 0) return;
  const holders = shown.filter(
    ([, proposalNumber]) => compareProposalNumbers(proposalNumber, highestNumber) === 0,
  );
  const holder = holders[0]?.[0];
  if (holder === undefined) return;
  const votes = Object.values(client.views).filter((view) => hasVotedFor(view, key, highestNumber));
  if (votes.length < majorityOf(slotsOf(client).length)) {
    update(transition, { minorityKeys: [...client.minorityKeys, key] });
  } else sendCall(transition, holder, { kind: 'read-register', key }, { kind: 'fetch', key });
};

const handleFetchReply = (
  transition: ClientTransition,
  key: WatchedKey,
  body: ReplicaReply,
): void => {
  if (body.kind !== 'register-read' || body.accepted === null) return;
  const { proposalNumber, value } = body.accepted;
  const { views } = transition.client;
  const voters = Object.values(views).filter((view) => hasVotedFor(view, key, proposalNumber));
  if (voters.length < majorityOf(slotsOf(transition.client).length)) return;
  transition.effects.push({ kind: 'chosen', key, proposalNumber, value });
  learnChosen(transition, key, proposalNumber, value);
};

/**
 * Renews the lease. It starts when the oldest poll of a majority was sent, counting only polls that
 * show no value unknown to the client.
 */
const renewLease = (transition: ClientTransition): void => {
  const { client, faults } = transition;
  const counted = Object.values(client.views)
    .filter((view) => faults.countsUnknown === true || showsNothingUnknown(client, view))
    .map((view) => view.sentAt)
    .sort((left, right) => right - left);
  const quorum = majorityOf(slotsOf(client).length);
  const oldest = counted[quorum - 1];
  const from = faults.leasesFromNewest === true && oldest !== undefined ? counted[0] : oldest;
  if (from === undefined || from <= client.leaseStartStep) return;
  update(transition, { leaseStartStep: from });
  transition.effects.push({
    kind: 'lease',
    from,
    epoch: client.members?.value.epoch ?? 0,
    data: (client.data?.value ?? '') as string,
    entryKeys: client.entryKeys,
  });
};

const showsNothingUnknown = (client: Client, view: PollView): boolean =>
  watchedKeys.every(
    (key) =>
      compareProposalNumbers(
        view.acceptedNumbers[key] ?? zeroProposalNumber,
        knownNumber(client, key),
      ) <= 0,
  );

const postEntry = (transition: ClientTransition, entryKey: string): void => {
  update(transition, { pendingEntry: { entryKey, acks: [] } });
  const body: ReplicaOperation = {
    kind: 'append-entries',
    entries: [{ key: entryKey, value: null }],
  };
  slotsOf(transition.client).forEach((slot) =>
    sendCall(transition, slot, body, { kind: 'post', entryKey }),
  );
};

const handlePostReply = (
  transition: ClientTransition,
  slot: string,
  entryKey: string,
  body: ReplicaReply,
): void => {
  const { pendingEntry } = transition.client;
  if (
    body.kind !== 'entries-appended' ||
    pendingEntry?.entryKey !== entryKey ||
    pendingEntry.acks.includes(slot)
  )
    return;
  if (!isMemberDisk(transition.client, slot, body.diskId)) return;
  const acks = [...pendingEntry.acks, slot];
  const isDone = acks.length >= majorityOf(slotsOf(transition.client).length);
  update(transition, { pendingEntry: isDone ? null : { entryKey, acks } });
  if (isDone) transition.effects.push({ kind: 'posted', entryKey });
};

const handleReply = (
  transition: ClientTransition,
  event: Extract<ClientEvent, { kind: 'replied' }>,
): void => {
  const { purpose, slot } = event.call;
  const { body } = event;
  if (event.call.incarnation !== transition.client.incarnation) return;
  if (body.kind === 'newer-membership' && body.membership !== null) {
    learnMembership(transition, body.membership);
    return;
  }
  if (purpose.kind === 'vote') handleVoteReply(transition, event);
  if (purpose.kind === 'pull') handlePollReply(transition, event.call, body);
  if (purpose.kind === 'fetch') handleFetchReply(transition, purpose.key, body);
  if (purpose.kind === 'post') handlePostReply(transition, slot, purpose.entryKey, body);
};

const retryAttempt = (transition: ClientTransition, attemptId: number): void => {
  const attempt = transition.client.attempts[attemptId];
  if (attempt !== undefined)
    openProposal(
      transition,
      attemptId,
      attempt.goal,
      highestKnownNumber(transition.client, attempt),
    );
};

const proposeGoal = (transition: ClientTransition, goal: Goal): void => {
  const attemptId = transition.client.nextAttempt;
  update(transition, { nextAttempt: attemptId + 1 });
  openProposal(transition, attemptId, goal, transition.client.highestNumber);
};

/**
 * Applies one event to a client.
 *
 * @example
 * reduceClient(client, { kind: 'pull' }, 7, {}).effects // one call for each member it knows
 */
export const reduceClient = (
  client: Client,
  event: ClientEvent,
  step: number,
  faults: ClientFaults,
): { readonly client: Client; readonly effects: readonly ClientEffect[] } => {
  const transition: ClientTransition = { client, effects: [], step, faults };
  switch (event.kind) {
    case 'propose':
      proposeGoal(transition, event.goal);
      break;
    case 'retry':
      retryAttempt(transition, event.attempt);
      break;
    case 'pull':
      pollMembers(transition);
      break;
    case 'look':
      sendCall(
        transition,
        event.address,
        { kind: 'poll', cursor: null, keys: [] },
        { kind: 'look' },
      );
      break;
    case 'post':
      postEntry(transition, event.entryKey);
      break;
    case 'restart':
      transition.client = { ...openClient(client.name, null), incarnation: client.incarnation + 1 };
      break;
    case 'outpaced':
      update(transition, {
        highestNumber: {
          counter: client.highestNumber.counter + event.rounds,
          proposerId: client.name,
        },
      });
      break;
    case 'replied':
      handleReply(transition, event);
      break;
  }
  return { client: transition.client, effects: transition.effects };
};
