/** Rule 10. A service gets over a tenth above its ceiling in any 5 s; a cold origin over 1.5 times its rate. */

import type { Violation } from '../history.js';
import { entriesOf, type EntryOf, gossipSpreadMs, groupBy } from './history-queries.js';
import { allowedRequestCount, maxRequestCount, overloadedWindows } from './rates.js';
import type { RuleCheck } from './rule-check.js';

/** What broke rule 10 in a history. */
export const checkRateLimits: RuleCheck = (history) => {
  const attempts = entriesOf(history, 'attempt');
  const over = (
    list: readonly EntryOf<'attempt'>[],
    what: string,
    allowed: (from: number, to: number) => number,
    share: number,
  ): readonly Violation[] =>
    overloadedWindows(
      list.map((attempt) => attempt.at),
      allowed,
      share,
    )
      .slice(0, 1)
      .map(({ at, most, limit }) => ({
        rule: 10,
        at,
        what: `${what} got ${most} in 5 s; ${limit.toFixed(0)} are allowed`,
      }));
  const services = [...groupBy(attempts, (attempt) => attempt.service)].flatMap(([service, list]) =>
    over(
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
    over(
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
  const told = groupBy(
    entriesOf(history, 'carries'),
    (entry) => `${entry.service}/${entry.instance}/${entry.incarnation}`,
  );
  const instances = [
    ...groupBy(
      attempts,
      (attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`,
    ),
  ].flatMap(([name, list]) => {
    const words = told.get(name) ?? [];
    const until = (index: number): number => (words[index + 1]?.at ?? Infinity) + gossipSpreadMs;
    return over(
      list,
      name,
      (from, to) =>
        maxRequestCount(
          words.map((word, index) => ({
            from: index === 0 ? -Infinity : word.sentAt,
            until: until(index),
            rate: word.capacity,
          })),
          from,
          to,
        ),
      1.1,
    );
  });
  return [...services, ...cold, ...instances];
};
