/**
 * Journal entries on their way to the replicas' journals: the caller is answered once a majority
 * has them on disk.
 */
import { majorityOf } from '@reedyard/consensus';
import type { JournalEntry, ReplicaReply } from '@reedyard/replica';
import { unreached } from '../api/action-replies.js';
import { isAppendIsolated } from '../control/reachability.js';
import { isDiskOfMember } from '../control/registers.js';
import { omitKey } from '../omit-key.js';
import { sendToReplica, takeRequestId, type Transition, update } from '../transition.js';
import { type PendingAppend, proposalTimeoutMs, resendMs } from './proposal-state.js';

/**
 * Posts journal entries; the waiting caller is answered with `done` once a majority has them on
 * disk.
 */
export const appendToJournal = (
  transition: Transition,
  entries: readonly JournalEntry[],
  id: number,
  done: unknown,
): void => {
  const which = takeRequestId(transition);
  const posting = {
    entries,
    acknowledgedBy: [],
    apiRequestId: id,
    requestedAt: transition.state.now,
    lastSentAt: -Infinity,
    responseBody: done,
  };
  update(transition, { pendingAppends: { ...transition.state.pendingAppends, [which]: posting } });
  maintainAppends(transition);
};

/** Counts a replica that appended; answers the caller once a majority has. */
export const handleAppendReply = (
  transition: Transition,
  which: number,
  replica: string,
  reply: ReplicaReply,
): void => {
  const posting = transition.state.pendingAppends[which];
  if (posting === undefined || reply.kind !== 'entries-appended') return;
  if (
    posting.acknowledgedBy.includes(replica) ||
    !isDiskOfMember(transition.state, replica, reply.diskId)
  )
    return;
  const acks = [...posting.acknowledgedBy, replica];
  if (acks.length < majorityOf(Object.keys(transition.state.replicas).length)) {
    update(transition, {
      pendingAppends: {
        ...transition.state.pendingAppends,
        [which]: { ...posting, acknowledgedBy: acks },
      },
    });
    return;
  }
  const posted = Object.fromEntries(posting.entries.map((entry) => [entry.key, true as const]));
  update(transition, {
    pendingAppends: omitKey(transition.state.pendingAppends, which),
    committedEntryKeys: { ...transition.state.committedEntryKeys, ...posted },
  });
  transition.effects.push({
    kind: 'send-answer',
    requestId: posting.apiRequestId,
    status: 200,
    body: posting.responseBody,
  });
};

const failAppend = (transition: Transition, appendId: number, append: PendingAppend): void => {
  update(transition, { pendingAppends: omitKey(transition.state.pendingAppends, appendId) });
  const requestId = append.apiRequestId;
  transition.effects.push({ kind: 'send-answer', requestId, ...unreached('The order') });
};

/** Sends an append to the replicas that have not acknowledged it. */
const sendAppend = (transition: Transition, appendId: number, append: PendingAppend): void => {
  const { pendingAppends, now, replicas } = transition.state;
  update(transition, {
    pendingAppends: { ...pendingAppends, [appendId]: { ...append, lastSentAt: now } },
  });
  for (const [replica, { address }] of Object.entries(replicas)) {
    if (append.acknowledgedBy.includes(replica)) continue;
    const operation = { kind: 'append-entries', entries: append.entries } as const;
    sendToReplica(transition, address, operation, { kind: 'append-entries', appendId, replica });
  }
};

/** Sends appends again to replicas that did not answer; fails one that has taken too long. */
export const maintainAppends = (transition: Transition): void => {
  const { now } = transition.state;
  for (const [name, append] of Object.entries(transition.state.pendingAppends)) {
    const appendId = Number(name);
    const isOverdue = now - append.requestedAt > proposalTimeoutMs;
    if (isOverdue || isAppendIsolated(transition.state, append))
      failAppend(transition, appendId, append);
    else if (now - append.lastSentAt >= resendMs) sendAppend(transition, appendId, append);
  }
};
