/** Rule 6. The policy read back is older than the newest acknowledged one; and two acknowledged ones never share a revision. */

import { entriesOf, groupBy } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 6 in a history. */
export const checkNewestPolicyRead: RuleCheck = (history) => {
  const puts = entriesOf(history, 'put');
  const twins = [...groupBy(puts, (put) => String(put.revision))].flatMap(([revision, list]) =>
    new Set(list.map((put) => JSON.stringify(put.document))).size > 1
      ? [
          {
            rule: 6,
            at: list[1]?.at ?? 0,
            what: `two policies were acknowledged under revision ${revision}`,
          },
        ]
      : [],
  );
  return [
    ...twins,
    ...entriesOf(history, 'read').flatMap((entry) => {
      const due = puts.reduce(
        (best, put) => (put.at <= entry.askedAt ? Math.max(best, put.revision) : best),
        0,
      );
      return entry.revision < due
        ? [
            {
              rule: 6,
              at: entry.at,
              what: `read ${entry.revision} although ${due} was acknowledged`,
            },
          ]
        : [];
    }),
  ];
};
