/** Checks a recorded history against the rules, and computes the availability that clients saw. */
import { entriesOf } from './checks/history-queries.js';
import { checkNoDoubleExecution } from './checks/rule-01-no-double-execution.js';
import { checkTruthfulRejection } from './checks/rule-02-truthful-rejection.js';
import { checkValidResponses } from './checks/rule-03-valid-responses.js';
import { checkAllowedServices } from './checks/rule-04-allowed-services.js';
import { checkPolicyInForce } from './checks/rule-05-policy-in-force.js';
import { checkNewestPolicyRead } from './checks/rule-06-newest-policy-read.js';
import { checkNoWorkWhileDraining } from './checks/rule-07-no-work-while-draining.js';
import { checkEvacuatedZones } from './checks/rule-08-evacuated-zones.js';
import { checkPurgedObjects } from './checks/rule-09-purged-objects.js';
import { checkRateLimits } from './checks/rule-10-rate-limits.js';
import { checkRetryBudget } from './checks/rule-11-retry-budget.js';
import { checkHomes } from './checks/rule-12-homes.js';
import { checkRecoveryAfterLoss } from './checks/rule-13-recovery-after-loss.js';
import { checkAttemptBudget } from './checks/rule-14-attempt-budget.js';
import type { RuleCheck } from './checks/rule-check.js';
import type { Entry, Violation } from './history.js';

/** The check of each rule, keyed by the number of the rule. */
export const ruleChecks: Readonly<Record<number, RuleCheck>> = {
  1: checkNoDoubleExecution,
  2: checkTruthfulRejection,
  3: checkValidResponses,
  4: checkAllowedServices,
  5: checkPolicyInForce,
  6: checkNewestPolicyRead,
  7: checkNoWorkWhileDraining,
  8: checkEvacuatedZones,
  9: checkPurgedObjects,
  10: checkRateLimits,
  11: checkRetryBudget,
  12: checkHomes,
  13: checkRecoveryAfterLoss,
  14: checkAttemptBudget,
};

/**
 * Returns the entries that are judged after a permanent loss of all state. State from before the loss
 * need not survive, but must not come back either.
 */
const historySinceLoss = (history: readonly Entry[]): readonly Entry[] => {
  const lossIndex = history.findLastIndex(
    (entry) => entry.kind === 'fault' && entry.label === 'all state lost',
  );
  const lostAt = history[lossIndex]?.at ?? 0;
  // Attempts that were in flight to an origin at the moment of the loss belong to the time before.
  return lossIndex < 0
    ? history
    : history.filter(
        (entry, index) =>
          (index >= lossIndex && !(entry.kind === 'attempt' && entry.at < lostAt + 100)) ||
          entry.kind === 'carries',
      );
};

/** Returns the violations of a run, at most three of each rule. */
export const findViolations = (
  history: readonly Entry[],
  rules: readonly number[] = Object.keys(ruleChecks).map(Number),
): readonly Violation[] =>
  rules.flatMap((rule) =>
    (
      ruleChecks[rule]?.([1, 2, 3].includes(rule) ? history : historySinceLoss(history)) ?? []
    ).slice(0, 3),
  );

/**
 * Counts the requests that clients sent between two times, the share of them that was served, and the
 * outcomes of the others.
 */
export const availability = (
  history: readonly Entry[],
  from = 0,
  to = Infinity,
): {
  readonly asked: number;
  readonly share: number;
  readonly rest: Readonly<Record<string, number>>;
} => {
  const submissions = new Set(
    entriesOf(history, 'asked')
      .filter((entry) => entry.at >= from && entry.at < to)
      .map((entry) => entry.submission),
  );
  const results = entriesOf(history, 'got').filter((entry) => submissions.has(entry.submission));
  const rest: Record<string, number> = {};
  let servedCount = 0;
  for (const entry of results) {
    // For a key that was used before, 409 (same request) and 422 (another request) are correct.
    if ((entry.status >= 200 && entry.status < 300) || entry.status === 409 || entry.status === 422)
      servedCount += 1;
    else {
      const outcomeName = `${entry.status} ${entry.outcome}${entry.why === '' ? '' : `: ${entry.why}`}`;
      rest[outcomeName] = (rest[outcomeName] ?? 0) + 1;
    }
  }
  const unplaced = entriesOf(history, 'unplaced').filter(
    (entry) => entry.at >= from && entry.at < to,
  ).length;
  if (unplaced > 0) rest['no ready node'] = unplaced;
  const requestCount = submissions.size + unplaced;
  return { asked: requestCount, share: requestCount === 0 ? 1 : servedCount / requestCount, rest };
};
