/** Rule 13: after a full loss, 90 % of the requests are served from 15 s after the machines return. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 13 in a history. */
export const checkRecoveryAfterLoss: RuleCheck = (history) => {
  const recovery = entriesOf(history, 'fault').find(
    (entry) => entry.label === 'all machines back' || entry.label === 'served again from here',
  );
  if (recovery === undefined) return [];
  const submissions = new Set(
    entriesOf(history, 'asked')
      .filter((entry) => entry.at > recovery.at + 15_000)
      .map((entry) => entry.submission),
  );
  // Requests without a route in the current policy need not be served.
  entriesOf(history, 'got').forEach((entry) => {
    if (entry.status === 404) submissions.delete(entry.submission);
  });
  const servedCount = entriesOf(history, 'got').filter(
    (entry) =>
      submissions.has(entry.submission) &&
      ((entry.status >= 200 && entry.status < 300) || entry.status === 409),
  ).length;
  const requestCount =
    submissions.size +
    entriesOf(history, 'unplaced').filter((entry) => entry.at > recovery.at + 15_000).length;
  return requestCount === 0 || servedCount < 0.9 * requestCount
    ? [
        {
          rule: 13,
          at: recovery.at + 15_000,
          what: `${servedCount} of ${requestCount} served 15 s after the machines returned`,
        },
      ]
    : [];
};
