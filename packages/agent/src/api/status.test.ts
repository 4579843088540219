import test from 'ava';
import { leaseDurationMs, type ReplicaReply } from '@reedyard/replica';
import { learnRegister } from '../control/polling.js';
import { openAgent } from '../open-agent.js';
import {
  addresses,
  tickWithAllReplies,
  tickAndAnswerPolls,
  diskIdsWithSuffix,
  openAgentWithMembership,
  names,
  pulled,
  self,
  withMembership,
} from '../testing/five-founder-agent.js';
import type { Transition } from '../transition.js';
import { controlStatus, nodeStatus } from './status.js';

test('the status shows epoch, quorum, and how many more losses are borne', (t) => {
  const control = controlStatus(tickWithAllReplies(openAgentWithMembership(), 100));
  t.deepEqual(
    [control.epoch, control.quorum, control.lossesBorne, control.configuredLosses],
    [3, 3, 2, 2],
  );
  t.deepEqual(control.recovering, []);
  t.deepEqual(
    control.members.map((member) => [member.name, member.address, member.disk, member.state]),
    names.map((name) => [name, addresses[name], `${name}/a`, 'answering']),
  );
});

test('a replica that never answered is silent, and bears nothing', (t) => {
  const control = controlStatus(openAgentWithMembership());
  t.deepEqual(
    control.members.map((member) => [member.state, member.lastAnswerAgeMs, member.outcome]),
    names.map(() => ['silent', null, null]),
  );
  t.is(control.lossesBorne, -3);
});

test('a member is silent once it has not answered for a whole lease, not before', (t) => {
  const last = tickWithAllReplies(openAgentWithMembership(), 100);
  const at = (now: number): readonly string[] =>
    controlStatus({ ...last, now }).members.map((member) => member.state);
  t.deepEqual(
    at(100 + leaseDurationMs - 1),
    names.map(() => 'answering'),
  );
  t.deepEqual(
    at(100 + leaseDurationMs),
    names.map(() => 'silent'),
  );
  const oneGone = tickAndAnswerPolls(last, 100 + leaseDurationMs, (name) =>
    name === 'core-5' ? null : pulled(`${name}/a`),
  );
  const control = controlStatus(oneGone);
  t.is(control.lossesBorne, 1);
  t.deepEqual(
    control.members.map((member) => [member.state, member.lastAnswerAgeMs]),
    [...[1, 2, 3, 4].map(() => ['answering', 0]), ['silent', leaseDurationMs]],
  );
});

test('refusal, recovery and a blank disk are told apart from silence, and none is counted', (t) => {
  const replies: Readonly<Record<string, ReplicaReply | null>> = {
    'core-1': pulled('core-1/a'),
    'core-2': { kind: 'recovering', diskId: 'core-2/a', epoch: 3 },
    'core-3': { kind: 'not-a-member', diskId: 'core-3/new', isBlank: true, knowsMembership: true },
    'core-4': { kind: 'newer-membership', diskId: 'core-4/a', membership: null },
    'core-5': pulled('core-5/old'),
  };
  const state = tickAndAnswerPolls(openAgentWithMembership(), 100, (name) => replies[name] ?? null);
  const control = controlStatus(state);
  t.deepEqual(
    control.members.map((member) => [member.state, member.outcome]),
    [
      ['answering', 'counted'],
      ['recovering', 'recovering'],
      ['recovering', 'blank'],
      ['refusing', 'newer-membership'],
      ['refusing', 'not-a-member'],
    ],
  );
  t.deepEqual(control.recovering, ['core-2', 'core-3']);
  t.is(control.lossesBorne, -2);
});

test('an answer of the disk that was replaced does not count for its successor', (t) => {
  const state = withMembership(tickWithAllReplies(openAgentWithMembership(), 100), 4, {
    ...diskIdsWithSuffix('a'),
    'core-2': 'core-2/b',
  });
  const control = controlStatus(state);
  t.is(control.epoch, 4);
  t.is(control.lossesBorne, 1);
  t.is(control.members.find((member) => member.name === 'core-2')?.state, 'refusing');
});

test('a named disk that still reads the others is recovering', (t) => {
  const state = tickAndAnswerPolls(openAgentWithMembership(), 100, (name) =>
    name === 'core-2'
      ? { kind: 'not-a-member', diskId: 'core-2/a', isBlank: true, knowsMembership: true }
      : pulled(`${name}/a`),
  );
  const member = controlStatus(state).members.find((each) => each.name === 'core-2');
  t.deepEqual([member?.state, member?.outcome], ['recovering', 'recovering']);
});

test('a member whose disk takes no writes counts as lost, though its answers to pulls count', (t) => {
  const state = tickAndAnswerPolls(openAgentWithMembership(), 100, (name) => {
    const reply = pulled(`${name}/a`);
    return name === 'core-2' && reply.kind === 'polled' ? { ...reply, isReadOnly: true } : reply;
  });
  const control = controlStatus(state);
  const member = control.members.find((each) => each.name === 'core-2');
  t.deepEqual([member?.state, member?.outcome], ['refusing', 'read-only']);
  t.is(control.lossesBorne, 1);
});

test('a lease is shown as what is left of it, and as 0 when it is over', (t) => {
  const state = tickWithAllReplies(openAgentWithMembership(), 100);
  t.is(nodeStatus({ ...state, now: 600 }).leaseMs, 100 + leaseDurationMs - 600);
  t.is(nodeStatus({ ...state, now: 10_000 }).leaseMs, 0);
});

test('a member is shown with the machine and zone that gossip tells of it', (t) => {
  const state = tickWithAllReplies(openAgentWithMembership(), 100);
  const [own, other] = controlStatus(state).members;
  t.deepEqual([own?.node, own?.zone], ['core-1', 'west']);
  t.deepEqual([other?.node, other?.zone], [null, null]);
});

test('with too few members found so far, what is wanted is shown beside what votes', (t) => {
  const seeds = ['127.0.0.1:11', '127.0.0.1:12', '127.0.0.1:13'];
  const parts = { self, incarnation: 'l', seeds: [], founders: {}, randomSeed: 1, now: 0 };
  const state = openAgent({ ...parts, bootstrap: { losses: 2, seeds } });
  const before = controlStatus(state);
  t.deepEqual([before.epoch, before.members.length, before.wantedMembers], [0, 0, 5]);
  t.true(before.lossesBorne < 0);
  const transition: Transition = { state, effects: [] };
  const disks = { a: 'da', b: 'db', c: 'dc' };
  const places = { a: seeds[0] ?? '', b: seeds[1] ?? '', c: seeds[2] ?? '' };
  const members = { epoch: 1, disks, addresses: places };
  learnRegister(transition, 'members', { counter: 1, proposerId: 'founding' }, members);
  const control = controlStatus(transition.state);
  t.deepEqual([control.members.length, control.quorum, control.wantedMembers], [3, 2, 5]);
});
