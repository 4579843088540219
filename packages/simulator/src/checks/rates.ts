/** Checks a rate in sliding windows against a limit that changes over time. */

import type { Policy } from '@reedyard/schemas';
import type { Entry } from '../history.js';
import { policiesDuring } from './history-queries.js';

/**
 * Returns how many requests are allowed between two times, where each rate limit applies for a span
 * and the highest limit of each moment counts.
 */
export const maxRequestCount = (
  limits: readonly { readonly from: number; readonly until: number; readonly rate: number }[],
  from: number,
  to: number,
): number => {
  const boundaries = [...new Set([from, to, ...limits.flatMap((each) => [each.from, each.until])])]
    .filter((time) => time >= from && time <= to)
    .sort((a, b) => a - b);
  return boundaries.slice(1).reduce((sum, end, index) => {
    const begin = boundaries[index] ?? from;
    return (
      sum +
      (Math.max(
        0,
        ...limits.filter((each) => each.from < end && each.until > begin).map((each) => each.rate),
      ) *
        (end - begin)) /
        1_000
    );
  }, 0);
};

/** Returns how many requests the policies in force between two times allow at most. */
export const allowedRequestCount = (
  history: readonly Entry[],
  rateOf: (policy: Policy) => number,
  from: number,
  to: number,
): number =>
  maxRequestCount(
    policiesDuring(history, from, to).map((span) => ({
      from: span.from,
      until: span.until,
      rate: rateOf(span.document),
    })),
    from,
    to,
  );

/** Returns the windows of 5 s that contain more than `share` times the allowed number of requests. */
export const overloadedWindows = (
  times: readonly number[],
  allowed: (from: number, to: number) => number,
  share: number,
): readonly { readonly at: number; readonly most: number; readonly limit: number }[] => {
  let windowStart = 0;
  return times.flatMap((windowEnd, index) => {
    while ((times[windowStart] ?? 0) <= windowEnd - 5_000) windowStart += 1;
    const count = index - windowStart + 1;
    const limit = share * allowed(windowEnd - 5_000, windowEnd);
    return count > limit ? [{ at: windowEnd, most: count, limit }] : [];
  });
};
