/** Checks of a soak: what a stop of a machine, an outdated peer or a garbled answer must not cause. */
import {
  entriesOf,
  type EntryOf,
  groupBy,
  policiesDuring,
  routeIn,
} from './checks/history-queries.js';
import type { Entry, Violation } from './history.js';
import { garblingService } from './scenarios/soak-scenarios.js';

/** Numbers of these rules; the rules about partitions come before them. */
const rules = { lostAtStop: 18, refusedInForce: 19, ownEnd: 20 } as const;

/** How long a stopping proxy starts requests, and how long its answers take at most, in milliseconds. */
const servingMs = 1_400;
const shutdownMs = 3_900;

/** How long before a request no unplanned trouble may have been, in milliseconds. */
const calmMs = 3_000;

/** A request and how it ended. */
type Submission = { readonly asked: EntryOf<'asked'>; readonly got: EntryOf<'got'> };

const submissionsOf = (history: readonly Entry[]): readonly Submission[] => {
  const asked = new Map(entriesOf(history, 'asked').map((entry) => [entry.submission, entry]));
  return entriesOf(history, 'got').flatMap((got) => {
    const start = asked.get(got.submission);
    return start === undefined ? [] : [{ asked: start, got }];
  });
};

/** Whether some node was cut off in a time span, or shortly before it. */
const isCalm = (history: readonly Entry[], from: number, to: number): boolean =>
  !entriesOf(history, 'cut-off').some((cut) => cut.from <= to && cut.at >= from - calmMs);

/**
 * Requests to sound origins that were in flight when their machine was asked to stop, or came while it
 * still served, and that ended without the answer of the origin that they were passed on to.
 */
const lostAtStops = (history: readonly Entry[]): readonly Violation[] => {
  const stops = entriesOf(history, 'stopped');
  const attempts = groupBy(entriesOf(history, 'attempt'), ({ submission }) => `${submission}`);
  return submissionsOf(history).flatMap(({ asked, got }) => {
    const stop = stops.find(
      ({ node, at }) =>
        node === got.node &&
        asked.at <= at + servingMs &&
        got.at >= at &&
        got.at <= at + shutdownMs,
    );
    const made = attempts.get(`${got.submission}`) ?? [];
    const isLost = got.status === 0 || got.status === 502 || got.status === 504;
    if (
      stop === undefined ||
      !isLost ||
      made.length === 0 ||
      made.some(({ service }) => service === garblingService) ||
      !isCalm(history, asked.at, got.at)
    )
      return [];
    const afterMs = Math.round(got.at - stop.at);
    return [
      {
        rule: rules.lostAtStop,
        at: got.at,
        what: `${got.method} ${got.target} to ${got.node} ended with ${got.status} ${got.outcome}, ${afterMs} ms after its SIGTERM, in flight for ${Math.round(got.at - asked.at)} ms: ${got.why}`,
      },
    ];
  });
};

/** Requests that were refused with 404 although every policy that may be in force has their route. */
const refusedInForce = (history: readonly Entry[]): readonly Violation[] =>
  submissionsOf(history)
    .filter(({ got }) => got.status === 404)
    .flatMap(({ asked, got }) => {
      const spans = policiesDuring(history, asked.at, got.at);
      const isInForce = spans.length > 0 && spans.every((span) => routeIn(span, got) !== undefined);
      return isInForce
        ? [
            {
              rule: rules.refusedInForce,
              at: got.at,
              what: `${got.node} refused ${got.target} with 404 although its route is in force`,
            },
          ]
        : [];
    });

const ownEnds = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'ended').map(({ at, node, program, how }) => ({
    rule: rules.ownEnd,
    at,
    what: `${program} of ${node} ended by itself: ${how}`,
  }));

/** Returns the violations of the soak's rules, or of the given ones, at most three of each. */
export const findSoakViolations = (
  history: readonly Entry[],
  checkedRules: readonly number[] = Object.values(rules),
): readonly Violation[] =>
  [lostAtStops, refusedInForce, ownEnds]
    .flatMap((check) => check(history).slice(0, 3))
    .filter(({ rule }) => checkedRules.includes(rule));
