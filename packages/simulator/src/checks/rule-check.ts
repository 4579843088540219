/** The type of a check. */
import type { Entry, Violation } from '../history.js';

/** Returns the violations of one rule in a history. */
export type RuleCheck = (history: readonly Entry[]) => readonly Violation[];
