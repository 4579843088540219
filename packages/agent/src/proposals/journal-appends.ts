/**
 * Appends journal entries to the replicas' journals, and responds to the client once a majority of
 * replicas has the entries on disk.
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
 * Appends journal entries. The client's request is answered with `responseBody` once a majority of
 * replicas has the entries on disk.
 */
export const appendToJournal = (
  transition: Transition,
  entries: readonly JournalEntry[],
  apiRequestId: number,
  responseBody: unknown,
): void => {
  const appendId = takeRequestId(transition);
  const append = {
    entries,
    acknowledgedBy: [],
    apiRequestId,
    requestedAt: transition.state.now,
    lastSentAt: -Infinity,
    responseBody,
  };
  update(transition, {
    pendingAppends: { ...transition.state.pendingAppends, [appendId]: append },
  });
  maintainAppends(transition);
};

/**
 * Counts a replica that has appended the entries, and responds to the client once a majority has.
 */
export const handleAppendReply = (
  transition: Transition,
  appendId: number,
  replica: string,
  reply: ReplicaReply,
): void => {
  const append = transition.state.pendingAppends[appendId];
  if (append === undefined || reply.kind !== 'entries-appended') return;
  if (
    append.acknowledgedBy.includes(replica) ||
    !isDiskOfMember(transition.state, replica, reply.diskId)
  )
    return;
  const acknowledgedBy = [...append.acknowledgedBy, replica];
  if (acknowledgedBy.length < majorityOf(Object.keys(transition.state.replicas).length)) {
    update(transition, {
      pendingAppends: {
        ...transition.state.pendingAppends,
        [appendId]: { ...append, acknowledgedBy },
      },
    });
    return;
  }
  const committedKeys = Object.fromEntries(
    append.entries.map((entry) => [entry.key, true as const]),
  );
  update(transition, {
    pendingAppends: omitKey(transition.state.pendingAppends, appendId),
    committedEntryKeys: { ...transition.state.committedEntryKeys, ...committedKeys },
  });
  transition.effects.push({
    kind: 'send-answer',
    requestId: append.apiRequestId,
    status: 200,
    body: append.responseBody,
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

/** Resends appends to replicas that have not replied, and fails appends that have timed out. */
export const maintainAppends = (transition: Transition): void => {
  const { now } = transition.state;
  for (const [key, append] of Object.entries(transition.state.pendingAppends)) {
    const appendId = Number(key);
    const isOverdue = now - append.requestedAt > proposalTimeoutMs;
    if (isOverdue || isAppendIsolated(transition.state, append))
      failAppend(transition, appendId, append);
    else if (now - append.lastSentAt >= resendMs) sendAppend(transition, appendId, append);
  }
};
