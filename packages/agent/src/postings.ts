/**
 * Facts on their way to the replicas' journals: the caller is answered once a majority has them on
 * disk.
 */
import { Limits } from '@reedyard/constants';
import { majorityOf } from '@reedyard/consensus';
import type { ReplicaReply, JournalEntry } from '@reedyard/replica';
import { unreached } from './answers.js';
import { isPostingStranded } from './reachability.js';
import { counts, sendToReplica, set, takeId, without, type Work } from './state.js';

/** Posts facts; the waiting caller is answered with `done` once a majority has them on disk. */
export const post = (
  work: Work,
  facts: readonly JournalEntry[],
  id: number,
  done: unknown,
): void => {
  const which = takeId(work);
  const posting = { facts, acks: [], id, openedAt: work.state.now, sentAt: -Infinity, done };
  set(work, { postings: { ...work.state.postings, [which]: posting } });
  tendPostings(work);
};

export const tookPost = (work: Work, which: number, replica: string, reply: ReplicaReply): void => {
  const posting = work.state.postings[which];
  if (posting === undefined || reply.kind !== 'entries-appended') return;
  if (posting.acks.includes(replica) || !counts(work.state, replica, reply.diskId)) return;
  const acks = [...posting.acks, replica];
  if (acks.length < majorityOf(Object.keys(work.state.replicas).length)) {
    set(work, { postings: { ...work.state.postings, [which]: { ...posting, acks } } });
    return;
  }
  const posted = Object.fromEntries(posting.facts.map((fact) => [fact.key, true as const]));
  set(work, {
    postings: without(work.state.postings, which),
    posted: { ...work.state.posted, ...posted },
  });
  work.effects.push({ kind: 'answer', id: posting.id, status: 200, body: posting.done });
};

/**
 * Sends facts again to replicas that did not answer; gives a posting up that has taken too long.
 */
export const tendPostings = (work: Work): void => {
  const { now } = work.state;
  for (const [name, posting] of Object.entries(work.state.postings)) {
    const which = Number(name);
    if (now - posting.openedAt > Limits.proposal || isPostingStranded(work.state, posting)) {
      set(work, { postings: without(work.state.postings, which) });
      work.effects.push({ kind: 'answer', id: posting.id, ...unreached('The order') });
    } else if (now - posting.sentAt >= Limits.resend) {
      set(work, { postings: { ...work.state.postings, [which]: { ...posting, sentAt: now } } });
      for (const [replica, view] of Object.entries(work.state.replicas)) {
        if (posting.acks.includes(replica)) continue;
        const pending = { kind: 'post', posting: which, replica } as const;
        sendToReplica(
          work,
          view.address,
          { kind: 'append-entries', entries: posting.facts },
          pending,
        );
      }
    }
  }
};
