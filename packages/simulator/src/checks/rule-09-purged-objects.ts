/**
 * Rule 9: a purged object is not served later than 2 s after its purge, and a cached response is not
 * served later than 2 s after it expired.
 */

import type { Violation } from '../history.js';
import { entriesOf, policiesDuring, routeIn } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 9 in a history. */
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
    // A response is fresh for as long as its origin states; a cached one at most for as long as a
    // route in force allows.
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
            what: `${body.target} was served ${Math.round(overdueMs)} ms after it expired`,
          },
        ]
      : [];
  });
};
