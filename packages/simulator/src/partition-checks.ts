/** Checks how isolated nodes behave, and how they return after a network partition. */
import type { Entry, Violation } from './history.js';

/** These checks are for fleets whose nodes keep serving while they are isolated. */

/** How long after a partition its nodes may take to be connected again, in milliseconds. */
const reconnectLimitMs = 3_000;
/**
 * How long a node must have had a path to a majority before serving without a lease is a violation,
 * in milliseconds.
 */
const majorityGraceMs = 2_000;
/** How long a client waits for a response before it turns to another node, in milliseconds. */
const clientTimeoutMs = 1_000;

type EntryOf<K extends Entry['kind']> = Extract<Entry, { kind: K }>;
const entriesOf = <K extends Entry['kind']>(
  history: readonly Entry[],
  kind: K,
): readonly EntryOf<K>[] => history.filter((entry): entry is EntryOf<K> => entry.kind === kind);

/**
 * Returns the node whose action an entry records, or null if the entry is judged for isolated nodes
 * too.
 */
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
 * Removes the actions of isolated nodes from a history: those from the start of a cut until 3 s after
 * its end. Executions of requests at origins stay, whichever node sent them.
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

/** Numbers of the rules about network partitions. */
const rules = { servedOn: 14, lateAnswer: 15, minority: 16, lateReturn: 17 } as const;

const servedOnWhileConnected = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'served-on')
    .filter((entry) => entry.majorityReachableMs > majorityGraceMs)
    .map(({ at, node, majorityReachableMs }) => ({
      rule: rules.servedOn,
      at,
      what: `${node} serves without a lease although a majority was reachable for ${Math.round(majorityReachableMs)} ms`,
    }));

/**
 * A call without a reply (status 0) was lost in the network: an agent's own longest timeout is
 * shorter, so that the agent would have replied.
 */
const lateResponses = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'called')
    .filter((call) => call.cutOff && call.isSteady && call.status !== 0)
    .filter((call) => call.at - call.sentAt > clientTimeoutMs)
    .map(({ at, sentAt, node, action }) => ({
      rule: rules.lateAnswer,
      at,
      what: `${node} was isolated and kept ${action} waiting for ${Math.round(at - sentAt)} ms`,
    }));

const confirmedByMinority = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'called')
    .filter((call) => call.cutOff && call.isSteady && call.status === 200)
    .map(({ at, node, action }) => ({
      rule: rules.minority,
      at,
      what: `${node} was isolated and confirmed ${action}`,
    }));

const lateReturns = (history: readonly Entry[]): readonly Violation[] =>
  entriesOf(history, 'lease-back')
    .filter((entry) => entry.afterMs > reconnectLimitMs)
    .map(({ at, node, afterMs }) => ({
      rule: rules.lateReturn,
      at,
      what: `${node} got a lease only ${Math.round(afterMs)} ms after its partition healed`,
    }));

/** Returns the violations of the partition rules, at most three of each rule. */
export const findPartitionViolations = (history: readonly Entry[]): readonly Violation[] =>
  [servedOnWhileConnected, lateResponses, confirmedByMinority, lateReturns].flatMap((check) =>
    check(history).slice(0, 3),
  );
