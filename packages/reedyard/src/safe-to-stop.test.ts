import test from 'ava';
import type { ControlStatus, MemberState, MemberStatus, NodeStatus } from '@reedyard/agent';
import {
  authoritativeStatus,
  safeToStop,
  type KnownMachine,
  type StopVerdict,
} from './safe-to-stop.js';
import { statusLines } from './status-text.js';

const memberOf = (index: number, state: MemberState): MemberStatus => ({
  name: `place-${index}`,
  node: state === 'silent' ? null : `core-${index}`,
  address: `10.0.0.${index}:7200`,
  disk: `disk-${index}`,
  zone: 'west',
  state,
  outcome: state === 'answering' ? 'counted' : null,
  lastAnswerAgeMs: state === 'silent' ? null : 100,
  leaving: false,
});

const controlOf = (
  states: readonly MemberState[],
  more: Partial<ControlStatus> = {},
): ControlStatus => {
  const members = states.map((state, index) => memberOf(index + 1, state));
  const answering = states.filter((state) => state === 'answering').length;
  const quorum = Math.floor(states.length / 2) + 1;
  return {
    epoch: 4,
    members,
    recovering: members.filter((each) => each.state === 'recovering').map((each) => each.name),
    quorum,
    lossesBorne: answering - quorum,
    configuredLosses: Math.floor((states.length - 1) / 2),
    wantedMembers: states.length,
    spares: [],
    ...more,
  };
};

const statusOf = (control: ControlStatus, leaseMs = 900): NodeStatus => ({
  node: 'front-1',
  zone: 'west',
  region: 'r',
  leaseMs,
  unreachable: leaseMs === 0,
  policyRevision: 7,
  emptiedZones: [],
  closedOrigins: [],
  control,
  quotaLeadership: { holder: 'core-1', term: 2 },
  origins: [],
  proxy: null,
  notices: 0,
  splits: 0,
  split: {},
});

const machineOf = (id: string, host: string, hasReplica: boolean): KnownMachine => ({
  id,
  address: `${host}:7100`,
  replica: hasReplica ? { address: `${host}:7200` } : null,
  proxy: null,
});

const coreMachines = (count: number): readonly KnownMachine[] =>
  Array.from({ length: count }, (_none, index) =>
    machineOf(`core-${index + 1}`, `10.0.0.${index + 1}`, true),
  );
const machines = [
  ...coreMachines(5),
  machineOf('front-1', '10.0.1.1', false),
  machineOf('spare-1', '10.0.2.1', true),
];

const judge = (wanted: string, control: ControlStatus, losses: number | null = null): StopVerdict =>
  safeToStop(wanted, statusOf(control), machines, losses);

const all: readonly MemberState[] = Array.from({ length: 5 }, () => 'answering' as const);
const oneOf = (state: MemberState): readonly MemberState[] => [...all.slice(0, 4), state];

test('one of five may go while all answer; the losses that are borne after it are told', (t) => {
  const { verdict, lossesBorneAfter, reasons } = judge('core-2', controlOf(all));
  t.deepEqual([verdict, lossesBorneAfter], ['safe', 1]);
  t.regex(reasons.join('\n'), /4 of 5 members would still answer/);
});

test('one of three may go while all answer, though none is borne after it', (t) => {
  const { verdict, lossesBorneAfter } = judge('core-2', controlOf(all.slice(0, 3)));
  t.deepEqual([verdict, lossesBorneAfter], ['safe', 0]);
});

test('a member may not go while another does not answer, whatever holds that one up', (t) => {
  for (const state of ['silent', 'recovering', 'refusing'] as const) {
    const { verdict, lossesBorneAfter, reasons } = judge('core-2', controlOf(oneOf(state)));
    t.deepEqual([verdict, lossesBorneAfter], ['unsafe', 0], state);
    t.regex(reasons.join('\n'), new RegExp(`place-5 is ${state}`));
  }
});

test('a member that was told to stop counts as gone for the others, though it still answers', (t) => {
  const control = controlOf(all);
  const members = control.members.map((member) => ({
    ...member,
    leaving: member.name === 'place-5',
  }));
  const { verdict, lossesBorneAfter, reasons } = judge('core-2', { ...control, members });
  t.deepEqual([verdict, lossesBorneAfter], ['unsafe', 0]);
  t.regex(reasons.join('\n'), /place-5 is leaving/);
  t.is(judge('core-5', { ...control, members }).verdict, 'safe');
});

test('the very member that does not answer may go, and one that leaves no majority may not', (t) => {
  t.is(judge('core-5', controlOf(oneOf('recovering'))).verdict, 'safe');
  const two: readonly MemberState[] = ['answering', 'answering', 'silent'];
  const last = judge('core-1', controlOf(two), 0);
  t.deepEqual([last.verdict, last.lossesBorneAfter], ['unsafe', -1]);
  t.regex(last.reasons.join('\n'), /no majority of 2 would remain/);
});

test('the losses wanted after it may be told, more or fewer', (t) => {
  t.is(judge('core-2', controlOf(all), 2).verdict, 'unsafe');
  t.is(judge('core-2', controlOf(oneOf('silent')), 0).verdict, 'safe');
});

test('before all members were found none may go, although a majority would remain', (t) => {
  const control = controlOf(all.slice(0, 3), { configuredLosses: 2, wantedMembers: 5 });
  const { verdict, reasons } = judge('core-1', control, 0);
  t.is(verdict, 'unsafe');
  t.regex(reasons.join('\n'), /only 3 of 5 members/);
});

test('a machine is found by id, member name, address, host, and when only its member is known', (t) => {
  for (const wanted of ['core-2', 'place-2', '10.0.0.2:7200', '10.0.0.2:7100', '10.0.0.2']) {
    t.is(judge(wanted, controlOf(all)).lossesBorneAfter, 1, wanted);
  }
  const gone = safeToStop('place-5', statusOf(controlOf(oneOf('silent'))), coreMachines(4), null);
  t.deepEqual([gone.verdict, gone.lossesBorneAfter], ['safe', 1]);
});

test('an unknown name, and one that may mean several machines, are unknown', (t) => {
  t.is(judge('core-9', controlOf(all)).verdict, 'unknown');
  const shared = [machineOf('a', '127.0.0.1', true), machineOf('b', '127.0.0.1', false)];
  const { verdict, reasons } = safeToStop('127.0.0.1', statusOf(controlOf(all)), shared, null);
  t.is(verdict, 'unknown');
  t.regex(reasons.join('\n'), /a, b/);
});

test('a machine without a replica may go; the only spare may not while a member is away', (t) => {
  const spares = [{ node: 'spare-1', address: '10.0.2.1:7200', zone: 'east' }];
  t.is(judge('front-1', controlOf(oneOf('silent'))).verdict, 'safe');
  t.is(judge('spare-1', controlOf(all, { spares })).verdict, 'safe');
  t.is(judge('spare-1', controlOf(oneOf('silent'), { spares })).verdict, 'unsafe');
});

test('only a node with a lease is believed: of those the newest epoch, then the least hopeful', (t) => {
  const hopeful = controlOf(all);
  const worried = controlOf(oneOf('silent'));
  const newer = controlOf(oneOf('silent'), { epoch: 5 });
  t.is(authoritativeStatus([statusOf(hopeful, 0)]), null);
  t.is(safeToStop('core-2', null, machines, null).verdict, 'unknown');
  const believed = (...controls: readonly NodeStatus[]): ControlStatus | undefined =>
    authoritativeStatus(controls)?.control;
  t.is(believed(statusOf(hopeful), statusOf(worried), statusOf(newer, 0)), worried);
  t.is(believed(statusOf(hopeful), statusOf(worried), statusOf(newer)), newer);
});

test('the status in words: lease, epoch, losses borne, and why a member does not answer', (t) => {
  const text = statusLines(statusOf(controlOf(oneOf('recovering')))).join('\n');
  t.regex(text, /lease: 900 ms left/);
  t.regex(text, /epoch 4, 4 of 5 members answer, quorum 3; 1 more loss is borne/);
  t.regex(text, /place-5 +core-5 .*recovering/);
  t.regex(text, /recovering: place-5/);
  const lost = statusLines(statusOf(controlOf(['answering', 'silent', 'silent']), 0)).join('\n');
  t.regex(lost, /lease: NONE, and no majority of replicas answers/);
  t.regex(lost, /NO MAJORITY: 1 more must answer/);
});
