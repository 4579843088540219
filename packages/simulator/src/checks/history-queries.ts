/** Queries over a history that the checks share: entries of a kind, and the policies in force. */

import { type Policy, type Route, Routes, type RouteTable } from '@reedyard/schemas';
import type { Entry } from '../history.js';

/** An entry of one kind. */
export type EntryOf<K extends Entry['kind']> = Extract<Entry, { kind: K }>;

/** Returns the entries of one kind, in order. */
export const entriesOf = <K extends Entry['kind']>(
  history: readonly Entry[],
  kind: K,
): readonly EntryOf<K>[] => history.filter((entry): entry is EntryOf<K> => entry.kind === kind);

/** Groups items by a key, in order. */
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
 * How long after an instance announced a lower capacity it may still receive more than that, in
 * milliseconds. The announcement spreads by gossip.
 */
export const gossipSpreadMs = 3_000;

/** How long after its acknowledgement a change may take to be in effect, in milliseconds. */
export const graceMs = 2_000;

/** A policy, and the time span in which a node may act under it. */
export type PolicySpan = {
  readonly from: number;
  readonly until: number;
  readonly document: Policy;
  readonly routes: RouteTable;
  readonly routeByRequest: Map<string, Route | undefined>;
};

/** Returns the route of a request under one policy. The result of the lookup is cached. */
export const routeIn = (
  span: PolicySpan,
  { host, target }: { readonly host: string; readonly target: string },
): Route | undefined => {
  const key = `${host}${target}`;
  if (!span.routeByRequest.has(key))
    span.routeByRequest.set(key, Routes.find(span.routes, host, target));
  return span.routeByRequest.get(key);
};

const spansByHistory = new WeakMap<readonly Entry[], readonly PolicySpan[]>();

/**
 * Returns when each policy may have been in force: from when it was first sent until 2 s after a newer
 * policy was acknowledged. A policy that was never acknowledged may be in force at any time after it
 * was sent.
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
      routeByRequest: new Map(),
    };
  });
  spansByHistory.set(history, spans);
  return spans;
};

/** Returns the policies that may have been in force at some time between two times. */
export const policiesDuring = (
  history: readonly Entry[],
  from: number,
  to: number = from,
): readonly PolicySpan[] =>
  policySpans(history).filter((span) => span.from <= to && span.until >= from);

/**
 * Returns how many origins one request may be sent to: the highest limit of any policy in force while
 * the request was in flight.
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
