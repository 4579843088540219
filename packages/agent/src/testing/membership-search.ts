/**
 * Test support: an exhaustive search over every order of the messages of a few operations, with a
 * bounded number of lost replies and repeated requests. A state whose digest was seen before is not
 * expanded again.
 */
import { createHash } from 'node:crypto';
import {
  compareProposalNumbers,
  formatProposalNumber,
  type RegisterState,
} from '@reedyard/consensus';
import {
  type CommittedMembership,
  isVotingMember,
  type ReplicaRequest,
  type ReplicaState,
} from '@reedyard/replica';
import type { Client, ClientCall, ClientEvent } from './membership-client-types.js';
import { Cluster } from './membership-cluster.js';
import type { History, Invariant, Violation } from './membership-history.js';
import type { Message, ModelReplica, ReadCall } from './membership-network.js';

/** An action of a client or a fault of a replica; the operations of one sequence run in order. */
export type Operation =
  | {
      readonly kind: 'client';
      readonly name: string;
      /** The event for the client, or null if the operation cannot run yet. */
      readonly event: (client: Client, cluster: Cluster) => ClientEvent | null;
    }
  | { readonly kind: 'wipe'; readonly address: string }
  | { readonly kind: 'restart'; readonly address: string };

export type Bounds = {
  /** Maximum number of lost replies. */
  readonly lostReplies: number;
  /** Maximum number of requests that are delivered twice. */
  readonly repeatedRequests: number;
  /** Maximum number of ticks of members that do not vote yet. */
  readonly ticks: number;
  /** Whether replies to replicas that read others are delivered in steps of their own. */
  readonly delaysReads?: boolean;
  /**
   * Whether the network drops prepares whose attempt needs no more promises, and reads that no
   * replica waits for.
   */
  readonly losesIdleCalls: boolean;
  /** Maximum number of states; the search stops there. */
  readonly maxStates: number;
};

export type Search = {
  readonly start: Cluster;
  readonly sequences: readonly (readonly Operation[])[];
  readonly bounds: Bounds;
  /** The search stops at the first violation of one of these invariants; of any if left out. */
  readonly watched?: readonly Invariant[];
};

export type SearchFigures = {
  readonly states: number;
  readonly depth: number;
  /** Whether the search was not stopped by the maximum number of states. */
  readonly complete: boolean;
  readonly violation: Violation | null;
  readonly appended: number;
  readonly epochs: number;
};

type Node = {
  readonly cluster: Cluster;
  /** How many operations of each sequence have begun. */
  readonly begunCounts: readonly number[];
  readonly lostReplies: number;
  readonly repeatedRequests: number;
  readonly ticks: number;
  readonly depth: number;
};

/**
 * The time between two steps, in milliseconds: longer than any retry interval, so that a tick
 * always sends the request again.
 */
const stepMs = 2_000;

const withNextStep = (node: Node, change: Partial<Node>): Node => {
  const cluster = node.cluster.fork();
  cluster.step += 1;
  cluster.now += stepMs;
  return { ...node, ...change, cluster, depth: node.depth + 1 };
};

/**
 * How a message is delivered: whether the reply is lost, and whether a copy of the message stays on
 * the network.
 */
type Delivery = { readonly isLost?: boolean; readonly keepsCopy?: boolean };

/**
 * Delivers a message and, unless reads are delayed, its reply in one step; the reply may be lost.
 */
const exchange = (
  node: Node,
  index: number,
  { isLost = false, keepsCopy = false }: Delivery,
  delaysReads: boolean,
): Node => {
  const next = withNextStep(node, {
    lostReplies: node.lostReplies + (isLost ? 1 : 0),
    repeatedRequests: node.repeatedRequests + (keepsCopy ? 1 : 0),
  });
  const { cluster } = next;
  const delivered = cluster.messages[index];
  cluster.deliver(index, keepsCopy);
  const replyIndex = cluster.messages.length - 1;
  const hasReply = delivered?.kind === 'request' && cluster.messages[replyIndex]?.kind === 'reply';
  if (!hasReply) return next;
  if (isLost) {
    cluster.drop(replyIndex);
    cluster.timeOut(delivered);
  } else if (!delaysReads || delivered.requester.kind === 'client') cluster.deliver(replyIndex);
  return next;
};

const exchangeSteps = (node: Node, bounds: Bounds): readonly Node[] => {
  const deliveries: readonly Delivery[] = [
    {},
    ...(node.lostReplies < bounds.lostReplies ? [{ isLost: true }] : []),
    ...(node.repeatedRequests < bounds.repeatedRequests ? [{ keepsCopy: true }] : []),
  ];
  const delaysReads = bounds.delaysReads === true;
  return node.cluster.messages.flatMap((_, index) =>
    deliveries.map((delivery) => exchange(node, index, delivery, delaysReads)),
  );
};

const isWaitingToVote = ({ isRunning, state }: ModelReplica): boolean =>
  isRunning &&
  !isVotingMember(state) &&
  Object.values(state.committedMembership?.value.disks ?? {}).includes(state.diskId);

const tickSteps = (node: Node, bounds: Bounds): readonly Node[] => {
  if (node.ticks >= bounds.ticks) return [];
  return Object.values(node.cluster.replicas)
    .filter(isWaitingToVote)
    .map(({ address }) => {
      const next = withNextStep(node, { ticks: node.ticks + 1 });
      next.cluster.dispatchToReplica(address, { kind: 'tick', now: next.cluster.now });
      return next;
    });
};

const beginOperation = (node: Node, sequenceIndex: number, operation: Operation): Node | null => {
  const begunCounts = node.begunCounts.map((count, index) =>
    index === sequenceIndex ? count + 1 : count,
  );
  const next = withNextStep(node, { begunCounts });
  const { cluster } = next;
  if (operation.kind === 'wipe') cluster.wipe(operation.address);
  if (operation.kind === 'restart') {
    cluster.stop(operation.address);
    cluster.start(operation.address);
  }
  if (operation.kind !== 'client') return next;
  const client = cluster.clients[operation.name];
  const event = client === undefined ? null : operation.event(client, cluster);
  if (event === null) return null;
  cluster.dispatchToClient(operation.name, event);
  return next;
};

const operationSteps = (node: Node, search: Search): readonly Node[] =>
  search.sequences.flatMap((sequence, index) => {
    const operation = sequence[node.begunCounts[index] ?? 0];
    const next = operation === undefined ? null : beginOperation(node, index, operation);
    return next === null ? [] : [next];
  });

/** Caches the text of each value; the values are immutable, so the text stays valid. */
const memoized = <Value extends object>(
  textOf: (value: Value) => string,
): ((value: Value) => string) => {
  const texts = new WeakMap<Value, string>();
  return (value) => {
    const known = texts.get(value) ?? textOf(value);
    texts.set(value, known);
    return known;
  };
};

const textOfMembership = (committed: CommittedMembership | null): string =>
  committed === null
    ? '-'
    : `${committed.value.epoch}@${formatProposalNumber(committed.proposalNumber)}`;

const textOfRegister = (register: RegisterState): string => {
  const { promised, accepted } = register;
  if (accepted === null) return formatProposalNumber(promised);
  const value = accepted.value as { epoch?: number; disks?: unknown } | string;
  const text = typeof value === 'string' ? value : JSON.stringify(value.disks);
  const copied = accepted.copied === true ? ' copied' : '';
  return `${formatProposalNumber(promised)}:${formatProposalNumber(accepted.proposalNumber)}=${text}${copied}`;
};

const textOfState = memoized((state: ReplicaState): string => {
  const registers = [...state.registers]
    .map(([key, register]) => `${key} ${textOfRegister(register)}`)
    .sort();
  const readings = Object.entries(state.peerReads)
    .map(([name, { state: readState, diskId: disk, epoch, requestId: readRequestId }]) => [
      name,
      readState,
      disk,
      epoch,
      readRequestId !== null,
    ])
    .sort();
  return JSON.stringify([
    state.diskId,
    state.hasBegunVoting,
    state.votingEpoch,
    textOfMembership(state.committedMembership),
    registers,
    readings,
  ]);
});

const textOfClient = memoized((client: Client): string => {
  const attempts = Object.values(client.attempts).map(({ goal, proposal }) => {
    const promises = Object.entries(proposal.prepareResponses)
      .map(([slot, { diskId: disk, vote }]) => [slot, disk, JSON.stringify(vote)])
      .sort();
    const { proposalNumber, highestSeen: highestNumber, phase } = proposal;
    const refusedBy = [...proposal.rejectedBy].sort();
    const accepts = [...proposal.acceptedBy].sort();
    return [goal.kind, proposalNumber, highestNumber, phase, refusedBy, promises, accepts];
  });
  const { members, highestNumber, data, views, leaseStartStep } = client;
  return JSON.stringify([
    textOfMembership(members),
    highestNumber,
    attempts,
    data,
    views,
    leaseStartStep,
  ]);
});

const textOfCall = memoized(({ purpose, to, body }: ClientCall): string =>
  JSON.stringify([purpose, to, textOfMembership(body.membership), body.operation]),
);

/** Describes the read of a replica, including whether the replica still waits for the reply. */
const textOfRead = ({ from, to, id }: ReadCall, body: ReplicaRequest, cluster: Cluster): string => {
  const readings = Object.values(cluster.replicas[from]?.state.peerReads ?? {});
  const isAwaited = readings.some(({ requestId }) => requestId === id);
  return `${from} ${isAwaited} ${to} ${textOfMembership(body.membership)}`;
};

const textOfMessage = (message: Message, cluster: Cluster): string => {
  if (message.kind === 'reply') return JSON.stringify(message);
  const { requester, body } = message;
  return requester.kind === 'client'
    ? `${requester.name} ${textOfCall(requester.call)}`
    : textOfRead(requester.read, body, cluster);
};

const textOfHistory = memoized((history: History): string => {
  const { accepts, chosen, appended, reads, votingEpochs, handedOver } = history;
  const tallies = Object.entries(accepts).map(([name, { disks }]) => `${name} ${disks.join()}`);
  const chosenNumbers = chosen.map(
    ({ key, proposalNumber }) => `${key} ${formatProposalNumber(proposalNumber)}`,
  );
  const ids = appended.map(({ id }) => id);
  return JSON.stringify([
    tallies.sort(),
    chosenNumbers.sort(),
    ids.sort(),
    reads,
    votingEpochs,
    handedOver,
  ]);
});

/** Returns a digest that is equal for two states with the same possible continuations. */
const digestOf = ({ cluster, begunCounts, lostReplies, repeatedRequests, ticks }: Node): string => {
  const { replicas, clients, messages, history } = cluster;
  const parts = [
    ...Object.entries(replicas).map(([name, { state }]) => name + textOfState(state)),
    ...Object.values(clients).map(textOfClient),
    ...messages.map((message) => textOfMessage(message, cluster)).sort(),
    textOfHistory(history),
    [...begunCounts, lostReplies, repeatedRequests, ticks].join(),
  ];
  return createHash('md5').update(parts.join('\n')).digest('base64');
};

const isIdle = (message: Message, cluster: Cluster): boolean => {
  if (message.requester.kind === 'replica') return isIdleRead(message.requester.read, cluster);
  return isIdlePrepare(message, cluster);
};

const isIdleRead = ({ from, id }: ReadCall, { replicas }: Cluster): boolean =>
  !Object.values(replicas[from]?.state.peerReads ?? {}).some(({ requestId }) => requestId === id);

const isIdlePrepare = (message: Message, { clients }: Cluster): boolean => {
  if (message.kind === 'reply' || message.requester.kind === 'replica') return false;
  const { name, call } = message.requester;
  if (call.purpose.kind !== 'vote' || call.purpose.phase === 'accept') return false;
  const proposal = clients[name]?.attempts[call.purpose.attempt]?.proposal;
  const isAwaited =
    proposal?.phase === 'prepare' &&
    compareProposalNumbers(proposal.proposalNumber, call.purpose.proposalNumber) === 0;
  return !isAwaited;
};

const nextNodes = (node: Node, search: Search): readonly Node[] => {
  const { bounds } = search;
  const next = [
    ...tickSteps(node, bounds),
    ...operationSteps(node, search),
    ...exchangeSteps(node, bounds),
  ];
  if (!bounds.losesIdleCalls) return next;
  for (const { cluster } of next) {
    cluster.messages = cluster.messages.filter((message) => !isIdle(message, cluster));
  }
  return next;
};

/**
 * Explores every state that the bounds allow, or until an invariant is violated.
 *
 * @example
 * explore(search).violation // null
 */
export const explore = (search: Search): SearchFigures => {
  const { start, sequences, bounds, watched } = search;
  const first = {
    cluster: start,
    begunCounts: sequences.map(() => 0),
    lostReplies: 0,
    repeatedRequests: 0,
    ticks: 0,
  };
  const pendingNodes: Node[] = [{ ...first, depth: 0 }];
  const seen = new Set<string>();
  let [depth, appended, epochs] = [0, 0, 0];
  const figures = (complete: boolean, violation: Violation | null): SearchFigures => ({
    states: seen.size,
    depth,
    complete,
    violation,
    appended,
    epochs,
  });
  for (let node = pendingNodes.pop(); node !== undefined; node = pendingNodes.pop()) {
    const digest = digestOf(node);
    if (seen.has(digest)) continue;
    if (seen.size >= bounds.maxStates) return figures(false, null);
    seen.add(digest);
    const { history } = node.cluster;
    depth = Math.max(depth, node.depth);
    appended = Math.max(appended, history.appended.length);
    epochs = Math.max(epochs, Object.keys(history.epochs).length);
    const violation = history.violations.find(
      ({ invariant }) => watched?.includes(invariant) ?? true,
    );
    if (violation !== undefined) return figures(true, violation);
    pendingNodes.push(...nextNodes(node, search));
  }
  return figures(true, null);
};
