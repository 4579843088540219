import test from 'ava';
import { accept, prepare } from './acceptor.js';
import {
  type Change,
  emptyRegister,
  majorityOf,
  type Proposal,
  type ProposalNumber,
  type ProposerAction,
  type RegisterState,
} from './index.js';
import { compareProposalNumbers, zeroProposalNumber } from './proposal-number.js';
import { handleVote, startProposal } from './proposer.js';

const members = ['a', 'b', 'c'];
/** A message in flight, from the proposer with this index. */
type Message = { readonly proposerIndex: 0 | 1; readonly action: ProposerAction };

/** Two proposers, three acceptors and the messages in flight between them. */
type World = {
  readonly registers: Readonly<Record<string, RegisterState>>;
  readonly proposals: readonly [Proposal, Proposal];
  readonly inFlight: readonly Message[];
  readonly chosen: readonly {
    readonly proposalNumber: ProposalNumber;
    readonly value: readonly string[];
  }[];
};

const append =
  (name: string): Change =>
  (current) => {
    const names = (current ?? []) as readonly string[];
    return names.includes(name) ? { kind: 'keep' } : { kind: 'write', value: [...names, name] };
  };

const initialWorld = (): World => {
  const first = startProposal('r', append('x'), members, zeroProposalNumber, 'p');
  const second = startProposal('r', append('y'), members, zeroProposalNumber, 'q');
  return {
    registers: { a: emptyRegister, b: emptyRegister, c: emptyRegister },
    proposals: [first.proposal, second.proposal],
    chosen: [],
    inFlight: [
      ...first.actions.map((action) => ({ proposerIndex: 0, action }) as const),
      ...second.actions.map((action) => ({ proposerIndex: 1, action }) as const),
    ],
  };
};

/** Delivers one message and its vote. A preempted proposer starts one more proposal. */
const deliver = (world: World, index: number): World => {
  const message = world.inFlight[index];
  const rest = world.inFlight.filter((_, other) => other !== index);
  if (
    message === undefined ||
    (message.action.kind !== 'prepare' && message.action.kind !== 'accept')
  )
    return { ...world, inFlight: rest };
  const { action, proposerIndex } = message;
  const register = world.registers[action.to] ?? emptyRegister;
  const outcome =
    action.kind === 'prepare'
      ? prepare(register, action.proposalNumber)
      : accept(register, action.proposalNumber, action.value);
  let transition = handleVote(world.proposals[proposerIndex], {
    member: action.to,
    diskId: `disk-${action.to}`,
    phase: action.kind,
    proposalNumber: action.proposalNumber,
    vote: outcome.vote,
  });
  if (transition.actions.some((action) => action.kind === 'preempted')) {
    transition =
      transition.proposal.proposalNumber.counter > 1
        ? { proposal: { ...transition.proposal, phase: 'done' }, actions: [] }
        : startProposal(
            'r',
            transition.proposal.change,
            members,
            transition.proposal.highestSeen,
            proposerIndex === 0 ? 'p' : 'q',
          );
  }
  const proposals: [Proposal, Proposal] =
    proposerIndex === 0
      ? [transition.proposal, world.proposals[1]]
      : [world.proposals[0], transition.proposal];
  return {
    registers: { ...world.registers, [action.to]: outcome.register },
    proposals,
    inFlight: [
      ...rest,
      ...transition.actions.flatMap((next) =>
        next.kind === 'prepare' || next.kind === 'accept' ? [{ proposerIndex, action: next }] : [],
      ),
    ],
    chosen: [
      ...world.chosen,
      ...transition.actions.flatMap((action) =>
        action.kind === 'chosen' && action.proposalNumber !== null
          ? [{ proposalNumber: action.proposalNumber, value: action.value as readonly string[] }]
          : [],
      ),
    ],
  };
};

/**
 * Whether each chosen value is a prefix of every value chosen under a higher proposal number. (A
 * proposer may learn late that its lower proposal was chosen; this loses nothing.)
 */
const isConsistent = (chosen: World['chosen']): boolean => {
  const ordered = [...chosen].sort((left, right) =>
    compareProposalNumbers(left.proposalNumber, right.proposalNumber),
  );
  return ordered.every(({ value }, index) =>
    ordered
      .slice(index + 1)
      .every((later) => value.every((name, position) => later.value[position] === name)),
  );
};

const keyOf = (world: World): string =>
  JSON.stringify([
    world.registers,
    world.proposals.map(({ change: _change, ...rest }) => rest),
    world.inFlight,
    world.chosen,
  ]);

test('with two proposers and three acceptors no order of any prefix of the messages loses a chosen value', (t) => {
  const visited = new Set<string>();
  let completedOrders = 0;
  const explore = (world: World): void => {
    const key = keyOf(world);
    if (visited.has(key) || visited.size > 60_000) return;
    visited.add(key);
    if (!isConsistent(world.chosen)) t.fail(`lost a chosen value: ${JSON.stringify(world.chosen)}`);
    if (world.inFlight.length === 0) completedOrders += 1;
    world.inFlight.forEach((_, index) => explore(deliver(world, index)));
  };
  explore(initialWorld());
  t.true(visited.size > 20_000);
  t.true(completedOrders > 0);
});

test('with acceptors that forget their promises, the search finds an order that loses a chosen value', (t) => {
  // Proves that the search can fail: these acceptors accept every proposal.
  const withoutPromises = (world: World): World => ({
    ...world,
    registers: Object.fromEntries(
      Object.entries(world.registers).map(([name]) => [name, emptyRegister]),
    ),
  });
  let hasFoundLoss = false;
  const explore = (world: World, depth: number): void => {
    if (hasFoundLoss || depth > 12) return;
    if (!isConsistent(world.chosen)) {
      hasFoundLoss = true;
      return;
    }
    world.inFlight
      .slice(0, 2)
      .forEach((_, index) => explore(withoutPromises(deliver(world, index)), depth + 1));
  };
  explore(initialWorld(), 0);
  t.true(hasFoundLoss);
});

/**
 * Delivers all messages in random orders from a fixed seed; whether any run lost a chosen value.
 */
const findsLoss = (first: World, runs: number): boolean => {
  let seed = 1;
  const randomBelow = (count: number): number => {
    seed = (Math.imul(seed, 1_103_515_245) + 12_345) & 0x7fffffff;
    return Math.floor((seed / 0x80000000) * count);
  };
  return Array.from({ length: runs }).some(() => {
    let world = first;
    while (world.inFlight.length > 0 && isConsistent(world.chosen))
      world = deliver(world, randomBelow(world.inFlight.length));
    return !isConsistent(world.chosen);
  });
};

/** The initial world with every message in flight twice. */
const worldWithDuplicates = (second: string): World => {
  const world = initialWorld();
  const other = startProposal('r', append('y'), members, zeroProposalNumber, second);
  const messages: readonly Message[] = other.actions.map((action) => ({
    proposerIndex: 1,
    action,
  }));
  const inFlight = [
    ...world.inFlight.filter(({ proposerIndex }) => proposerIndex === 0),
    ...messages,
  ];
  return {
    ...world,
    proposals: [world.proposals[0], other.proposal],
    inFlight: [...inFlight, ...inFlight],
  };
};

test('prepares that arrive twice are promised twice, and no chosen value is lost', (t) => {
  t.false(findsLoss(worldWithDuplicates('q'), 20_000));
});

test('if two proposals share one proposal number, the search finds an order that loses a chosen value', (t) => {
  t.true(findsLoss(worldWithDuplicates('p'), 20_000));
});

test('an accept names the disk that promised, so that a vote of another incarnation is recognized', (t) => {
  const first = startProposal('r', append('x'), members, zeroProposalNumber, 'p');
  let proposal = first.proposal;
  let lastActions: readonly ProposerAction[] = [];
  for (const member of ['a', 'b'])
    ({ proposal, actions: lastActions } = handleVote(proposal, {
      member,
      diskId: `life-1-${member}`,
      phase: 'prepare',
      proposalNumber: proposal.proposalNumber,
      vote: { kind: 'yes', accepted: null },
    }));
  t.deepEqual(
    lastActions.map((action) => (action.kind === 'accept' ? action.diskId : action.kind)),
    ['life-1-a', 'life-1-b'],
  );
});

test('a value accepted by only a minority is written again before a read returns it', (t) => {
  const minorityRegister: RegisterState = {
    promised: { counter: 1, proposerId: 'p' },
    accepted: { proposalNumber: { counter: 1, proposerId: 'p' }, value: ['x'] },
  };
  const started = startProposal(
    'r',
    () => ({ kind: 'keep' }),
    members,
    { counter: 1, proposerId: 'p' },
    'q',
  );
  const first = handleVote(started.proposal, {
    member: 'a',
    diskId: 'd',
    phase: 'prepare',
    proposalNumber: started.proposal.proposalNumber,
    vote: {
      kind: 'yes',
      accepted: minorityRegister.accepted,
    },
  });
  const second = handleVote(first.proposal, {
    member: 'b',
    diskId: 'd',
    phase: 'prepare',
    proposalNumber: first.proposal.proposalNumber,
    vote: {
      kind: 'yes',
      accepted: null,
    },
  });
  t.deepEqual(
    second.actions.map((action) => action.kind),
    ['accept', 'accept'],
  );
  t.is(majorityOf(3), 2);
});

test('a late promise is used, so that one rejection by a bare majority does not leave a proposal hanging', (t) => {
  const first = startProposal('r', append('x'), members, zeroProposalNumber, 'p');
  let { proposal } = first;
  let lastActions: readonly ProposerAction[] = [];
  const vote = (member: string, phase: 'prepare' | 'accept', isGranted: boolean): void => {
    const response = isGranted
      ? ({ kind: 'yes', accepted: null } as const)
      : ({ kind: 'no', promised: { counter: 9, proposerId: 'q' } } as const);
    ({ proposal, actions: lastActions } = handleVote(proposal, {
      member,
      diskId: `disk-${member}`,
      phase,
      proposalNumber: proposal.proposalNumber,
      vote: response,
    }));
  };
  vote('a', 'prepare', true);
  vote('b', 'prepare', true);
  vote('a', 'accept', false);
  vote('c', 'prepare', true);
  t.deepEqual(
    lastActions.map((action) => (action.kind === 'accept' ? action.to : action.kind)),
    ['c'],
  );
  vote('b', 'accept', true);
  vote('c', 'accept', true);
  t.deepEqual(
    lastActions.map((action) => action.kind),
    ['chosen'],
  );
});

test('a member that rejects in either phase counts once, and a majority of rejections preempts the proposal', (t) => {
  const first = startProposal('r', append('x'), ['a', 'b', 'c', 'd', 'e'], zeroProposalNumber, 'p');
  let { proposal } = first;
  let lastActions: readonly ProposerAction[] = [];
  const vote = (member: string, phase: 'prepare' | 'accept', isGranted: boolean): void => {
    const response = isGranted
      ? ({ kind: 'yes', accepted: null } as const)
      : ({ kind: 'no', promised: { counter: 9, proposerId: 'q' } } as const);
    ({ proposal, actions: lastActions } = handleVote(proposal, {
      member,
      diskId: `disk-${member}`,
      phase,
      proposalNumber: proposal.proposalNumber,
      vote: response,
    }));
  };
  vote('d', 'prepare', false);
  for (const member of ['a', 'b', 'c']) vote(member, 'prepare', true);
  vote('a', 'accept', false);
  t.deepEqual(lastActions, []);
  vote('b', 'accept', false);
  t.deepEqual(
    lastActions.map((action) => action.kind),
    ['preempted'],
  );
});
