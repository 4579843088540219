/** Rule 8: an evacuated zone receives no requests more than 5 s after the zone order. */

import type { Violation } from '../history.js';
import { entriesOf, type EntryOf } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 8 in a history. */
export const checkEvacuatedZones: RuleCheck = (history) => {
  const orders = entriesOf(history, 'zone');
  // The order with the highest revision counts, even if an earlier one was acknowledged after it. A
  // zone may be used again from the moment that its restore was sent.
  const evacuatedAt = (zone: string, at: number): number | null => {
    const startedOrders = orders.filter(
      (order) => order.zone === zone && (order.order === 'empty' ? order.at : order.sentAt) <= at,
    );
    const newest = startedOrders.reduce<EntryOf<'zone'> | null>(
      (best, order) => (best === null || order.revision > best.revision ? order : best),
      null,
    );
    return newest !== null && newest.order === 'empty' ? newest.at : null;
  };
  return history.flatMap((entry): readonly Violation[] => {
    if (entry.kind !== 'asked' && entry.kind !== 'attempt' && entry.kind !== 'relay') return [];
    const since = evacuatedAt(entry.zone, entry.at);
    return since !== null && entry.at > since + 5_000
      ? [
          {
            rule: 8,
            at: entry.at,
            what: `${entry.zone} got ${entry.kind === 'asked' ? 'a client request' : entry.kind === 'relay' ? 'a forwarded request' : 'an attempt'} ${Math.round(entry.at - since)} ms after the order`,
          },
        ]
      : [];
  });
};
