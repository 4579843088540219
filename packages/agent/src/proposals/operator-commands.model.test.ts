/**
 * Every order of steps of a bounded number of orders: what is sent, read, proposed, chosen,
 * outvoted, answered, lost and sent again. A register is taken as atomic here: that proposals make
 * it so is shown by the tests of the consensus.
 */
import test from 'ava';
import { type Policy, Schemas } from '@reedyard/schemas';
import { zonesValueOf } from '../control/registers.js';
import type { PolicyRegister } from '../messages.js';
import { putPolicyChange, type RegisterChange, zoneOrderChange } from './changes.js';

/**
 * What an operator wants, and how it is changed into a change of the register; each attempt has an
 * id of its own.
 */
type Order = { readonly operator: string; readonly change: (id: string) => RegisterChange };

/** One attempt, at whichever node: independent of the others but for the register. */
type Attempt = {
  readonly order: number;
  readonly id: string;
  readonly phase: 'proposing' | 'accepting' | 'answered' | 'ended';
  readonly answer: 'acknowledged' | 'refused' | null;
  readonly isCallerGone: boolean;
  readonly firstRead: { readonly value: unknown } | null;
  /** Chosen changes at the time of the first reading. */
  readonly firstReadAt: number | null;
  /** The revision that its accept is based on, and what it proposes. */
  readonly base: number;
  readonly proposed: unknown;
};

type World = {
  readonly revision: number;
  readonly value: unknown;
  /** Attempts whose change was chosen, in order. */
  readonly chosen: readonly string[];
  readonly attempts: readonly Attempt[];
  /** For each order, how it ended for its operator. */
  readonly ends: readonly ('acknowledged' | 'refused' | 'given-up' | null)[];
  readonly lastAcknowledged: number | null;
};

type Model = {
  readonly orders: readonly Order[];
  /** Orders that are sent only after the one before them has ended. */
  readonly isSequential: boolean;
  readonly attemptsEach: number;
  /** Whether nodes notice at once that a caller is gone. */
  readonly noticesLeaving: boolean;
  /** Whether a change is told what it first read. */
  readonly isFenced: boolean;
};

const sendAttempt = (world: World, order: number): World => {
  const id = `${order}.${world.attempts.filter((each) => each.order === order).length}`;
  const attempt: Attempt = {
    order,
    id,
    phase: 'proposing',
    answer: null,
    isCallerGone: false,
    firstRead: null,
    firstReadAt: null,
    base: 0,
    proposed: null,
  };
  return { ...world, attempts: [...world.attempts, attempt] };
};

const withAttempt = (world: World, index: number, part: Partial<Attempt>): World => ({
  ...world,
  attempts: world.attempts.map((each, at) => (at === index ? { ...each, ...part } : each)),
});

const choose = (world: World, index: number): World => {
  const attempt = world.attempts[index];
  return {
    ...world,
    revision: world.revision + 1,
    value: attempt.proposed,
    chosen: [...world.chosen, attempt.id],
  };
};

/** A proposal reads the register and applies the change. */
const read = (model: Model, world: World, index: number): World => {
  const attempt = world.attempts[index];
  const order = model.orders[attempt.order];
  const { firstRead } = attempt;
  const reading =
    firstRead === null || !model.isFenced
      ? undefined
      : { first: firstRead.value, now: world.value };
  const changed = order.change(attempt.id)(world.value, reading);
  const noted = {
    firstRead: firstRead ?? { value: world.value },
    firstReadAt: attempt.firstReadAt ?? world.revision,
  };
  if (changed.kind === 'write') {
    return withAttempt(world, index, {
      ...noted,
      phase: 'accepting',
      base: world.revision,
      proposed: changed.value,
    });
  }
  const answer = changed.kind === 'keep' ? 'acknowledged' : 'refused';
  return withAttempt(world, index, { ...noted, phase: 'answered', answer });
};

/** The steps of an attempt inside its node. */
const nodeSteps = (model: Model, world: World, index: number): readonly World[] => {
  const attempt = world.attempts[index];
  if (attempt.phase === 'proposing') return [read(model, world, index)];
  if (attempt.phase !== 'accepting') return [];
  // A gone caller's change gets no further proposal, where that was noticed.
  const again = attempt.isCallerGone && model.noticesLeaving ? 'ended' : 'proposing';
  if (attempt.base !== world.revision) return [withAttempt(world, index, { phase: again })];
  const chosen = choose(world, index);
  return [
    withAttempt(chosen, index, { phase: 'answered', answer: 'acknowledged' }),
    // Chosen, but the votes are lost: the node proposes it again.
    withAttempt(chosen, index, { phase: again }),
    // The accepts are lost.
    withAttempt(world, index, { phase: again }),
  ];
};

const endOrder = (
  world: World,
  order: number,
  end: 'acknowledged' | 'refused' | 'given-up',
): World => ({
  ...world,
  ends: world.ends.map((each, at) => (at === order ? end : each)),
  lastAcknowledged: end === 'acknowledged' ? order : world.lastAcknowledged,
});

/**
 * The steps of an attempt's caller: it takes the answer, or leaves and sends the order again, or
 * gives it up.
 */
const callerSteps = (model: Model, world: World, index: number): readonly World[] => {
  const attempt = world.attempts[index];
  if (attempt.isCallerGone || world.ends[attempt.order] !== null) return [];
  const taken =
    attempt.phase === 'answered' && attempt.answer !== null
      ? [
          endOrder(
            withAttempt(world, index, { phase: 'ended', isCallerGone: true }),
            attempt.order,
            attempt.answer,
          ),
        ]
      : [];
  const isDropped =
    attempt.phase === 'answered' || (model.noticesLeaving && attempt.phase === 'proposing');
  const left = withAttempt(world, index, {
    isCallerGone: true,
    ...(isDropped ? { phase: 'ended' as const } : {}),
  });
  const sent = world.attempts.filter((each) => each.order === attempt.order).length;
  const next =
    sent < model.attemptsEach
      ? sendAttempt(left, attempt.order)
      : endOrder(left, attempt.order, 'given-up');
  return [...taken, next];
};

const startSteps = (model: Model, world: World): readonly World[] =>
  model.orders.flatMap((_, order) => {
    const isSent = world.attempts.some((each) => each.order === order);
    const isDue = !model.isSequential || order === 0 || world.ends[order - 1] !== null;
    return isSent || !isDue ? [] : [sendAttempt(world, order)];
  });

const stepsOf = (model: Model, world: World): readonly World[] => [
  ...startSteps(model, world),
  ...world.attempts.flatMap((_, index) => [
    ...nodeSteps(model, world, index),
    ...callerSteps(model, world, index),
  ]),
];

/** Walks all worlds; tells how many there are, and what an invariant found wrong. */
const walk = (
  model: Model,
  wrongIn: (world: World, before: World | null) => string | null,
): { readonly worlds: number; readonly wrongs: ReadonlySet<string> } => {
  const seen = new Set<string>();
  const wrongs = new Set<string>();
  const first: World = {
    revision: 0,
    value: null,
    chosen: [],
    attempts: [],
    ends: model.orders.map(() => null),
    lastAcknowledged: null,
  };
  const open: { readonly world: World; readonly before: World | null }[] = [
    { world: first, before: null },
  ];
  for (let next = open.pop(); next !== undefined; next = open.pop()) {
    const { world, before } = next;
    const wrong = wrongIn(world, before);
    if (wrong !== null) wrongs.add(wrong);
    const key = JSON.stringify(world);
    if (seen.has(key)) continue;
    seen.add(key);
    for (const after of stepsOf(model, world)) open.push({ world: after, before: world });
  }
  return { worlds: seen.size, wrongs };
};

// Configurations ----------------------------------------------------------------------------------

const document = (version: number, content: string): Policy =>
  Schemas.policy({ version, services: {}, routes: [], notes: { content } });

type PolicyChange = (document: Policy, id: string) => RegisterChange;
const sound: PolicyChange = (sent, changeId) =>
  putPolicyChange({ document: sent, ifMatch: null, changeId, expiredPolicyRevision: 0 });
/** The fault: whatever is not above the version held is acknowledged. */
const keepsAnyContent: PolicyChange = (sent, id) => (current) => {
  const held = (current as PolicyRegister | null)?.document.version ?? -1;
  return sent.version !== undefined && sent.version <= held
    ? { kind: 'keep' }
    : sound(sent, id)(current);
};

const policyModel = (sent: readonly Policy[], change: PolicyChange): Model => ({
  orders: sent.map((each, index) => ({
    operator: `operator-${index}`,
    change: (id) => change(each, id),
  })),
  isSequential: false,
  attemptsEach: 2,
  noticesLeaving: false,
  isFenced: true,
});

const heldIn = (world: World): Policy | null =>
  (world.value as PolicyRegister | null)?.document ?? null;

const wrongPolicy =
  (sent: readonly Policy[]) =>
  (world: World, before: World | null): string | null => {
    const held = heldIn(world);
    for (const [order, end] of world.ends.entries()) {
      const mine = sent[order];
      const [version, content] = [mine.version ?? 0, mine.notes?.content];
      const heldVersion = held?.version ?? -1;
      if (end === 'acknowledged' && heldVersion < version)
        return 'an acknowledged configuration is lost';
      if (end === 'acknowledged' && heldVersion === version && held?.notes?.content !== content) {
        return 'another content is held under an acknowledged number';
      }
      const isNewEnd = before !== null && before.ends[order] !== end;
      const wasTaken = world.chosen.some((id) => id.startsWith(`${order}.`));
      if (isNewEnd && end === 'refused' && wasTaken)
        return 'a configuration that was taken is refused';
      const isNoneAbove = sent.every((each) => (each.version ?? 0) <= version);
      const others = sent.filter(
        (each) => each.version === version && each.notes?.content !== content,
      );
      if (isNewEnd && end === 'refused' && others.length === 0)
        return 'a configuration without a rival is refused';
      if (end === 'acknowledged' && isNoneAbove) {
        const rival = others.some((each) => world.ends[sent.indexOf(each)] === 'acknowledged');
        if (rival) return 'two contents are acknowledged under one number';
      }
    }
    return null;
  };

const races: readonly (readonly [string, readonly Policy[]])[] = [
  ['one number, two contents', [document(7, 'x'), document(7, 'y')]],
  ['one number, one content', [document(7, 'x'), document(7, 'x')]],
  ['two numbers', [document(7, 'x'), document(8, 'y')]],
];

for (const [name, sent] of races) {
  test(`configurations, ${name}: no order of steps, lost answers and repeats confirms what is not held`, (t) => {
    const { worlds, wrongs } = walk(policyModel(sent, sound), wrongPolicy(sent));
    t.log(`${worlds} worlds`);
    t.deepEqual([...wrongs], []);
    t.true(worlds > 500);
  });
}

test('configurations: acknowledging any content under the number held is found out', (t) => {
  const sent = [document(7, 'x'), document(7, 'y')];
  const { wrongs } = walk(policyModel(sent, keepsAnyContent), wrongPolicy(sent));
  t.true(wrongs.has('another content is held under an acknowledged number'));
  t.true(wrongs.has('two contents are acknowledged under one number'));
});

// Zones -------------------------------------------------------------------------------------------

const zoneChange =
  (order: 'empty' | 'take-back') =>
  (changeId: string): RegisterChange =>
    zoneOrderChange({ zone: 'west', order, of: 'origins', changeId, expiredZonesRevision: 0 });

/**
 * One operator that evacuates a zone and takes it back, each until it is acknowledged or given up.
 */
const zoneModel = (parts: Partial<Model>): Model => ({
  orders: [
    { operator: 'one', change: zoneChange('empty') },
    { operator: 'one', change: zoneChange('take-back') },
  ],
  isSequential: true,
  attemptsEach: 2,
  noticesLeaving: true,
  isFenced: true,
  ...parts,
});

/**
 * Once the take-back is acknowledged the zone stays open; an acknowledged evacuation holds until
 * the take-back is sent.
 */
const wrongZone = (world: World): string | null => {
  const isClosed = zonesValueOf(world.value).closedOrigins.includes('west');
  const isTakeBackSent = world.attempts.some((each) => each.order === 1);
  if (world.ends[1] === 'acknowledged' && isClosed) return lateReaders(world);
  if (world.ends[0] === 'acknowledged' && !isTakeBackSent && !isClosed)
    return 'an evacuation is not in force';
  return null;
};

/** Whether what undid the take-back had read the register before that was chosen. */
const lateReaders = (world: World): string => {
  const takenBackAt = world.chosen.findIndex((id) => id.startsWith('1.'));
  const undoing = world.attempts.find(
    (each) => each.order === 0 && each.id === world.chosen.at(-1),
  );
  const hadRead = undoing !== undefined && (undoing.firstReadAt ?? Infinity) <= takenBackAt;
  return hadRead
    ? 'undone by an order that had read before'
    : 'undone by an order that read only afterwards';
};

test('zones: an acknowledged order is not undone by an older one whose caller was seen to leave', (t) => {
  const { worlds, wrongs } = walk(zoneModel({}), wrongZone);
  t.log(`${worlds} worlds`);
  t.deepEqual([...wrongs], []);
  t.true(worlds > 500);
});

test('zones, callers not seen to leave: only an order that first reads after the later one was chosen can undo it', (t) => {
  const { worlds, wrongs } = walk(zoneModel({ noticesLeaving: false }), wrongZone);
  t.log(`${worlds} worlds`);
  t.deepEqual([...wrongs], ['undone by an order that read only afterwards']);
});

test('zones, callers not seen to leave and nothing remembered of the first reading: the undoing is found out', (t) => {
  const { wrongs } = walk(zoneModel({ noticesLeaving: false, isFenced: false }), wrongZone);
  t.true(wrongs.has('undone by an order that had read before'));
});
