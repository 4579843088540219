/** Attempts of a request: whether there is another one, and whether there is a hedge. */
export {
  type Attempt,
  type AttemptResult,
  consumedAttempts,
  isIdempotentMethod,
  nextMove as decideNextStep,
  type Outcome,
  outcomeOf,
  type RetryDecision,
  type Sent as SendProgress,
  shouldHedge,
} from './attempts.js';
