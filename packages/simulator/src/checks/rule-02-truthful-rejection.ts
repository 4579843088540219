/** Rule 2. Told that a request was turned away when it actually ran. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 2 in a history. */
export const checkTruthfulRejection: RuleCheck = (history) => {
  const ran = new Set(entriesOf(history, 'ran').map((entry) => entry.submission));
  return entriesOf(history, 'got').flatMap((entry) => {
    if (entry.method === 'POST' && entry.outcome === 'not-run' && ran.has(entry.submission))
      return [
        {
          rule: 2,
          at: entry.at,
          what: `${entry.job} was told not-run (${entry.status}) but ran`,
        },
      ];
    if (entry.status === 503 && entry.outcome !== 'not-run')
      return [{ rule: 2, at: entry.at, what: `a 503 that does not say not-run: ${entry.why}` }];
    return entry.status >= 502 && entry.status <= 504 && !entry.retryAfter
      ? [{ rule: 2, at: entry.at, what: `a ${entry.status} that does not say when to come back` }]
      : [];
  });
};
