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
  overrides: Partial<ControlStatus> = {},
): ControlStatus => {
  const members = states.map((state, index) => memberOf(index + 1, state));
  const answering = states.filter((state) => state === 'answering').length;
  const quorum = Math.floor(states.length / 2) + 1;
  return {
    epoch: 4,
    members,
    recovering: members
      .filter((member) => member.state === 'recovering')
      .map((member) => member.name),
    quorum,
    lossesBorne: answering - quorum,
    configuredLosses: Math.floor((states.length - 1) / 2),
    wantedMembers: states.length,
    spares: [],
    ...overrides,
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

const verdictFor = (
  nameOrAddress: string,
  control: ControlStatus,
  losses: number | null = null,
): StopVerdict => safeToStop(nameOrAddress, statusOf(control), machines, losses);

const allAnswering: readonly MemberState[] = Array.from({ length: 5 }, () => 'answering' as const);
const fourAnsweringAnd = (state: MemberState): readonly MemberState[] => [
  ...allAnswering.slice(0, 4),
  state,
];

test('one of five members may stop while all answer; the verdict states the losses tolerated afterwards', (t) => {
  const { verdict, lossesBorneAfter, reasons } = verdictFor('core-2', controlOf(allAnswering));
  t.deepEqual([verdict, lossesBorneAfter], ['safe', 1]);
  t.regex(reasons.join('\n'), /4 of 5 members would still answer/);
});

test('one of three members may stop while all answer, although no loss is tolerated afterwards', (t) => {
  const { verdict, lossesBorneAfter } = verdictFor('core-2', controlOf(allAnswering.slice(0, 3)));
  t.deepEqual([verdict, lossesBorneAfter], ['safe', 0]);
});

test('a member may not stop while another member does not answer, for whatever reason', (t) => {
  for (const state of ['silent', 'recovering', 'refusing'] as const) {
    const { verdict, lossesBorneAfter, reasons } = verdictFor(
      'core-2',
      controlOf(fourAnsweringAnd(state)),
    );
    t.deepEqual([verdict, lossesBorneAfter], ['unsafe', 0], state);
    t.regex(reasons.join('\n'), new RegExp(`place-5 is ${state}`));
  }
});

test('a leaving member counts as unavailable when another member is to stop, although it still answers', (t) => {
  const control = controlOf(allAnswering);
  const members = control.members.map((member) => ({
    ...member,
    leaving: member.name === 'place-5',
  }));
  const { verdict, lossesBorneAfter, reasons } = verdictFor('core-2', { ...control, members });
  t.deepEqual([verdict, lossesBorneAfter], ['unsafe', 0]);
  t.regex(reasons.join('\n'), /place-5 is leaving/);
  t.is(verdictFor('core-5', { ...control, members }).verdict, 'safe');
});

test('a member that does not answer may stop; a member without which no majority remains may not', (t) => {
  t.is(verdictFor('core-5', controlOf(fourAnsweringAnd('recovering'))).verdict, 'safe');
  const twoAnswering: readonly MemberState[] = ['answering', 'answering', 'silent'];
  const withoutMajority = verdictFor('core-1', controlOf(twoAnswering), 0);
  t.deepEqual([withoutMajority.verdict, withoutMajority.lossesBorneAfter], ['unsafe', -1]);
  t.regex(withoutMajority.reasons.join('\n'), /no majority of 2 would remain/);
});

test('the required number of tolerated losses may be set above or below the default', (t) => {
  t.is(verdictFor('core-2', controlOf(allAnswering), 2).verdict, 'unsafe');
  t.is(verdictFor('core-2', controlOf(fourAnsweringAnd('silent')), 0).verdict, 'safe');
});

test('no member may stop before all members are known, even if a majority would remain', (t) => {
  const control = controlOf(allAnswering.slice(0, 3), { configuredLosses: 2, wantedMembers: 5 });
  const { verdict, reasons } = verdictFor('core-1', control, 0);
  t.is(verdict, 'unsafe');
  t.regex(reasons.join('\n'), /only 3 of 5 members/);
});

test('a machine is found by id, member name, address or host, also if only its member is known', (t) => {
  for (const nameOrAddress of ['core-2', 'place-2', '10.0.0.2:7200', '10.0.0.2:7100', '10.0.0.2']) {
    t.is(verdictFor(nameOrAddress, controlOf(allAnswering)).lossesBorneAfter, 1, nameOrAddress);
  }
  const unknownMachine = safeToStop(
    'place-5',
    statusOf(controlOf(fourAnsweringAnd('silent'))),
    coreMachines(4),
    null,
  );
  t.deepEqual([unknownMachine.verdict, unknownMachine.lossesBorneAfter], ['safe', 1]);
});

test('the verdict is unknown for an unknown name and for a name that denotes several machines', (t) => {
  t.is(verdictFor('core-9', controlOf(allAnswering)).verdict, 'unknown');
  const machinesOnOneHost = [machineOf('a', '127.0.0.1', true), machineOf('b', '127.0.0.1', false)];
  const { verdict, reasons } = safeToStop(
    '127.0.0.1',
    statusOf(controlOf(allAnswering)),
    machinesOnOneHost,
    null,
  );
  t.is(verdict, 'unknown');
  t.regex(reasons.join('\n'), /a, b/);
});

test('a machine without a replica may stop; the only spare may not while a member is unavailable', (t) => {
  const spares = [{ node: 'spare-1', address: '10.0.2.1:7200', zone: 'east' }];
  t.is(verdictFor('front-1', controlOf(fourAnsweringAnd('silent'))).verdict, 'safe');
  t.is(verdictFor('spare-1', controlOf(allAnswering, { spares })).verdict, 'safe');
  t.is(verdictFor('spare-1', controlOf(fourAnsweringAnd('silent'), { spares })).verdict, 'unsafe');
});

test('the status of a node with a lease is used: the newest epoch, then the fewest tolerated losses', (t) => {
  const intact = controlOf(allAnswering);
  const degraded = controlOf(fourAnsweringAnd('silent'));
  const newerEpoch = controlOf(fourAnsweringAnd('silent'), { epoch: 5 });
  t.is(authoritativeStatus([statusOf(intact, 0)]), null);
  t.is(safeToStop('core-2', null, machines, null).verdict, 'unknown');
  const trustedControl = (...statuses: readonly NodeStatus[]): ControlStatus | undefined =>
    authoritativeStatus(statuses)?.control;
  t.is(trustedControl(statusOf(intact), statusOf(degraded), statusOf(newerEpoch, 0)), degraded);
  t.is(trustedControl(statusOf(intact), statusOf(degraded), statusOf(newerEpoch)), newerEpoch);
});

test('the status text shows lease, epoch, tolerated losses, and why a member does not vote', (t) => {
  const text = statusLines(statusOf(controlOf(fourAnsweringAnd('recovering')))).join('\n');
  t.regex(text, /lease: 900 ms remaining/);
  t.regex(text, /epoch 4, 4 of 5 members answer, quorum 3; 1 more loss is tolerated/);
  t.regex(text, /place-5 +core-5 .*recovering/);
  t.regex(text, /recovering: place-5/);
  const withoutMajority = statusLines(
    statusOf(controlOf(['answering', 'silent', 'silent']), 0),
  ).join('\n');
  t.regex(withoutMajority, /lease: NONE, and no majority of replicas answers/);
  t.regex(withoutMajority, /NO MAJORITY: 1 more must answer/);
});
