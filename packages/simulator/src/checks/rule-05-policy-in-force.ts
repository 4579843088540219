/**
 * Rule 5: a policy is in force 2 s after it was acknowledged, and no node falls back to an older one.
 */

import { Routes } from '@reedyard/schemas';
import type { Violation } from '../history.js';
import { entriesOf, policiesDuring, routeIn } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 5 in a history. */
export const checkPolicyInForce: RuleCheck = (history) => {
  const puts = entriesOf(history, 'put');
  const requestTimes = new Map(
    entriesOf(history, 'asked').map((entry) => [entry.submission, entry.at]),
  );
  const highestRevisions = new Map<string, number>();
  const staleResponses = entriesOf(history, 'got').flatMap((entry): readonly Violation[] => {
    const requestedAt = requestTimes.get(entry.submission);
    if (entry.status < 200 || entry.status > 299 || requestedAt === undefined) return [];
    const isAllowed = policiesDuring(history, requestedAt, entry.at).some((span) => {
      const route = routeIn(span, entry);
      return (
        route !== undefined &&
        Routes.services(route).some(({ service }) => entry.stamp.startsWith(`${service}/`))
      );
    });
    return isAllowed
      ? []
      : [
          {
            rule: 5,
            at: entry.at,
            what: `${entry.method} ${entry.target} was answered by ${entry.stamp} although no policy in force since the request has such a route`,
          },
        ];
  });
  return [
    ...staleResponses,
    ...entriesOf(history, 'acted').flatMap((entry) => {
      const minimumRevision = puts.reduce(
        (highestSoFar, put) =>
          put.at <= entry.at - 2_000 ? Math.max(highestSoFar, put.revision) : highestSoFar,
        0,
      );
      const previousRevision = highestRevisions.get(entry.node) ?? 0;
      highestRevisions.set(entry.node, Math.max(previousRevision, entry.revision));
      if (entry.revision < minimumRevision)
        return [
          {
            rule: 5,
            at: entry.at,
            what: `${entry.node} acted under ${entry.revision} although ${minimumRevision} was acknowledged more than 2 s before`,
          },
        ];
      return entry.revision < previousRevision
        ? [
            {
              rule: 5,
              at: entry.at,
              what: `${entry.node} fell back from ${previousRevision} to ${entry.revision}`,
            },
          ]
        : [];
    }),
  ];
};
