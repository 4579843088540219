import { Limits, Weights } from '@reedyard/gauge';
import { objectKey } from '@reedyard/plumb';
import { Routes } from '@reedyard/stencil';
import type { OriginRow, PartnerRow } from '@reedyard/jig';
import { set, type Bucket, type LatheState, type Transaction, type Work } from './state.js';

const suspect = (state: LatheState, name: string): boolean => (state.suspects[name] ?? 0) > state.now;

export const originName = (row: OriginRow): string => `${row.service}/${row.instance}/${row.incarnation}`;

/** Whether a route's reports may be fetched and kept here. */
export const atHome = (homes: readonly string[] | undefined, region: string): boolean => homes === undefined || homes.includes(region);

/** Partners that may be given this transaction, nearest first. */
export const allowedPartners = (state: LatheState, transaction: Transaction): readonly PartnerRow[] => {
  const tried = new Set(transaction.legs.map((leg) => leg.to.id));
  return (state.feed?.partners ?? []).filter((row) => atHome(transaction.route.homes, row.region) && !tried.has(row.id) && !suspect(state, row.id));
};

/**
 * The draw: this edge's row of the split for the object, over those that may serve it now. Without
 * a row the edge serves itself where it may, or else hands on to the nearest that may.
 */
export const drawServer = (state: LatheState, transaction: Transaction): 'self' | PartnerRow | null => {
  const home = atHome(transaction.route.homes, state.self.region);
  const partners = allowedPartners(state, transaction);
  if (transaction.asked.via !== null) return home ? 'self' : null;
  const split = state.feed?.split ?? {};
  const row = split[objectKey(transaction.route.name, transaction.asked.target)] ?? split[objectKey(transaction.route.name, null)] ?? [];
  const open = row.flatMap(([edge, share]): readonly (readonly ['self' | PartnerRow, number])[] => {
    if (edge === state.self.id) return home ? [['self', share]] : [];
    const partner = partners.find((each) => each.id === edge);
    return partner === undefined ? [] : [[partner, share]];
  });
  let left = (transaction.draws[0] ?? 0) * open.reduce((sum, [, share]) => sum + share, 0);
  for (const [server, share] of open) { left -= share; if (left < 0) return server; }
  const last = open.at(-1);
  if (last !== undefined) return last[0];
  return home ? 'self' : partners[0] ?? null;
};

const most = (rate: number): number => Math.max(1, rate * Weights.burstSeconds);
const filled = (bucket: Bucket, now: number): number =>
  Math.min(most(bucket.rate), bucket.tokens + (bucket.rate * Math.max(0, now - bucket.at)) / 1_000);

/** Takes a token; a bucket begins empty, a changed rate counts only from now on, and a lowered one lets go of what it could not have saved. */
export const takeToken = (work: Work, name: string, rate: number): boolean => {
  if (rate === Infinity) return true;
  const old = work.state.buckets[name] ?? { tokens: 0, at: work.state.now, rate };
  const tokens = Math.min(most(rate), filled(old, work.state.now));
  const taken = tokens >= 1;
  set(work, { buckets: { ...work.state.buckets, [name]: { tokens: taken ? tokens - 1 : tokens, at: work.state.now, rate } } });
  return taken;
};

export const giveBack = (work: Work, name: string): void => {
  const bucket = work.state.buckets[name];
  if (bucket !== undefined) set(work, { buckets: { ...work.state.buckets, [name]: { ...bucket, tokens: bucket.tokens + 1 } } });
};

/** ms until a bucket has its next token; Infinity where it never will. */
export const waitFor = (state: LatheState, name: string, rate: number, ahead: number): number => {
  const bucket = state.buckets[name];
  const tokens = bucket === undefined ? 0 : filled(bucket, state.now);
  if (rate === Infinity) return 0;
  return rate <= 0 ? Infinity : Math.max(0, ((1 + ahead - tokens) / rate) * 1_000);
};

/**
 * Instances for a leg, best first by a weighted draw: those of this region before others, by what
 * they carry and how much is already under way there.
 */
export const rankOrigins = (state: LatheState, transaction: Transaction): readonly OriginRow[] => {
  const tried = new Set(transaction.legs.map((leg) => leg.to.id));
  const rows = (state.feed?.origins ?? []).filter((row) => row.service === Routes.mainService(transaction.route) && atHome(transaction.route.homes, row.region));
  const untried = rows.filter((row) => !tried.has(originName(row)));
  const trusted = untried.filter((row) => !suspect(state, originName(row)));
  // Where every one is suspected, a suspected one is still better than none.
  const pool = trusted.length > 0 ? trusted : untried.length > 0 ? untried : rows;
  const near = pool.filter((row) => row.region === state.self.region);
  const order = (list: readonly OriginRow[]): readonly OriginRow[] => {
    const weights = list.map((row) => row.capacity / (1 + (state.outstanding[originName(row)] ?? 0)) ** 2);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = (transaction.draws[1 + transaction.legs.length] ?? 0.5) * total;
    const index = weights.findIndex((weight) => { left -= weight; return left < 0; });
    const first = list[Math.max(0, index)];
    return first === undefined ? [] : [first, ...list.filter((row) => row !== first)];
  };
  return [...order(near), ...order(pool.filter((row) => row.region !== state.self.region))];
};

export const suspectFor = (work: Work, name: string): void => {
  const suspects = Object.fromEntries(Object.entries(work.state.suspects).filter(([, until]) => until > work.state.now));
  set(work, { suspects: { ...suspects, [name]: work.state.now + Limits.suspicion } });
};

export const earnRepeat = (work: Work): void => set(work, { repeats: Math.min(Weights.repeatSaved, work.state.repeats + Weights.repeatShare) });
