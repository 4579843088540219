import { Sizes } from '@reedyard/constants';
import type { ReplicaReply, Cursor, Fact } from './messages.js';
import { set, type ReplicaState, type Kept, type Work } from './state.js';

/** The journal: entries written once, read by each agent from its cursor on. */

export const keepFacts = (work: Work, facts: readonly Fact[], now: number): void => {
  const added: Kept[] = [];
  let keys = work.state.factKeys;
  let seq = work.state.seq;
  for (const fact of facts) {
    if (keys.has(fact.key)) continue;
    seq += 1;
    keys = keys.set(fact.key, seq);
    added.push({ key: fact.key, value: fact.value, seq, at: now });
  }
  if (added.length === 0) return;
  set(work, { facts: [...work.state.facts, ...added], factKeys: keys, seq });
  work.effects.push({
    kind: 'append',
    records: added.map((kept) => ({
      kind: 'fact',
      seq: kept.seq,
      fact: { key: kept.key, value: kept.value },
    })),
  });
};

export const pulled = (
  state: ReplicaState,
  cursor: Cursor | null,
  keys: readonly string[],
): ReplicaReply => {
  const known =
    cursor !== null &&
    cursor.disk === state.disk &&
    cursor.seq >= state.floor &&
    cursor.seq <= state.seq
      ? cursor.seq
      : null;
  const from = known ?? state.floor;
  const fresh = state.facts.filter((fact) => fact.seq > from);
  const facts = fresh.slice(0, Sizes.purges);
  const ballots = Object.fromEntries(
    keys.flatMap((key) => {
      const accepted = state.cells.get(key)?.accepted;
      return accepted ? [[key, accepted.ballot]] : [];
    }),
  );
  const copied = keys.filter((key) => state.cells.get(key)?.accepted?.copied === true);
  return {
    kind: 'pulled',
    disk: state.disk,
    seq: facts.at(-1)?.seq ?? Math.max(from, known ?? state.seq),
    reset: cursor !== null && known === null,
    more: facts.length < fresh.length,
    facts: facts.map(({ key, value }) => ({ key, value })),
    ballots,
    ...(copied.length === 0 ? {} : { copied }),
    ...(state.stopAskedAt === null ? {} : { leaving: true as const }),
  };
};
