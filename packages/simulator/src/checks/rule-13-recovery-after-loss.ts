/** Rule 13. After a full loss little is served 15 s after the machines return. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 13 in a history. */
export const checkRecoveryAfterLoss: RuleCheck = (history) => {
  const back = entriesOf(history, 'fault').find(
    (entry) => entry.label === 'all machines back' || entry.label === 'served again from here',
  );
  if (back === undefined) return [];
  const asked = new Set(
    entriesOf(history, 'asked')
      .filter((entry) => entry.at > back.at + 15_000)
      .map((entry) => entry.submission),
  );
  // What the policy now has no route for is not to be served.
  entriesOf(history, 'got').forEach((entry) => {
    if (entry.status === 404) asked.delete(entry.submission);
  });
  const good = entriesOf(history, 'got').filter(
    (entry) =>
      asked.has(entry.submission) &&
      ((entry.status >= 200 && entry.status < 300) || entry.status === 409),
  ).length;
  const all =
    asked.size +
    entriesOf(history, 'unplaced').filter((entry) => entry.at > back.at + 15_000).length;
  return all === 0 || good < 0.9 * all
    ? [
        {
          rule: 13,
          at: back.at + 15_000,
          what: `${good} of ${all} served 15 s after the machines returned`,
        },
      ]
    : [];
};
