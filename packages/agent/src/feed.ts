/** What this machine's proxy is told: feeds of what changed, and answers to its claims. */
import { rateOf } from '@reedyard/quota-division';
import type { Purge } from '@reedyard/schemas';
import { propose } from './ballots.js';
import { Changes } from './changes.js';
import { boundsOf, heartbeat, originRows, peerRows, tookMeasure } from './network.js';
import { isUnreachable, mayActFor } from './reachability.js';
import {
  bearsLosses,
  zonesOf,
  planOf,
  policyOf,
  set,
  type AgentState,
  type Work,
} from './state.js';
import {
  feedParts,
  type Feed,
  type FeedPart,
  type FeedTold,
  type Holding,
  type ProxyCall,
  type Report,
  type Revisions,
} from './terms.js';

const purgesAfter = (state: AgentState, seq: number): Feed['purges'] =>
  state.facts.flatMap((fact) =>
    fact.seq > seq && fact.key.startsWith('purge/')
      ? [{ seq: fact.seq, purge: fact.value as Purge }]
      : [],
  );

/**
 * Whether the division has given this node most of its slices; without services there is nothing to
 * divide.
 */
export const isSeated = (state: AgentState): boolean =>
  Object.keys(policyOf(state)?.document.services ?? {}).length === 0 ||
  planOf(state)?.seated.includes(state.self.id) === true;

const slicesOf = (state: AgentState): Feed['slices'] => {
  const plan = planOf(state);
  const rates = Object.entries(boundsOf(state)).map(
    ([name, bound]) => [name, rateOf(plan?.slices[name] ?? {}, state.self.id, bound)] as const,
  );
  return Object.fromEntries(rates);
};

const feed = (state: AgentState, report: Report): Feed => {
  const policy = policyOf(state);
  const isNew = policy !== null && policy.revision !== report.policyRevision;
  return {
    leaseMs: mayActFor(state),
    life: state.life,
    flushes: state.flushes,
    policy: isNew ? { revision: policy.revision, document: policy.document } : null,
    policyRevision: policy?.revision ?? 0,
    origins: originRows(state),
    peers: peerRows(state),
    emptied: zonesOf(state)?.emptied ?? [],
    split: state.split,
    slices: slicesOf(state),
    seated: isSeated(state),
    purges: purgesAfter(state, report.life === state.life ? report.purgeSeq : 0),
    purgeSeq: state.factSeq,
  };
};

type FedParts = Required<AgentState['fedParts']>;

/** The parts of a feed with their revisions; one that changed gets a new one. */
const revisedParts = (before: AgentState['fedParts'], whole: Feed): FedParts => {
  const parts = feedParts.map((part) => {
    const value = whole[part];
    const known = before[part];
    if (known !== undefined && known.value === value) return [part, known] as const;
    const text = JSON.stringify(value);
    if (known !== undefined && known.text === text) return [part, { ...known, value }] as const;
    return [part, { revision: (known?.revision ?? 0) + 1, value, text }] as const;
  });
  return Object.fromEntries(parts) as FedParts;
};

/** The feed without the parts that the proxy holds as they are. */
const feedFor = (work: Work, report: Report, held: Holding | null): FeedTold => {
  const whole = feed(work.state, report);
  const now = revisedParts(work.state.fedParts, whole);
  set(work, { fedParts: now });
  const isHeld = (part: FeedPart): boolean =>
    held?.life === work.state.life && held.revisions[part] === now[part].revision;
  const told = Object.entries(whole).filter(
    ([name]) => now[name as FeedPart] === undefined || !isHeld(name as FeedPart),
  );
  const revisions = Object.fromEntries(
    feedParts.map((part) => [part, now[part].revision]),
  ) as Revisions;
  return { ...(Object.fromEntries(told) as Omit<FeedTold, 'revisions'>), revisions };
};

const tookReport = (work: Work, report: Report): void => {
  const before = work.state.report?.report;
  const isChanged =
    before === undefined ||
    before.proxyLife !== report.proxyLife ||
    before.stopping !== report.stopping;
  set(work, { report: { report, at: work.state.now } });
  if (isChanged) heartbeat(work);
  if (report.measure !== null) tookMeasure(work, report.measure);
};

/** Takes a call of this machine's proxy. */
export const fed = (work: Work, id: number, body: ProxyCall): void => {
  switch (body.kind) {
    case 'feed':
      tookReport(work, body.report);
      work.effects.push({ kind: 'tell', id, body: feedFor(work, body.report, body.held) });
      return;
    case 'claim': {
      if (!bearsLosses(work.state) || isUnreachable(work.state)) {
        work.effects.push({ kind: 'tell', id, body: { kind: 'unreached' } });
        return;
      }
      const change = Changes.claim(body.token, work.state.self.id, body.life, body.digest);
      propose(work, `claim/${body.key}`, change, { kind: 'claim', id });
      return;
    }
    case 'settle':
      propose(work, `claim/${body.key}`, Changes.settle(body.token, body.state), {
        kind: 'settle',
        id,
      });
      return;
  }
};
