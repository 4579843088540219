import { Set as Group, Map as Table } from 'immutable';
import { accept, emptyRegister, prepare, type RegisterState } from '@reedyard/consensus';
import { Limits, Sizes } from '@reedyard/constants';
import type { Step } from '@reedyard/task-loop';
import { keepFacts, pulled } from './journal.js';
import { adopt } from './membership.js';
import {
  type BootstrapSettings,
  type CommittedMembership,
  isNewerMembership,
  type Membership,
  membershipKey,
  type ReplicaEffect,
  type ReplicaEvent,
  type ReplicaRecord,
  type ReplicaReply,
  type ReplicaRequest,
} from './messages.js';
import { away, dumped, rejoin, returned, takeRestored } from './recovery.js';
import { claimPrefix, minuteOf, vote, withoutClaim } from './registers.js';
import { isPolled, notePoll, pollMembers, tendRetirement, tendStop } from './retirement.js';
import {
  isInMembership,
  isVotingMember,
  membersOf,
  type ReplicaState,
  type RetainedEntry,
  type Transition,
  update,
} from './state.js';

const asked = (transition: Transition, id: number, ask: ReplicaRequest, now: number): void => {
  if (ask.hasLiveSpare === true) update(transition, { spareSeenAt: now });
  const wasNamed = isInMembership(transition.state);
  adopt(transition, ask.membership, now);
  if (!wasNamed && isInMembership(transition.state) && !isVotingMember(transition.state))
    rejoin(transition, now);
  tendRetirement(transition, now);
  const { state } = transition;
  const body = ask.operation;
  const tell = (reply: ReplicaReply): void => {
    transition.effects.push({ kind: 'send-reply', requestId: id, reply: reply });
  };
  if (body.kind === 'read-page') {
    tell(dumped(transition, body.after));
    return;
  }
  const mine = membersOf(state);
  const [epoch, known] = [ask.membership?.value.epoch ?? 0, mine?.value.epoch ?? 0];
  if (!state.isVoting && (state.bootstrap === null || epoch >= known)) {
    tell(away(state));
    return;
  }
  // Only the newest set that is known to be chosen counts, and only by the disks that it names.
  // What it accepted but was not told of changes nothing: the earlier set, which decides on it,
  // goes on.
  const onMembers =
    (body.kind === 'prepare' || body.kind === 'accept') && body.key === membershipKey;
  if (epoch < known) {
    tell({ kind: 'newer-membership', diskId: state.diskId, membership: mine });
    return;
  }
  if (body.kind === 'restore') {
    takeRestored(transition, body, now);
    tell({ kind: 'restored', diskId: state.diskId });
    return;
  }
  if (!onMembers && now < state.recoveringUntil) {
    tell({ kind: 'recovering', diskId: state.diskId, epoch: known });
    return;
  }
  if (
    body.kind === 'prepare' &&
    body.key.startsWith(claimPrefix) &&
    state.claimMinuteByKey.size >= Sizes.claims &&
    !state.registers.has(body.key)
  ) {
    tell({ kind: 'too-many-claims', diskId: state.diskId });
    return;
  }
  if (!isVotingMember(state)) {
    tell(away(state));
    return;
  }
  switch (body.kind) {
    case 'prepare':
      vote(
        transition,
        id,
        body.key,
        prepare(state.registers.get(body.key) ?? emptyRegister, body.proposalNumber),
        now,
      );
      return;
    case 'accept':
      if (body.diskId !== state.diskId) {
        tell(away(state));
        return;
      }
      vote(
        transition,
        id,
        body.key,
        accept(state.registers.get(body.key) ?? emptyRegister, body.proposalNumber, body.value),
        now,
      );
      return;
    case 'append-entries':
      keepFacts(transition, body.entries, now);
      tell({ kind: 'entries-appended', diskId: state.diskId });
      return;
    case 'poll':
      tell(pulled(state, body.cursor, body.keys));
      return;
    case 'read-register':
      tell({
        kind: 'register-read',
        diskId: state.diskId,
        accepted: state.registers.get(body.key)?.accepted ?? null,
      });
      return;
  }
};

const sweep = (transition: Transition, now: number): void => {
  const { state } = transition;
  if (now - state.lastExpiryAt < 1_000) return;
  const old = state.entries.filter((entry) => now - entry.appendedAt > Limits.fact);
  update(transition, {
    lastExpiryAt: now,
    entries: old.length === 0 ? state.entries : state.entries.slice(old.length),
    sequenceByEntryKey:
      old.length === 0
        ? state.sequenceByEntryKey
        : state.sequenceByEntryKey.deleteAll(old.map((entry) => entry.key)),
    truncatedUpTo: old.at(-1)?.sequence ?? state.truncatedUpTo,
  });
  const lapsed = [...state.claimKeysByMinute]
    .filter(([minute]) => minute < minuteOf(now - Limits.claim))
    .flatMap(([minute, keys]) =>
      [...keys.take(Sizes.claimSweep)].map((key) => [minute, key] as const),
    )
    .slice(0, Sizes.claimSweep);
  if (lapsed.length === 0) return;
  const keys = lapsed.map(([, key]) => key);
  update(transition, {
    registers: state.registers.deleteAll(keys),
    claimMinuteByKey: state.claimMinuteByKey.deleteAll(keys),
    claimKeysByMinute: lapsed.reduce(
      (minutes, [minute, key]) => withoutClaim(minutes, minute, key),
      state.claimKeysByMinute,
    ),
  });
};

/** What came of a call of its own: to a member that goes on without it, or to one that it reads. */
const answered = (
  transition: Transition,
  id: number,
  body: ReplicaReply | null,
  now: number,
): void => {
  if (isPolled(transition.state, id)) notePoll(transition, id, body, now);
  else returned(transition, id, body, now);
};

export const Replica = {
  /**
   * The state from what was on disk; a blank disk gets the new name given.
   *
   * @example
   * Replica.open({ name: 'core-1', others: {}, records: [], freshDisk: 'd1', now: 0 }).state.voting // true once its beat has run
   */
  open: (parts: {
    readonly name: string;
    readonly others: Readonly<Record<string, string>>;
    readonly records: readonly ReplicaRecord[];
    readonly freshDisk: string;
    readonly now: number;
    /** Where members found themselves from seeds; `others` is then not looked at. */
    readonly seeded?: BootstrapSettings | null;
  }): Step<ReplicaState, ReplicaEffect> => {
    let disk: string | null = null;
    let voting = false;
    let votingEpoch = 0;
    let committed: CommittedMembership | null = null;
    let sequence = 0;
    const registers = new Map<string, RegisterState>();
    const entries = new Map<string, RetainedEntry>();
    for (const record of parts.records) {
      if (record.kind === 'disk-named') disk = record.diskId;
      else if (record.kind === 'voting-begun') {
        voting = true;
        votingEpoch = Math.max(votingEpoch, record.epoch ?? 0);
      } else if (record.kind === 'disk-erased') {
        disk = record.diskId;
        voting = false;
        votingEpoch = 0;
        registers.clear();
        entries.clear();
      } else if (record.kind === 'membership-committed')
        committed =
          committed === null || isNewerMembership(record.membership, committed)
            ? record.membership
            : committed;
      else if (record.kind === 'sequence-reached') sequence = Math.max(sequence, record.sequence);
      else if (record.kind === 'register-written') registers.set(record.key, record.register);
      else {
        entries.set(record.entry.key, {
          ...record.entry,
          sequence: record.sequence,
          appendedAt: parts.now,
        });
        sequence = Math.max(sequence, record.sequence);
      }
    }
    // A disk of before members were noted as told.
    const accepted = registers.get(membershipKey)?.accepted ?? null;
    committed ??=
      accepted === null
        ? null
        : { proposalNumber: accepted.proposalNumber, value: accepted.value as Membership };
    const claims = [...registers.keys()].filter((key) => key.startsWith(claimPrefix));
    const kept = [...entries.values()].sort((a, b) => a.sequence - b.sequence);
    return {
      state: {
        name: parts.name,
        otherFounders: parts.others,
        bootstrap: parts.seeded ?? null,
        committedMembership: committed,
        diskId: disk ?? parts.freshDisk,
        isVoting: voting,
        votingEpoch,
        registers: Table(registers),
        claimMinuteByKey: Table(claims.map((key) => [key, minuteOf(parts.now)])),
        claimKeysByMinute:
          claims.length === 0 ? Table() : Table([[minuteOf(parts.now), Group(claims)]]),
        openPageReads: {},
        entries: kept,
        sequenceByEntryKey: Table(kept.map((entry) => [entry.key, entry.sequence])),
        lastSequence: sequence,
        truncatedUpTo: (kept[0]?.sequence ?? sequence + 1) - 1,
        peerReads: {},
        nextRequestId: 1,
        lastExpiryAt: parts.now,
        recoveringUntil: -Infinity,
        lastRefoundedEpoch: committed?.value.refounded ?? 0,
        retirement: null,
        stopRequestedAt: null,
        spareSeenAt: -Infinity,
      },
      effects:
        disk === null
          ? [{ kind: 'append-records', records: [{ kind: 'disk-named', diskId: parts.freshDisk }] }]
          : [],
    };
  },

  /** The whole state as records, for a snapshot. @example [...Replica.records(state)].length // 1 for a new one */
  *records(state: ReplicaState): Iterable<ReplicaRecord> {
    yield { kind: 'disk-named', diskId: state.diskId };
    if (state.isVoting) yield { kind: 'voting-begun', epoch: state.votingEpoch };
    if (state.committedMembership !== null)
      yield { kind: 'membership-committed', membership: state.committedMembership };
    yield { kind: 'sequence-reached', sequence: state.lastSequence };
    for (const [key, register] of state.registers)
      yield { kind: 'register-written', key, register };
    for (const { sequence, key, value } of state.entries)
      yield { kind: 'entry-appended', sequence, entry: { key, value } };
  },

  /** @example Replica.reduce(state, { kind: 'beat', now: 200 }) */
  reduce: (state: ReplicaState, event: ReplicaEvent): Step<ReplicaState, ReplicaEffect> => {
    const transition: Transition = { state, effects: [] };
    switch (event.kind) {
      case 'request-received':
        asked(transition, event.requestId, event.request, event.now);
        break;
      case 'reply-received':
        answered(transition, event.requestId, event.reply, event.now);
        break;
      case 'request-failed':
        answered(transition, event.requestId, null, event.now);
        break;
      case 'stop-requested':
        update(transition, { stopRequestedAt: event.now });
        tendStop(transition, event.now);
        break;
      case 'tick':
        tendRetirement(transition, event.now);
        pollMembers(transition);
        if (!isVotingMember(transition.state)) rejoin(transition, event.now);
        sweep(transition, event.now);
        tendStop(transition, event.now);
        break;
    }
    return { state: transition.state, effects: transition.effects };
  },
} as const;
