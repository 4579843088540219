/** Rule 2: a response that reports a request as not executed is true, and says when to retry. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 2 in a history. */
export const checkTruthfulRejection: RuleCheck = (history) => {
  const ran = new Set(entriesOf(history, 'ran').map((entry) => entry.submission));
  return entriesOf(history, 'got').flatMap((entry) => {
    if (entry.method === 'POST' && entry.outcome === 'not-run' && ran.has(entry.submission))
      return [
        {
          rule: 2,
          at: entry.at,
          what: `${entry.job} got not-run (${entry.status}) but was executed`,
        },
      ];
    if (entry.status === 503 && entry.outcome !== 'not-run')
      return [{ rule: 2, at: entry.at, what: `a 503 without the outcome not-run: ${entry.why}` }];
    return entry.status >= 502 && entry.status <= 504 && !entry.retryAfter
      ? [{ rule: 2, at: entry.at, what: `a ${entry.status} without a Retry-After field` }]
      : [];
  });
};
