/**
 * Rule 12: an object with home regions is fetched and stored only in home regions of a policy in force.
 */

import type { Route } from '@reedyard/schemas';
import type { Violation } from '../history.js';
import { policiesDuring, routeIn } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 12 in a history. */
export const checkHomes: RuleCheck = (history) =>
  history.flatMap((entry): readonly Violation[] => {
    if (entry.kind !== 'attempt' && entry.kind !== 'stored') return [];
    const routes = policiesDuring(history, entry.at).flatMap((span): readonly Route[] => {
      const route = routeIn(span, entry);
      return route === undefined ? [] : [route];
    });
    // Without a route there are no home regions; rule 4 covers that case.
    if (
      routes.length === 0 ||
      routes.some(({ homes }) => homes === undefined || homes.includes(entry.region))
    )
      return [];
    return [
      {
        rule: 12,
        at: entry.at,
        what: `${entry.target} was ${entry.kind === 'attempt' ? 'fetched' : 'stored'} in ${entry.region}`,
      },
    ];
  });
