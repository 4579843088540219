/** Rule 9. A purged object served 2 s after, or a copy that outlives its life by more than 2 s. */

import type { Violation } from '../history.js';
import { entriesOf, policiesDuring, routeIn } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 9 in a history. */
export const checkPurgedObjects: RuleCheck = (history) => {
  const purges = entriesOf(history, 'purged');
  return entriesOf(history, 'got').flatMap((entry): readonly Violation[] => {
    if (entry.status !== 200 || entry.body === null || entry.method !== 'GET') return [];
    const { body } = entry;
    const violatedPurge = purges.find(
      (purge) =>
        entry.at > purge.at + 2_000 &&
        body.sentAt < purge.purgedFrom &&
        (purge.objects.some((object) => object.endsWith(body.target)) ||
          purge.tags.some((tag) => body.tags.includes(tag))),
    );
    if (violatedPurge !== undefined)
      return [
        {
          rule: 9,
          at: entry.at,
          what: `${body.target} sent at ${Math.round(body.sentAt)} served ${Math.round(entry.at - violatedPurge.at)} ms after its purge`,
        },
      ];
    // A copy lives as long as its origin says, and at most as long as a route in force keeps it.
    const maxAgesMs = policiesDuring(history, entry.at).map((span) => {
      const route = routeIn(span, entry);
      return route === undefined || route.cache.keep === 'never'
        ? 0
        : 1_000 * (route.cache.mostSeconds ?? Infinity);
    });
    const overdueMs =
      entry.at -
      body.madeAt -
      Math.min(body.maxAgeMs, entry.copied ? Math.max(0, ...maxAgesMs) : Infinity);
    return overdueMs > 2_000
      ? [
          {
            rule: 9,
            at: entry.at,
            what: `${body.target} outlived its life by ${Math.round(overdueMs)} ms`,
          },
        ]
      : [];
  });
};
