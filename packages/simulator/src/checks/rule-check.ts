/** What a check of a rule is. */
import type { Entry, Violation } from '../history.js';

/** Finds in a history what broke a rule. */
export type RuleCheck = (history: readonly Entry[]) => readonly Violation[];
