/**
 * The replica's reducer: every decision of a replica, as a pure function of its state and an event.
 *
 * A replica is an acceptor of the fleet's registers, keeps a journal of entries that are written
 * once, and follows the membership, which decides whether it may vote. Events carry the time.
 * Effects are carried out by `ReplicaHost`, which replies only once the records appended before a
 * reply are on disk. The simulator runs the same reducer.
 */
import type { Step } from '@reedyard/task-loop';
import { expireClaims } from './claim-expiry.js';
import type { ReplicaEffect, ReplicaEvent } from './events.js';
import { expireEntries } from './journal.js';
import type { ReplicaReply } from './messages.js';
import { handlePeerReply, readPeers } from './peer-reads.js';
import { handleRequest } from './request-handler.js';
import { handlePollReply, isMemberPoll, pollMembers, updateRetirement } from './retirement.js';
import { exitIfDone } from './shutdown.js';
import { isVotingMember, type ReplicaState, type Transition, update } from './state.js';

/** Interval between two removals of expired claims and journal entries, in milliseconds. */
const expiryIntervalMs = 1_000;

/** Handles the reply to one of this replica's own requests; null if the request failed. */
const handleReply = (
  transition: Transition,
  requestId: number,
  reply: ReplicaReply | null,
  now: number,
): void => {
  if (isMemberPoll(transition.state, requestId)) handlePollReply(transition, requestId, reply, now);
  else handlePeerReply(transition, requestId, reply, now);
};

const expire = (transition: Transition, now: number): void => {
  if (now - transition.state.lastExpiryAt < expiryIntervalMs) return;
  update(transition, { lastExpiryAt: now });
  expireEntries(transition, now);
  expireClaims(transition, now);
};

const handleTick = (transition: Transition, now: number): void => {
  updateRetirement(transition, now);
  pollMembers(transition);
  if (!isVotingMember(transition.state)) readPeers(transition, now);
  expire(transition, now);
  exitIfDone(transition, now);
};

const handleEvent = (transition: Transition, event: ReplicaEvent): void => {
  switch (event.kind) {
    case 'request-received':
      handleRequest(transition, event.requestId, event.request, event.now);
      return;
    case 'reply-received':
      handleReply(transition, event.requestId, event.reply, event.now);
      return;
    case 'request-failed':
      handleReply(transition, event.requestId, null, event.now);
      return;
    case 'stop-requested':
      update(transition, { stopRequestedAt: event.now });
      exitIfDone(transition, event.now);
      return;
    case 'tick':
      handleTick(transition, event.now);
      return;
  }
};

/**
 * Returns the state after an event, and the effects to carry out in order.
 *
 * @example
 * reduceReplica(state, { kind: 'tick', now: 200 })
 */
export const reduceReplica = (
  state: ReplicaState,
  event: ReplicaEvent,
): Step<ReplicaState, ReplicaEffect> => {
  const transition: Transition = { state, effects: [] };
  handleEvent(transition, event);
  return { state: transition.state, effects: transition.effects };
};
