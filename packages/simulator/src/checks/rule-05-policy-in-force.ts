/** Rule 5. A policy not in force 2 s after it was acknowledged, or a node falls back to an older one. */

import { Routes } from '@reedyard/schemas';
import type { Violation } from '../history.js';
import { entriesOf, policiesDuring, routeIn } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 5 in a history. */
export const checkPolicyInForce: RuleCheck = (history) => {
  const puts = entriesOf(history, 'put');
  const askedAt = new Map(entriesOf(history, 'asked').map((entry) => [entry.submission, entry.at]));
  const highest = new Map<string, number>();
  const lateAnswers = entriesOf(history, 'got').flatMap((entry): readonly Violation[] => {
    const asked = askedAt.get(entry.submission);
    if (entry.status < 200 || entry.status > 299 || asked === undefined) return [];
    const known = policiesDuring(history, asked, entry.at).some((span) => {
      const route = routeIn(span, entry);
      return (
        route !== undefined &&
        Routes.services(route).some(({ service }) => entry.stamp.startsWith(`${service}/`))
      );
    });
    return known
      ? []
      : [
          {
            rule: 5,
            at: entry.at,
            what: `${entry.method} ${entry.target} was answered by ${entry.stamp} although no policy in force since it was asked has such a route`,
          },
        ];
  });
  return [
    ...lateAnswers,
    ...entriesOf(history, 'acted').flatMap((entry) => {
      const due = puts.reduce(
        (best, put) => (put.at <= entry.at - 2_000 ? Math.max(best, put.revision) : best),
        0,
      );
      const before = highest.get(entry.node) ?? 0;
      highest.set(entry.node, Math.max(before, entry.revision));
      if (entry.revision < due)
        return [
          {
            rule: 5,
            at: entry.at,
            what: `${entry.node} acted under ${entry.revision} although ${due} was acknowledged over 2 s before`,
          },
        ];
      return entry.revision < before
        ? [
            {
              rule: 5,
              at: entry.at,
              what: `${entry.node} fell back from ${before} to ${entry.revision}`,
            },
          ]
        : [];
    }),
  ];
};
