/** Rule 3. A success without stamp and whole body, or attached to another request. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 3 in a history. */
export const checkValidResponses: RuleCheck = (history) =>
  entriesOf(history, 'got').flatMap((entry) => {
    if (entry.status < 200 || entry.status > 299) return [];
    const fault = !entry.hasCompleteBody
      ? 'not whole'
      : entry.body === null
        ? 'no body'
        : !entry.stamp.startsWith(`${entry.body.service}/`)
          ? `stamp "${entry.stamp}" on a body of ${entry.body.service}`
          : entry.body.target !== entry.target
            ? `the body of ${entry.body.target}`
            : entry.method === 'POST' && entry.body.job !== entry.job
              ? `the answer to ${entry.body.job}`
              : null;
    return fault === null
      ? []
      : [{ rule: 3, at: entry.at, what: `${entry.method} ${entry.target}: ${fault}` }];
  });
