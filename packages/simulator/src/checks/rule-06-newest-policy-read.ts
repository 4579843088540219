/**
 * Rule 6: a read returns no policy older than the newest acknowledged one, and no two acknowledged
 * policies share a revision.
 */

import { entriesOf, groupBy } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 6 in a history. */
export const checkNewestPolicyRead: RuleCheck = (history) => {
  const puts = entriesOf(history, 'put');
  const duplicateRevisions = [...groupBy(puts, (put) => String(put.revision))].flatMap(
    ([revision, putsOfRevision]) =>
      new Set(putsOfRevision.map((put) => JSON.stringify(put.document))).size > 1
        ? [
            {
              rule: 6,
              at: putsOfRevision[1]?.at ?? 0,
              what: `two policies were acknowledged under revision ${revision}`,
            },
          ]
        : [],
  );
  return [
    ...duplicateRevisions,
    ...entriesOf(history, 'read').flatMap((entry) => {
      const minimumRevision = puts.reduce(
        (highestSoFar, put) =>
          put.at <= entry.askedAt ? Math.max(highestSoFar, put.revision) : highestSoFar,
        0,
      );
      return entry.revision < minimumRevision
        ? [
            {
              rule: 6,
              at: entry.at,
              what: `read ${entry.revision} although ${minimumRevision} was acknowledged`,
            },
          ]
        : [];
    }),
  ];
};
