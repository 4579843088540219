/** Rule 1: no handover confirmation or work order is executed twice. */

import { entriesOf, groupBy } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 1 in a history. */
export const checkNoDoubleExecution: RuleCheck = (history) => [
  ...[...groupBy(entriesOf(history, 'ran'), (entry) => entry.job)].flatMap(([jobId, runs]) =>
    runs.length > 1
      ? [{ rule: 1, at: runs[1]?.at ?? 0, what: `${jobId} ran ${runs.length} times` }]
      : [],
  ),
  ...[
    ...groupBy(
      entriesOf(history, 'ran').filter((entry) => entry.key !== null),
      (entry) => entry.key ?? '',
    ),
  ].flatMap(([key, runs]) =>
    new Set(runs.map((run) => run.job)).size > 1
      ? [
          {
            rule: 1,
            at: runs[1]?.at ?? 0,
            what: `key ${key} ran for ${runs.map((run) => run.job).join(' and ')}`,
          },
        ]
      : [],
  ),
];
