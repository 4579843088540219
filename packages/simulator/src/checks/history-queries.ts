/** What the checks of the rules ask of a history: entries of a kind, and the policies in force. */

import { type Policy, type Route, Routes, type RouteTable } from '@reedyard/schemas';
import type { Entry } from '../history.js';

export type EntryOf<K extends Entry['kind']> = Extract<Entry, { kind: K }>;

export const entriesOf = <K extends Entry['kind']>(
  history: readonly Entry[],
  kind: K,
): readonly EntryOf<K>[] => history.filter((entry): entry is EntryOf<K> => entry.kind === kind);

export const groupBy = <T>(
  items: readonly T[],
  key: (each: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(key(item));
    if (group === undefined) groups.set(key(item), [item]);
    else group.push(item);
  }
  return groups;
};

/**
 * ms from the word of an instance that it carries less until it gets no more than that; the word
 * goes by gossip.
 */
export const gossipSpreadMs = 3_000;

/** ms from an acknowledgement until what it takes away must be gone. */
export const graceMs = 2_000;

/** A policy, and the span in which a node may act under it. */
export type PolicySpan = {
  readonly from: number;
  readonly until: number;
  readonly document: Policy;
  readonly routes: RouteTable;
  readonly found: Map<string, Route | undefined>;
};

/** The route of a request under one policy, looked up once. */
export const routeIn = (
  span: PolicySpan,
  { host, target }: { readonly host: string; readonly target: string },
): Route | undefined => {
  const key = `${host}${target}`;
  if (!span.found.has(key)) span.found.set(key, Routes.find(span.routes, host, target));
  return span.found.get(key);
};

const spansByHistory = new WeakMap<readonly Entry[], readonly PolicySpan[]>();

/**
 * When each policy may have been in force: from its first sending until 2 s after a newer one was
 * acknowledged. One that was never acknowledged may be in force at any time after its sending.
 */
export const policySpans = (history: readonly Entry[]): readonly PolicySpan[] => {
  const cached = spansByHistory.get(history);
  if (cached !== undefined) return cached;
  const puts = entriesOf(history, 'put');
  const spans = entriesOf(history, 'proposed').map((proposed) => {
    const put = puts.find((each) => each.changeId === proposed.changeId);
    const newer =
      put === undefined
        ? []
        : puts.filter((each) => each.revision > put.revision).map((each) => each.at);
    return {
      from: proposed.at,
      until: Math.min(Infinity, ...newer) + graceMs,
      document: proposed.document,
      routes: Routes.table(proposed.document.routes),
      found: new Map(),
    };
  });
  spansByHistory.set(history, spans);
  return spans;
};

export const policiesDuring = (
  history: readonly Entry[],
  from: number,
  to: number = from,
): readonly PolicySpan[] =>
  policySpans(history).filter((span) => span.from <= to && span.until >= from);

/**
 * The most origins that one request may be sent to, by any policy in force while it was under way.
 */
export const maxOriginsAllowed = (
  history: readonly Entry[],
  attempts: readonly EntryOf<'attempt'>[],
): number => {
  const [first, last] = [attempts[0], attempts.at(-1)];
  if (first === undefined || last === undefined) return Infinity;
  return Math.max(
    ...policiesDuring(history, first.at, last.at).map(
      (span) => routeIn(span, first)?.limits.attempts ?? Infinity,
    ),
  );
};
