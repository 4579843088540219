/** Rule 11. Repeats exceed a fifth of traffic plus 60 in any 10 s. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 11 in a history. */
export const checkRetryBudget: RuleCheck = (history) => {
  const asked = entriesOf(history, 'asked').map((entry) => entry.at);
  const repeats = entriesOf(history, 'repeat').map((entry) => entry.at);
  let from = 0;
  return repeats
    .flatMap((at, index) => {
      while ((repeats[from] ?? 0) <= at - 10_000) from += 1;
      const traffic = asked.filter((time) => time > at - 10_000 && time <= at).length;
      const most = 0.2 * traffic + 60;
      return index - from + 1 > most
        ? [{ rule: 11, at, what: `${index - from + 1} repeats in 10 s for ${traffic} requests` }]
        : [];
    })
    .slice(0, 5);
};
