/** Rule 14: one request runs at no more origins than its route allows, summed over all nodes. */

import type { Violation } from '../history.js';
import { entriesOf, groupBy, maxOriginsAllowed } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 14 in a history. */
export const checkAttemptBudget: RuleCheck = (history) =>
  [
    ...groupBy(
      entriesOf(history, 'attempt').filter((attempt) => attempt.submission >= 0),
      (attempt) => String(attempt.submission),
    ),
  ].flatMap(([submission, attempts]): readonly Violation[] => {
    const origins = new Set(
      attempts.map((attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`),
    );
    const maxOrigins = maxOriginsAllowed(history, attempts);
    return origins.size > maxOrigins
      ? [
          {
            rule: 14,
            at: attempts.at(-1)?.at ?? 0,
            what: `request ${submission} ran at ${origins.size} origins; ${maxOrigins} are allowed`,
          },
        ]
      : [];
  });
