import test from 'ava';
import {
  type Change,
  compareProposalNumbers,
  handleVote,
  type Proposal,
  type ProposalNumber,
  type ProposalTransition,
  startProposal,
} from '@reedyard/consensus';
import type { ReplicaEffect, ReplicaEvent } from './events.js';
import {
  type BootstrapSettings,
  type CommittedMembership,
  type Membership,
  membershipKey,
} from './membership.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';
import { openReplica } from './open-replica.js';
import { reduceReplica } from './reducer.js';
import type { ReplicaState } from './state.js';
import type { ReplicaRecord } from './storage/records.js';

// Clusters founded from seeds, in a network where any message may arrive next or get lost.

const seededRandom = (seed: number): (() => number) => {
  let state = seed + 1;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 4_294_967_296;
  };
};
const poll = { kind: 'poll', cursor: null, keys: [] } as const;

/** A request or a reply in flight. */
type Message = {
  readonly to: string;
  readonly from: string;
  readonly id: number;
  readonly request?: ReplicaRequest;
  readonly reply?: ReplicaReply;
};

/** Replicas' reducers with their disks, and the network between them. */
class SimulatedNetwork {
  readonly states = new Map<string, ReplicaState>();
  readonly disks = new Map<string, readonly ReplicaRecord[]>();
  inFlight: readonly Message[] = [];
  now = 0;
  incarnations = 0;
  #requestCount = 0;
  readonly #senders = new Map<string, { from: string; id: number }>();
  /** Receives the replies to clients that are not replicas. */
  onReply: (to: string, id: number, reply: ReplicaReply) => void = () => undefined;
  /** Returns a request as a replica receives it; an injected fault changes its membership. */
  transformRequest: (state: ReplicaState, request: ReplicaRequest) => ReplicaRequest = (
    _state,
    request,
  ) => request;

  open(address: string, bootstrap: Omit<BootstrapSettings, 'address'>): void {
    this.incarnations += 1;
    const opened = openReplica({
      name: address,
      otherFounders: {},
      bootstrap: { address, ...bootstrap },
      records: this.disks.get(address) ?? [],
      newDiskId: `disk-${this.incarnations}`,
      now: this.now,
    });
    this.states.set(address, opened.state);
    this.applyEffects(address, opened.effects);
  }
  close(address: string, isWiped: boolean): void {
    this.states.delete(address);
    if (isWiped) this.disks.delete(address);
  }
  /** Called when a replica begins to vote after reading only its predecessor. */
  onHandover: () => void = () => undefined;
  applyEffects(address: string, effects: readonly ReplicaEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'log' && effect.fields.step === 'handover') this.onHandover();
      if (effect.kind === 'append-records')
        this.disks.set(address, [...(this.disks.get(address) ?? []), ...effect.records]);
      if (effect.kind === 'send-request')
        this.inFlight = [
          ...this.inFlight,
          { to: effect.to, from: address, id: effect.requestId, request: effect.request },
        ];
      if (effect.kind === 'send-reply') {
        const sender = this.#senders.get(`${address}/${effect.requestId}`);
        if (sender !== undefined)
          this.inFlight = [
            ...this.inFlight,
            { to: sender.from, from: address, id: sender.id, reply: effect.reply },
          ];
      }
    }
  }
  step(address: string, event: ReplicaEvent): void {
    const state = this.states.get(address);
    if (state === undefined) return;
    const outcome = reduceReplica(state, event);
    this.states.set(address, outcome.state);
    this.applyEffects(address, outcome.effects);
  }
  deliver(index: number, isLost = false): void {
    const message = this.inFlight[index];
    if (message === undefined) return;
    this.inFlight = this.inFlight.filter((_, other) => other !== index);
    const sender = message.reply === undefined ? message.from : message.to;
    if (isLost || (!this.states.has(message.to) && message.reply === undefined)) {
      this.step(sender, { kind: 'request-failed', requestId: message.id, now: this.now });
      return;
    }
    if (message.reply !== undefined) {
      if (this.states.has(message.to))
        this.step(message.to, {
          kind: 'reply-received',
          requestId: message.id,
          reply: message.reply,
          now: this.now,
        });
      else this.onReply(message.to, message.id, message.reply);
      return;
    }
    this.#requestCount += 1;
    this.#senders.set(`${message.to}/${this.#requestCount}`, {
      from: message.from,
      id: message.id,
    });
    const state = this.states.get(message.to);
    if (message.request !== undefined && state !== undefined)
      this.step(message.to, {
        kind: 'request-received',
        requestId: this.#requestCount,
        request: this.transformRequest(state, message.request),
        now: this.now,
      });
  }
  isVoting(address: string): boolean {
    const state = this.states.get(address);
    return (
      state !== undefined &&
      state.hasBegunVoting &&
      Object.values(state.committedMembership?.value.disks ?? {}).includes(state.diskId)
    );
  }
}

test('three seeds found the same membership in any order of starts and messages, and no other replica founds one', (t) => {
  const seeds = ['a', 'b', 'c'];
  for (let seed = 0; seed < 600; seed += 1) {
    const network = new SimulatedNetwork();
    const random = seededRandom(seed);
    const starts = [...seeds, 'x', 'y'].map((address) => ({
      address,
      startTick: Math.floor(random() * 400),
    }));
    for (let tick = 0; tick < 1_400; tick += 1) {
      network.now += 20;
      for (const start of starts)
        if (start.startTick === tick) network.open(start.address, { seeds, isFirstStart: true });
      const runningAddresses = [...network.states.keys()];
      if (network.inFlight.length === 0 || random() < 0.3)
        network.step(runningAddresses[Math.floor(random() * runningAddresses.length)] ?? '', {
          kind: 'tick',
          now: network.now,
        });
      else
        network.deliver(
          Math.floor(random() * network.inFlight.length),
          random() < (seed % 2) * 0.15,
        );
      if (seeds.some((each) => !network.states.has(each)))
        t.false(
          runningAddresses.some((each) => network.isVoting(each)),
          `seed ${seed}`,
        );
    }
    const memberships = seeds.map((each) => network.states.get(each)?.committedMembership);
    t.true(
      seeds.every((each) => network.isVoting(each)),
      `seed ${seed}`,
    );
    t.is(
      new Set(
        memberships.map((each) =>
          JSON.stringify([
            each?.proposalNumber,
            each?.value.epoch,
            Object.entries(each?.value.disks ?? {}).sort(),
            Object.entries(each?.value.addresses ?? {}).sort(),
          ]),
        ),
      ).size,
      1,
      `seed ${seed}`,
    );
    t.false(network.isVoting('x') || network.isVoting('y'));
  }
});

test('with two seeds all orders of starts, ticks and messages lead to the same membership or to none yet', (t) => {
  type SearchNode = {
    readonly states: ReadonlyMap<string, ReplicaState>;
    readonly inFlight: readonly Message[];
    readonly ticksLeft: Readonly<Record<string, number>>;
  };
  const seeds = ['a', 'b'];
  const visited = new Set<string>();
  const founded = new Set<string>();
  const recordFounded = (states: ReadonlyMap<string, ReplicaState>): void => {
    for (const state of states.values())
      if (state.hasBegunVoting)
        founded.add(
          JSON.stringify([
            state.committedMembership?.proposalNumber,
            state.committedMembership?.value.epoch,
            Object.entries(state.committedMembership?.value.disks ?? {}).sort(),
          ]),
        );
  };
  const stack: SearchNode[] = [{ states: new Map(), inFlight: [], ticksLeft: { a: 3, b: 3 } }];
  for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
    const key = JSON.stringify([
      [...node.states]
        .sort(([x], [y]) => (x < y ? -1 : 1))
        .map(([name, state]) => [
          name,
          state.committedMembership,
          state.hasBegunVoting,
          state.peerReads,
          state.nextRequestId,
        ]),
      node.inFlight,
      node.ticksLeft,
    ]);
    if (visited.has(key)) continue;
    visited.add(key);
    recordFounded(node.states);
    const explore = (
      act: (network: SimulatedNetwork) => void,
      ticksLeft: SearchNode['ticksLeft'] = node.ticksLeft,
    ): void => {
      const network = new SimulatedNetwork();
      node.states.forEach((state, name) => network.states.set(name, state));
      network.inFlight = node.inFlight.filter((message) => message.request !== undefined);
      network.now = 1_000 * (7 - (ticksLeft.a ?? 0) - (ticksLeft.b ?? 0));
      act(network);
      stack.push({ states: network.states, inFlight: network.inFlight, ticksLeft });
    };
    for (const name of seeds) {
      const remainingTicks = node.ticksLeft[name] ?? 0;
      if (!node.states.has(name))
        explore((network) => {
          network.incarnations = name === 'a' ? 0 : 1;
          network.open(name, { seeds, isFirstStart: true });
        });
      else if (remainingTicks > 0)
        explore((network) => network.step(name, { kind: 'tick', now: network.now }), {
          ...node.ticksLeft,
          [name]: remainingTicks - 1,
        });
    }
    // A request and its reply: either may be lost, and ticks and requests of others may intervene.
    node.inFlight.forEach((_, index) => {
      explore((network) => network.deliver(index, true));
      explore((network) => {
        network.deliver(index);
        const replyIndex = network.inFlight.findIndex((message) => message.reply !== undefined);
        if (replyIndex >= 0) network.deliver(replyIndex);
      });
    });
  }
  t.true(visited.size > 200);
  t.is(founded.size, 1, [...founded].join('\n'));
});

const committedMembershipOf = (
  epoch: number,
  disks: Readonly<Record<string, string>>,
  proposalNumber: ProposalNumber = { counter: epoch, proposerId: 'agent' },
): CommittedMembership => ({
  proposalNumber,
  value: {
    epoch,
    disks,
    addresses: Object.fromEntries(Object.keys(disks).map((slot) => [slot, slot])),
  },
});

/** A replica that restarts with the disk of a member of the first membership. */
const openMember = (): {
  sendRequest: (request: ReplicaRequest) => ReplicaReply | undefined;
  state: () => ReplicaState;
  records: () => readonly ReplicaRecord[];
} => {
  const initialMembership = committedMembershipOf(
    1,
    { a: 'A', b: 'B', c: 'C' },
    { counter: 1, proposerId: 'founding' },
  );
  const records: ReplicaRecord[] = [
    { kind: 'disk-named', diskId: 'A' },
    {
      kind: 'register-written',
      key: membershipKey,
      register: { promised: initialMembership.proposalNumber, accepted: initialMembership },
    },
    { kind: 'membership-committed', membership: initialMembership },
    { kind: 'voting-begun' },
  ];
  let state = openReplica({
    name: 'a',
    otherFounders: {},
    bootstrap: { address: 'a', seeds: ['x', 'y', 'z'], isFirstStart: false },
    records,
    newDiskId: 'never',
    now: 0,
  }).state;
  return {
    sendRequest: (request) => {
      const outcome = reduceReplica(state, {
        kind: 'request-received',
        requestId: 1,
        request,
        now: 1,
      });
      state = outcome.state;
      for (const effect of outcome.effects)
        if (effect.kind === 'append-records') records.push(...effect.records);
      return outcome.effects.flatMap((effect) =>
        effect.kind === 'send-reply' ? [effect.reply] : [],
      )[0];
    },
    state: () => state,
    records: () => records,
  };
};
const firstMembership = committedMembershipOf(
  1,
  { a: 'A', b: 'B', c: 'C' },
  { counter: 1, proposerId: 'founding' },
);
const secondMembership = committedMembershipOf(
  2,
  { a: 'A', b: 'B', d: 'D' },
  { counter: 2, proposerId: 'p' },
);

test('a membership that a replica accepted is in force only once the replica knows that it is chosen', (t) => {
  const replica = openMember();
  t.is(
    replica.sendRequest({
      membership: firstMembership,
      operation: {
        kind: 'prepare',
        key: membershipKey,
        proposalNumber: { counter: 2, proposerId: 'p' },
      },
    })?.kind,
    'vote',
  );
  t.is(
    replica.sendRequest({
      membership: firstMembership,
      operation: {
        kind: 'accept',
        key: membershipKey,
        proposalNumber: { counter: 2, proposerId: 'p' },
        value: secondMembership.value,
        diskId: 'A',
      },
    })?.kind,
    'vote',
  );
  t.is(replica.sendRequest({ membership: firstMembership, operation: poll })?.kind, 'polled');
  t.is(replica.sendRequest({ membership: secondMembership, operation: poll })?.kind, 'polled');
  const rejection = replica.sendRequest({ membership: firstMembership, operation: poll });
  t.deepEqual(
    rejection?.kind === 'newer-membership' ? rejection.membership : null,
    secondMembership,
  );
  // Clients that count votes by the previous membership decide nothing more, not even the
  // membership.
  t.is(
    replica.sendRequest({
      membership: firstMembership,
      operation: {
        kind: 'prepare',
        key: membershipKey,
        proposalNumber: { counter: 9, proposerId: 'q' },
      },
    })?.kind,
    'newer-membership',
  );
  t.is(
    replica.sendRequest({
      membership: firstMembership,
      operation: {
        kind: 'accept',
        key: membershipKey,
        proposalNumber: { counter: 9, proposerId: 'q' },
        value: secondMembership.value,
        diskId: 'A',
      },
    })?.kind,
    'newer-membership',
  );
});

test('a later epoch under a lower proposal number is newer, and is not replaced by an earlier epoch', (t) => {
  const replica = openMember();
  const thirdMembership = committedMembershipOf(
    3,
    { a: 'A', d: 'D', e: 'E' },
    { counter: 3, proposerId: 'p' },
  );
  replica.sendRequest({
    membership: { ...secondMembership, proposalNumber: { counter: 9, proposerId: 'q' } },
    operation: poll,
  });
  replica.sendRequest({ membership: thirdMembership, operation: poll });
  t.is(replica.state().committedMembership?.value.epoch, 3);
  replica.sendRequest({
    membership: { ...secondMembership, proposalNumber: { counter: 10, proposerId: 'q' } },
    operation: poll,
  });
  t.is(replica.state().committedMembership?.value.epoch, 3);
  t.is((replica.state().registers.get(membershipKey)?.accepted?.value as Membership).epoch, 3);
});

/** A simplified agent: it knows a chosen membership, and starts proposals by it. */
type SimulatedClient = {
  readonly name: string;
  members: CommittedMembership;
  highestSeen: ProposalNumber;
  proposal: Proposal | null;
  goal: 'count' | 'members';
  proposalCount: number;
};

/**
 * Moves slots between replicas and wipes disks, while clients that know different memberships
 * increment a counter register. Returns all violations (two values chosen for one epoch, or a count
 * returned twice), and how many epochs, counts and handovers there were.
 */
const simulateMembershipChanges = (
  seed: number,
  fault: 'none' | 'members' | 'read',
): readonly string[] => {
  const random = seededRandom(seed);
  const network = new SimulatedNetwork();
  const violations: string[] = [];
  const chosen = new Map<number, string>();
  const returnedCounts = new Set<number>();
  const founders = { a: 'disk-1', b: 'disk-2', c: 'disk-3' };
  const founding = committedMembershipOf(1, founders, { counter: 1, proposerId: 'founding' });
  for (const [slot, disk] of Object.entries(founders)) {
    network.disks.set(slot, [
      { kind: 'disk-named', diskId: disk },
      {
        kind: 'register-written',
        key: membershipKey,
        register: { promised: founding.proposalNumber, accepted: founding },
      },
      { kind: 'membership-committed', membership: founding },
      { kind: 'voting-begun' },
    ]);
  }
  const allAddresses = ['a', 'b', 'c', 'd', 'e', 'f'];
  network.incarnations = 3;
  allAddresses.forEach((address) => network.open(address, { seeds: [], isFirstStart: false }));
  // A replica that is read does not learn the epoch in which the reader joins.
  if (fault === 'read')
    network.transformRequest = (_state, request) =>
      request.operation.kind === 'read-page' ? { ...request, membership: null } : request;
  if (fault === 'members')
    network.transformRequest = (state, request) =>
      state.committedMembership !== null && state.hasBegunVoting && request.membership !== null
        ? { ...request, membership: state.committedMembership }
        : request;
  const clients: SimulatedClient[] = ['p', 'q', 'r'].map((name) => ({
    name,
    members: founding,
    highestSeen: { counter: 1, proposerId: '' },
    proposal: null,
    goal: 'count',
    proposalCount: 0,
  }));
  const requests = new Map<
    string,
    {
      client: SimulatedClient;
      member: string;
      phase: 'prepare' | 'accept';
      proposalNumber: ProposalNumber;
    }
  >();
  let lastRequestId = 0;
  let handovers = 0;
  network.onHandover = () => {
    handovers += 1;
  };
  const send = (
    client: SimulatedClient,
    slot: string,
    operation: ReplicaRequest['operation'],
  ): void => {
    lastRequestId += 1;
    const address = client.members.value.addresses?.[slot] ?? '';
    if (operation.kind === 'prepare' || operation.kind === 'accept')
      requests.set(`${client.name}/${lastRequestId}`, {
        client,
        member: slot,
        phase: operation.kind,
        proposalNumber: operation.proposalNumber,
      });
    network.inFlight = [
      ...network.inFlight,
      {
        to: address,
        from: client.name,
        id: lastRequestId,
        request: { membership: client.members, operation },
      },
    ];
  };
  const adoptMembership = (client: SimulatedClient, next: CommittedMembership): void => {
    if (
      next.value.epoch < client.members.value.epoch ||
      (next.value.epoch === client.members.value.epoch &&
        compareProposalNumbers(next.proposalNumber, client.members.proposalNumber) <= 0)
    )
      return;
    const disks = JSON.stringify(Object.entries(next.value.disks).sort());
    const knownDisks = chosen.get(next.value.epoch);
    if (knownDisks !== undefined && knownDisks !== disks)
      violations.push(`epoch ${next.value.epoch} has two memberships: ${knownDisks} and ${disks}`);
    chosen.set(next.value.epoch, disks);
    client.members = next;
    client.proposal = null;
  };
  const applyTransition = (client: SimulatedClient, transition: ProposalTransition): void => {
    client.proposal = transition.proposal;
    for (const action of transition.actions) {
      if (action.kind === 'prepare')
        send(client, action.to, {
          kind: 'prepare',
          key: transition.proposal.key,
          proposalNumber: action.proposalNumber,
        });
      else if (action.kind === 'accept')
        send(client, action.to, {
          kind: 'accept',
          key: transition.proposal.key,
          proposalNumber: action.proposalNumber,
          value: action.value,
          diskId: action.diskId,
        });
      else {
        if (compareProposalNumbers(transition.proposal.highestSeen, client.highestSeen) > 0)
          client.highestSeen = transition.proposal.highestSeen;
        client.proposal = null;
        if (action.kind !== 'chosen' || action.proposalNumber === null) continue;
        if (client.goal === 'members')
          adoptMembership(client, {
            proposalNumber: action.proposalNumber,
            value: action.value as Membership,
          });
        else if (action.isWrite) {
          const { count, by } = action.value as { count: number; by: string };
          if (by !== `${client.name}/${client.proposalCount}`) continue;
          if (returnedCounts.has(count)) violations.push(`count ${count} was returned twice`);
          returnedCounts.add(count);
        }
      }
    }
  };
  network.onReply = (to, id, reply) => {
    const request = requests.get(`${to}/${id}`);
    const client = clients.find((each) => each.name === to);
    if (client === undefined) return;
    if (reply.kind === 'newer-membership' && reply.membership !== null)
      adoptMembership(client, reply.membership);
    if (
      reply.kind !== 'vote' ||
      request === undefined ||
      client.proposal === null ||
      client.members.value.disks[request.member] !== reply.diskId
    )
      return;
    applyTransition(
      client,
      handleVote(client.proposal, {
        member: request.member,
        diskId: reply.diskId,
        phase: request.phase,
        proposalNumber: request.proposalNumber,
        vote: reply.vote,
      }),
    );
  };
  const startNextProposal = (client: SimulatedClient): void => {
    const { members } = client;
    const slots = Object.keys(members.value.disks);
    const spares = allAddresses.filter(
      (address) => !Object.values(members.value.addresses ?? {}).includes(address),
    );
    const replacedSlot = slots[Math.floor(random() * slots.length)] ?? '';
    const newSlot =
      random() < 0.5 ? replacedSlot : (spares[Math.floor(random() * spares.length)] ?? '');
    const state = network.states.get(newSlot);
    const goal = random() < 0.5 ? 'count' : 'members';
    // Like an agent, a client assigns a slot only to a disk that waits for one.
    if (goal === 'members' && (state === undefined || state.hasBegunVoting)) return;
    client.goal = goal;
    client.proposalCount += 1;
    const by = `${client.name}/${client.proposalCount}`;
    const isGrowing = slots.length < 5 && newSlot !== replacedSlot && random() < 0.3;
    const change: Change =
      client.goal === 'count'
        ? (current) => {
            const counter = current as { count: number; by: string } | null;
            return counter?.by === by
              ? { kind: 'keep' }
              : { kind: 'write', value: { count: (counter?.count ?? 0) + 1, by } };
          }
        : (current) => {
            const currentMembership = current as Membership;
            const disk = state?.diskId ?? '';
            if (currentMembership.epoch !== members.value.epoch) return { kind: 'keep' };
            const remainingDisks = isGrowing
              ? currentMembership.disks
              : Object.fromEntries(
                  Object.entries(currentMembership.disks).filter(([slot]) => slot !== replacedSlot),
                );
            const disks = { ...remainingDisks, [newSlot]: disk };
            const otherPredecessors = Object.entries(currentMembership.predecessors ?? {}).filter(
              ([slot]) => slot !== replacedSlot && slot !== newSlot,
            );
            const predecessor = {
              disk: currentMembership.disks[replacedSlot] ?? '',
              address: replacedSlot,
            };
            const predecessors = Object.fromEntries(
              isGrowing || newSlot === replacedSlot
                ? otherPredecessors
                : [...otherPredecessors, [newSlot, predecessor]],
            );
            return {
              kind: 'write',
              value: {
                epoch: currentMembership.epoch + 1,
                disks,
                addresses: Object.fromEntries(Object.keys(disks).map((slot) => [slot, slot])),
                predecessors,
              },
            };
          };
    const transition = startProposal(
      client.goal === 'count' ? 'count' : membershipKey,
      change,
      slots,
      client.highestSeen,
      client.name,
    );
    client.highestSeen = transition.proposal.proposalNumber;
    applyTransition(client, transition);
  };
  for (let tick = 0; tick < 2_500; tick += 1) {
    network.now += 20;
    const choice = random();
    const runningAddresses = allAddresses.filter((each) => network.states.has(each));
    if (choice < 0.04) {
      const client = clients[Math.floor(random() * clients.length)];
      if (client !== undefined) startNextProposal(client);
    } else if (choice < 0.045) {
      // Restarts a replica, and wipes its disk if a majority of the members can still be read.
      const address = allAddresses[Math.floor(random() * allAddresses.length)] ?? '';
      const newest = [...network.states.values()]
        .map((state) => state.committedMembership)
        .reduce(
          (newestSoFar, membership) =>
            membership !== null &&
            (newestSoFar === null || membership.value.epoch > newestSoFar.value.epoch)
              ? membership
              : newestSoFar,
          null,
        );
      const slots = Object.entries(newest?.value.disks ?? {});
      const readableMemberCount = slots.filter(([slot, disk]) => {
        const state = network.states.get(slot);
        return (
          slot !== address && state !== undefined && state.diskId === disk && state.hasBegunVoting
        );
      }).length;
      network.close(address, readableMemberCount >= Math.floor(slots.length / 2) + 1);
      network.open(address, { seeds: [], isFirstStart: false });
    } else if (choice < 0.25 || network.inFlight.length === 0) {
      network.step(runningAddresses[Math.floor(random() * runningAddresses.length)] ?? '', {
        kind: 'tick',
        now: network.now,
      });
      const client = clients[Math.floor(random() * clients.length)];
      if (client !== undefined && random() < 0.3) {
        const slots = Object.keys(client.members.value.disks);
        send(client, slots[Math.floor(random() * slots.length)] ?? '', poll);
      }
    } else network.deliver(Math.floor(random() ** 2 * network.inFlight.length), random() < 0.05);
    if (network.inFlight.length > 60) network.inFlight = network.inFlight.slice(1);
  }
  return [
    ...violations,
    `epochs ${chosen.size}`,
    `counts ${returnedCounts.size}`,
    `handovers ${handovers}`,
  ];
};
const violationsOf = (report: readonly string[]): readonly string[] =>
  report.filter((line) => !/^(epochs|counts|handovers) /.test(line));
const countOf = (report: readonly string[], label: string): number =>
  Number(report.find((line) => line.startsWith(`${label} `))?.slice(label.length + 1) ?? 0);

test('while slots move and disks are wiped, clients that know different memberships see one value per epoch and no count twice', (t) => {
  let [epochs, counts, handovers] = [0, 0, 0];
  for (let seed = 0; seed < 400; seed += 1) {
    const report = simulateMembershipChanges(seed, 'none');
    t.deepEqual(violationsOf(report), [], `seed ${seed}`);
    epochs += countOf(report, 'epochs');
    counts += countOf(report, 'counts');
    handovers += countOf(report, 'handovers');
  }
  t.true(
    epochs > 1_200 && counts > 2_000 && handovers > 50,
    `${epochs} epochs, ${counts} counts, ${handovers} handovers`,
  );
  t.log(`${epochs} epochs, ${counts} counts, ${handovers} handovers`);
});

test('if replicas ignore the membership by which a client counts votes, some run violates the invariants', (t) => {
  t.true(
    Array.from({ length: 400 }, (_, seed) => seed).some(
      (seed) => violationsOf(simulateMembershipChanges(seed, 'members')).length > 0,
    ),
  );
});

test('if replicas that are read do not learn the epoch in which the reader joins, some run violates the invariants', (t) => {
  t.true(
    Array.from({ length: 400 }, (_, seed) => seed).some(
      (seed) => violationsOf(simulateMembershipChanges(seed, 'read')).length > 0,
    ),
  );
});
