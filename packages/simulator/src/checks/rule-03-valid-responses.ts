/** Rule 3: a successful response has an origin id and a complete body, and belongs to its request. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 3 in a history. */
export const checkValidResponses: RuleCheck = (history) =>
  entriesOf(history, 'got').flatMap((entry) => {
    if (entry.status < 200 || entry.status > 299) return [];
    const fault = !entry.hasCompleteBody
      ? 'incomplete body'
      : entry.body === null
        ? 'no body'
        : !entry.stamp.startsWith(`${entry.body.service}/`)
          ? `origin id "${entry.stamp}" on a body of ${entry.body.service}`
          : entry.body.target !== entry.target
            ? `body of ${entry.body.target}`
            : entry.method === 'POST' && entry.body.job !== entry.job
              ? `response to ${entry.body.job}`
              : null;
    return fault === null
      ? []
      : [{ rule: 3, at: entry.at, what: `${entry.method} ${entry.target}: ${fault}` }];
  });
