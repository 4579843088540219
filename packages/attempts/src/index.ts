/** Retry and hedging decisions for the attempts of a request. */
export {
  type Attempt,
  type AttemptResult,
  consumedAttempts,
  decideNextStep,
  isIdempotentMethod,
  type Outcome,
  outcomeOf,
  type RetryDecision,
  type SendProgress,
  shouldHedge,
} from './attempts.js';
