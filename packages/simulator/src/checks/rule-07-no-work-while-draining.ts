/** Rule 7: a draining origin receives no new requests more than 2 s after its notice. */

import { entriesOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 7 in a history. */
export const checkNoWorkWhileDraining: RuleCheck = (history) => {
  const notices = entriesOf(history, 'drained');
  return entriesOf(history, 'attempt').flatMap((entry) => {
    const notice = notices.find(
      (each) =>
        each.instance === entry.instance &&
        each.incarnation === entry.incarnation &&
        entry.at > each.at + 2_000,
    );
    return notice === undefined
      ? []
      : [
          {
            rule: 7,
            at: entry.at,
            what: `${entry.instance} got a request ${Math.round(entry.at - notice.at)} ms after its drain notice`,
          },
        ];
  });
};
