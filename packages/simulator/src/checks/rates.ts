/** Whether a rate was passed in any window, against a limit that changes with time. */

import type { Policy } from '@reedyard/schemas';
import type { Entry } from '../history.js';
import { policiesDuring } from './history-queries.js';

/**
 * Requests that the highest of some rates, each in force for a span, lets through between two
 * moments.
 */
export const maxRequestCount = (
  list: readonly { readonly from: number; readonly until: number; readonly rate: number }[],
  from: number,
  to: number,
): number => {
  const cuts = [...new Set([from, to, ...list.flatMap((each) => [each.from, each.until])])]
    .filter((at) => at >= from && at <= to)
    .sort((a, b) => a - b);
  return cuts.slice(1).reduce((sum, end, index) => {
    const begin = cuts[index] ?? from;
    return (
      sum +
      (Math.max(
        0,
        ...list.filter((each) => each.from < end && each.until > begin).map((each) => each.rate),
      ) *
        (end - begin)) /
        1_000
    );
  }, 0);
};

/** The most that policies in force between two moments let through, in requests. */
export const allowedRequestCount = (
  history: readonly Entry[],
  of: (policy: Policy) => number,
  from: number,
  to: number,
): number =>
  maxRequestCount(
    policiesDuring(history, from, to).map((span) => ({
      from: span.from,
      until: span.until,
      rate: of(span.document),
    })),
    from,
    to,
  );

/** Windows of 5 s that hold more than `share` of what is allowed in them. */
export const overloadedWindows = (
  times: readonly number[],
  allowed: (from: number, to: number) => number,
  share: number,
): readonly { readonly at: number; readonly most: number; readonly limit: number }[] => {
  let from = 0;
  return times.flatMap((at, index) => {
    while ((times[from] ?? 0) <= at - 5_000) from += 1;
    const most = index - from + 1;
    const limit = share * allowed(at - 5_000, at);
    return most > limit ? [{ at, most, limit }] : [];
  });
};
