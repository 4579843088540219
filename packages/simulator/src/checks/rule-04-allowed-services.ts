/** Rule 4: a request reaches only services that a policy in force allows, also at a reused address. */

import { Routes } from '@reedyard/schemas';
import type { Violation } from '../history.js';
import { entriesOf, policiesDuring, type PolicySpan, routeIn } from './history-queries.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 4 in a history. */
export const checkAllowedServices: RuleCheck = (history) =>
  entriesOf(history, 'attempt').flatMap((entry): readonly Violation[] => {
    const originId = `${entry.service}/${entry.instance}/${entry.incarnation}`;
    if (entry.expected !== originId)
      return [
        { rule: 4, at: entry.at, what: `an attempt for ${entry.expected} reached ${originId}` },
      ];
    const allows = (span: PolicySpan): boolean => {
      const route = routeIn(span, entry);
      const service = span.document.services[entry.service];
      return (
        route !== undefined &&
        Routes.allows(route, entry.service) &&
        service !== undefined &&
        (service.instances === undefined || service.instances.includes(entry.instance)) &&
        (route.methods as readonly string[]).includes(entry.method)
      );
    };
    return policiesDuring(history, entry.at).some(allows)
      ? []
      : [
          {
            rule: 4,
            at: entry.at,
            what: `${entry.method} ${entry.target} reached ${originId}, which no policy in force allows`,
          },
        ];
  });
