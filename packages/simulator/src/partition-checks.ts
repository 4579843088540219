/** Judges how nodes behave that are cut off, and how they return. */
import type { Entry, Violation } from './history.js';

/** Checkers of what holds around a cut, for fleets whose nodes serve on while they are cut off. */

/** ms after a cut until its nodes are in touch again, by the users' rules. */
const reconnectLimitMs = 3_000;
/**
 * ms for which a node must have had a path to a majority before it is wrong about being cut off.
 */
const majorityGraceMs = 2_000;
/** ms of silence after which a caller goes on to another node. */
const clientTimeoutMs = 1_000;

type EntryOf<K extends Entry['kind']> = Extract<Entry, { kind: K }>;
const entriesOf = <K extends Entry['kind']>(
  history: readonly Entry[],
  kind: K,
): readonly EntryOf<K>[] => history.filter((entry): entry is EntryOf<K> => entry.kind === kind);

/** The node whose doing an entry shows, if it is one that binds nodes in touch alone. */
const nodeOf = (entry: Entry): string | null => {
  switch (entry.kind) {
    case 'acted':
    case 'got':
    case 'asked':
    case 'stored':
      return entry.node;
    case 'attempt':
    case 'relay':
      return entry.from;
    default:
      return null;
  }
};

/**
 * The history of the nodes in touch: what a node did from a cut until 3 s after it is left out.
 * Runs of orders stay in, whoever sent them.
 */
export const connectedHistory = (history: readonly Entry[]): readonly Entry[] => {
  const cuts = entriesOf(history, 'cut-off');
  return history.filter((entry) => {
    const node = nodeOf(entry);
    if (node === null) return true;
    const isDuringCut = (cut: EntryOf<'cut-off'>): boolean =>
      cut.node === node && entry.at >= cut.from && entry.at <= cut.at + reconnectLimitMs;
    return !cuts.some(isDuringCut);
  });
};

/** Rules around cuts, numbered after those of the brief. */
const rules = { servedOn: 14, lateAnswer: 15, minority: 16, lateReturn: 17 } as const;

const servedOnInTouch = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'served-on')
    .filter((entry) => entry.majorityReachableMs > majorityGraceMs)
    .map(({ at, node, majorityReachableMs: reachesMs }) => ({
      rule: rules.servedOn,
      at,
      what: `${node} serves on without a lease although it has reached a majority for ${Math.round(reachesMs)} ms`,
    }));

/**
 * A call without any end (status 0) was lost on its way: an agent's own longest wait ends before.
 */
const lateResponses = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'called')
    .filter((call) => call.cutOff && call.isSteady && call.status !== 0)
    .filter((call) => call.at - call.sentAt > clientTimeoutMs)
    .map(({ at, sentAt, node, action }) => ({
      rule: rules.lateAnswer,
      at,
      what: `${node}, cut off, kept ${action} waiting for ${Math.round(at - sentAt)} ms`,
    }));

const confirmedByMinority = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'called')
    .filter((call) => call.cutOff && call.isSteady && call.status === 200)
    .map(({ at, node, action }) => ({
      rule: rules.minority,
      at,
      what: `${node}, cut off, confirmed ${action}`,
    }));

const lateReturns = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'lease-back')
    .filter((entry) => entry.afterMs > reconnectLimitMs)
    .map(({ at, node, afterMs }) => ({
      rule: rules.lateReturn,
      at,
      what: `${node} had a lease only ${Math.round(afterMs)} ms after its cut`,
    }));

/** All that was wrong around cuts, a few of each rule. */
export const findPartitionViolations = (history: readonly Entry[]): readonly Violation[] =>
  [servedOnInTouch, lateResponses, confirmedByMinority, lateReturns].flatMap((check) =>
    check(history).slice(0, 3),
  );
