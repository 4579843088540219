/**
 * Test support: every order of the messages of a few operations, with a bounded number of lost
 * answers and repeated requests. States that were met before, by a digest, are not gone on from.
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

/** Something that a client does, or that befalls a replica; those of one line come in order. */
export type Operation =
  | {
      readonly kind: 'client';
      readonly name: string;
      /** What it does, if it can by now. */
      readonly event: (client: Client, cluster: Cluster) => ClientEvent | null;
    }
  | { readonly kind: 'wipe'; readonly address: string }
  | { readonly kind: 'restart'; readonly address: string };

export type Bounds = {
  /** Answers that may get lost. */
  readonly lost: number;
  /** Requests that may come twice. */
  readonly repeated: number;
  /** Times that replicas which wait for a slot may be woken. */
  readonly beats: number;
  /** Whether answers to replicas that read others are steps of their own. */
  readonly delaysReads?: boolean;
  /**
   * Whether prepares are lost whose attempt needs no more promises, and reads that nobody waits
   * for.
   */
  readonly losesIdleCalls: boolean;
  /** More states than this are not looked at. */
  readonly states: number;
};

export type Search = {
  readonly start: Cluster;
  readonly lines: readonly (readonly Operation[])[];
  readonly bounds: Bounds;
  /** The search ends with the first of these; all if left out. */
  readonly watched?: readonly Invariant[];
};

export type SearchFigures = {
  readonly states: number;
  readonly depth: number;
  /** Whether every state within the bounds was looked at. */
  readonly complete: boolean;
  readonly violation: Violation | null;
  readonly appended: number;
  readonly epochs: number;
};

type Node = {
  readonly cluster: Cluster;
  /** How many operations of each line were begun. */
  readonly begun: readonly number[];
  readonly lost: number;
  readonly repeated: number;
  readonly beats: number;
  readonly depth: number;
};

/** ms between two steps: longer than any wait, so that a beat always asks again. */
const stepMillis = 2_000;

const stepped = (node: Node, change: Partial<Node>): Node => {
  const cluster = node.cluster.fork();
  cluster.step += 1;
  cluster.now += stepMillis;
  return { ...node, ...change, cluster, depth: node.depth + 1 };
};

/** How one message is taken off the network. */
type Delivery = { readonly isLost?: boolean; readonly keep?: boolean };

/** Delivers a request and its answer in one step; the answer may get lost. */
const exchange = (
  node: Node,
  index: number,
  { isLost = false, keep = false }: Delivery,
  delaysReads: boolean,
): Node => {
  const next = stepped(node, {
    lost: node.lost + (isLost ? 1 : 0),
    repeated: node.repeated + (keep ? 1 : 0),
  });
  const { cluster } = next;
  const delivered = cluster.messages[index];
  cluster.deliver(index, keep);
  const answer = cluster.messages.length - 1;
  const isAnswered = delivered?.kind === 'request' && cluster.messages[answer]?.kind === 'reply';
  if (!isAnswered) return next;
  if (isLost) {
    cluster.drop(answer);
    cluster.timeOut(delivered);
  } else if (!delaysReads || delivered.caller.kind === 'client') cluster.deliver(answer);
  return next;
};

const exchanges = (node: Node, bounds: Bounds): readonly Node[] => {
  const deliveries: readonly Delivery[] = [
    {},
    ...(node.lost < bounds.lost ? [{ isLost: true }] : []),
    ...(node.repeated < bounds.repeated ? [{ keep: true }] : []),
  ];
  const delays = bounds.delaysReads === true;
  return node.cluster.messages.flatMap((_, index) =>
    deliveries.map((delivery) => exchange(node, index, delivery, delays)),
  );
};

const waits = ({ running, state }: ModelReplica): boolean =>
  running &&
  !isVotingMember(state) &&
  Object.values(state.committedMembership?.value.disks ?? {}).includes(state.diskId);

const beats = (node: Node, bounds: Bounds): readonly Node[] => {
  if (node.beats >= bounds.beats) return [];
  return Object.values(node.cluster.replicas)
    .filter(waits)
    .map(({ address }) => {
      const next = stepped(node, { beats: node.beats + 1 });
      next.cluster.tellReplica(address, { kind: 'tick', now: next.cluster.now });
      return next;
    });
};

const begin = (node: Node, line: number, operation: Operation): Node | null => {
  const begun = node.begun.map((count, index) => (index === line ? count + 1 : count));
  const next = stepped(node, { begun });
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
  cluster.tellClient(operation.name, event);
  return next;
};

const beginnings = (node: Node, search: Search): readonly Node[] =>
  search.lines.flatMap((line, index) => {
    const operation = line[node.begun[index] ?? 0];
    const next = operation === undefined ? null : begin(node, index, operation);
    return next === null ? [] : [next];
  });

/** Values never change, so what was made of one holds for good. */
const remembered = <Value extends object>(
  textOf: (value: Value) => string,
): ((value: Value) => string) => {
  const texts = new WeakMap<Value, string>();
  return (value) => {
    const known = texts.get(value) ?? textOf(value);
    texts.set(value, known);
    return known;
  };
};

const textOfTold = (told: CommittedMembership | null): string =>
  told === null ? '-' : `${told.value.epoch}@${formatProposalNumber(told.proposalNumber)}`;

const textOfCell = (cell: RegisterState): string => {
  const { promised, accepted } = cell;
  if (accepted === null) return formatProposalNumber(promised);
  const value = accepted.value as { epoch?: number; disks?: unknown } | string;
  const text = typeof value === 'string' ? value : JSON.stringify(value.disks);
  const copied = accepted.copied === true ? ' copied' : '';
  return `${formatProposalNumber(promised)}:${formatProposalNumber(accepted.proposalNumber)}=${text}${copied}`;
};

const textOfState = remembered((state: ReplicaState): string => {
  const cells = [...state.registers].map(([key, cell]) => `${key} ${textOfCell(cell)}`).sort();
  const readings = Object.entries(state.peerReads)
    .map(([name, { state: how, diskId: disk, epoch, requestId: call }]) => [
      name,
      how,
      disk,
      epoch,
      call !== null,
    ])
    .sort();
  return JSON.stringify([
    state.diskId,
    state.hasBegunVoting,
    state.votingEpoch,
    textOfTold(state.committedMembership),
    cells,
    readings,
  ]);
});

const textOfClient = remembered((client: Client): string => {
  const attempts = Object.values(client.attempts).map(({ goal, proposal }) => {
    const promises = Object.entries(proposal.prepareResponses)
      .map(([place, { diskId: disk, vote }]) => [place, disk, JSON.stringify(vote)])
      .sort();
    const { proposalNumber, highestSeen: highest, phase } = proposal;
    const refusedBy = [...proposal.rejectedBy].sort();
    const accepts = [...proposal.acceptedBy].sort();
    return [goal.kind, proposalNumber, highest, phase, refusedBy, promises, accepts];
  });
  const { members, highest, data, views, leaseFrom } = client;
  return JSON.stringify([textOfTold(members), highest, attempts, data, views, leaseFrom]);
});

const textOfCall = remembered(({ purpose, to, body }: ClientCall): string =>
  JSON.stringify([purpose, to, textOfTold(body.membership), body.operation]),
);

/** A call by which a replica reads another counts while the replica waits for its answer. */
const textOfRead = ({ from, to, id }: ReadCall, body: ReplicaRequest, cluster: Cluster): string => {
  const readings = Object.values(cluster.replicas[from]?.state.peerReads ?? {});
  const isAwaited = readings.some(({ requestId: call }) => call === id);
  return `${from} ${isAwaited} ${to} ${textOfTold(body.membership)}`;
};

const textOfMessage = (message: Message, cluster: Cluster): string => {
  if (message.kind === 'reply') return JSON.stringify(message);
  const { caller, body } = message;
  return caller.kind === 'client'
    ? `${caller.name} ${textOfCall(caller.call)}`
    : textOfRead(caller.read, body, cluster);
};

const textOfHistory = remembered((history: History): string => {
  const { accepts, chosen, appended, reads, begun, handedOver } = history;
  const tallies = Object.entries(accepts).map(([name, { disks }]) => `${name} ${disks.join()}`);
  const ballots = chosen.map(
    ({ key, proposalNumber }) => `${key} ${formatProposalNumber(proposalNumber)}`,
  );
  const ids = appended.map(({ id }) => id);
  return JSON.stringify([tallies.sort(), ballots.sort(), ids.sort(), reads, begun, handedOver]);
});

/** Equal for two states that go on alike. */
const digestOf = ({ cluster, begun, lost, repeated, beats: woken }: Node): string => {
  const { replicas, clients, messages, history } = cluster;
  const parts = [
    ...Object.entries(replicas).map(([name, { state }]) => name + textOfState(state)),
    ...Object.values(clients).map(textOfClient),
    ...messages.map((message) => textOfMessage(message, cluster)).sort(),
    textOfHistory(history),
    [...begun, lost, repeated, woken].join(),
  ];
  return createHash('md5').update(parts.join('\n')).digest('base64');
};

const isIdle = (message: Message, cluster: Cluster): boolean => {
  if (message.caller.kind === 'replica') return isIdleRead(message.caller.read, cluster);
  return isIdlePrepare(message, cluster);
};

const isIdleRead = ({ from, id }: ReadCall, { replicas }: Cluster): boolean =>
  !Object.values(replicas[from]?.state.peerReads ?? {}).some(({ requestId: call }) => call === id);

const isIdlePrepare = (message: Message, { clients }: Cluster): boolean => {
  if (message.kind === 'reply' || message.caller.kind === 'replica') return false;
  const { name, call } = message.caller;
  if (call.purpose.kind !== 'vote' || call.purpose.phase === 'accept') return false;
  const proposal = clients[name]?.attempts[call.purpose.attempt]?.proposal;
  const isWanted =
    proposal?.phase === 'prepare' &&
    compareProposalNumbers(proposal.proposalNumber, call.purpose.proposalNumber) === 0;
  return !isWanted;
};

const nextOf = (node: Node, search: Search): readonly Node[] => {
  const { bounds } = search;
  const next = [...beats(node, bounds), ...beginnings(node, search), ...exchanges(node, bounds)];
  if (!bounds.losesIdleCalls) return next;
  for (const { cluster } of next) {
    cluster.messages = cluster.messages.filter((message) => !isIdle(message, cluster));
  }
  return next;
};

/**
 * Looks at every state that the bounds allow, or until an invariant breaks.
 *
 * @example
 * explore(search).violation // null
 */
export const explore = (search: Search): SearchFigures => {
  const { start, lines, bounds, watched } = search;
  const first = { cluster: start, begun: lines.map(() => 0), lost: 0, repeated: 0, beats: 0 };
  const work: Node[] = [{ ...first, depth: 0 }];
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
  for (let node = work.pop(); node !== undefined; node = work.pop()) {
    const digest = digestOf(node);
    if (seen.has(digest)) continue;
    if (seen.size >= bounds.states) return figures(false, null);
    seen.add(digest);
    const { history } = node.cluster;
    depth = Math.max(depth, node.depth);
    appended = Math.max(appended, history.appended.length);
    epochs = Math.max(epochs, Object.keys(history.epochs).length);
    const violation = history.violations.find(
      ({ invariant }) => watched?.includes(invariant) ?? true,
    );
    if (violation !== undefined) return figures(true, violation);
    work.push(...nextOf(node, search));
  }
  return figures(true, null);
};
