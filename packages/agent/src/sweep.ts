/** Lets go what has lapsed: records of gossip, facts, and claims of long ago. */
import { Map as Table } from 'immutable';
import { Limits } from '@reedyard/constants';
import { Gossip } from '@reedyard/gossip';
import { set, type Work } from './state.js';

/** Lets go facts that are no longer on the replicas' journals, with what is known of their keys. */
const sweepFacts = (work: Work): void => {
  const { now, facts, posted } = work.state;
  const live = facts.filter((fact) => now - fact.at <= Limits.fact);
  if (live.length === facts.length) return;
  const flags = (keys: readonly string[]): Readonly<Record<string, true>> =>
    Object.fromEntries(keys.map((key) => [key, true as const]));
  const keys = live.map((fact) => fact.key);
  set(work, {
    facts: live,
    factKeys: flags(keys),
    posted: flags(keys.filter((key) => posted[key] === true)),
  });
};

/** Begins a new span of claims where the present one is over. */
const sweepClaims = (work: Work): void => {
  const { now, claims, claimsFrom } = work.state;
  if (now - claimsFrom <= Limits.claimSpan) return;
  set(work, { claims: [Table<string, never>(), ...claims.slice(0, -1)], claimsFrom: now });
};

export const sweep = (work: Work): void => {
  set(work, { gossip: Gossip.sweep(work.state.gossip, work.state.now).state });
  sweepFacts(work);
  sweepClaims(work);
};
