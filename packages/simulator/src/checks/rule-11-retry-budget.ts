/** Rule 11: in any 10 s, there are at most 60 retries plus a fifth of the number of requests. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 11 in a history. */
export const checkRetryBudget: RuleCheck = (history) => {
  const requestTimes = entriesOf(history, 'asked').map((entry) => entry.at);
  const retryTimes = entriesOf(history, 'repeat').map((entry) => entry.at);
  let windowStart = 0;
  return retryTimes
    .flatMap((at, index) => {
      while ((retryTimes[windowStart] ?? 0) <= at - 10_000) windowStart += 1;
      const requestCount = requestTimes.filter((time) => time > at - 10_000 && time <= at).length;
      const maxRetries = 0.2 * requestCount + 60;
      return index - windowStart + 1 > maxRetries
        ? [
            {
              rule: 11,
              at,
              what: `${index - windowStart + 1} retries in 10 s for ${requestCount} requests`,
            },
          ]
        : [];
    })
    .slice(0, 5);
};
