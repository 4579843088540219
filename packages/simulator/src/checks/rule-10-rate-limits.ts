/**
 * Rule 10: in any 5 s, a service or instance receives at most 1.1 times its rate limit or capacity, and
 * an origin in slow start at most 1.5 times its slow-start rate.
 */

import type { Violation } from '../history.js';
import { entriesOf, type EntryOf, gossipSpreadMs, groupBy } from './history-queries.js';
import { allowedRequestCount, maxRequestCount, overloadedWindows } from './rates.js';
import type { RuleCheck } from './rule-check.js';

/** Returns the violations of rule 10 in a history. */
export const checkRateLimits: RuleCheck = (history) => {
  const attempts = entriesOf(history, 'attempt');
  const rateViolations = (
    windowAttempts: readonly EntryOf<'attempt'>[],
    subject: string,
    allowed: (from: number, to: number) => number,
    share: number,
  ): readonly Violation[] =>
    overloadedWindows(
      windowAttempts.map((attempt) => attempt.at),
      allowed,
      share,
    )
      .slice(0, 1)
      .map(({ at, most: count, limit }) => ({
        rule: 10,
        at,
        what: `${subject} got ${count} in 5 s; ${limit.toFixed(0)} are allowed`,
      }));
  const services = [...groupBy(attempts, (attempt) => attempt.service)].flatMap(([service, list]) =>
    rateViolations(
      list,
      service,
      (from, to) =>
        allowedRequestCount(
          history,
          (policy) =>
            policy.services[service] === undefined
              ? 0
              : (policy.services[service]?.ceiling ?? Infinity),
          from,
          to,
        ),
      1.1,
    ),
  );
  const cold = [
    ...groupBy(
      attempts.filter((attempt) => attempt.cold),
      (attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`,
    ),
  ].flatMap(([name, list]) =>
    rateViolations(
      list,
      `cold ${name}`,
      (from, to) =>
        allowedRequestCount(
          history,
          (policy) => {
            const service = policy.services[list[0]?.service ?? ''];
            return service === undefined ? 0 : (service.coldRate ?? Infinity);
          },
          from,
          to,
        ),
      1.5,
    ),
  );
  const capacityReports = groupBy(
    entriesOf(history, 'carries'),
    (entry) => `${entry.service}/${entry.instance}/${entry.incarnation}`,
  );
  const instances = [
    ...groupBy(
      attempts,
      (attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`,
    ),
  ].flatMap(([name, list]) => {
    const reports = capacityReports.get(name) ?? [];
    const until = (index: number): number => (reports[index + 1]?.at ?? Infinity) + gossipSpreadMs;
    return rateViolations(
      list,
      name,
      (from, to) =>
        maxRequestCount(
          reports.map((report, index) => ({
            from: index === 0 ? -Infinity : report.sentAt,
            until: until(index),
            rate: report.capacity,
          })),
          from,
          to,
        ),
      1.1,
    );
  });
  return [...services, ...cold, ...instances];
};
