import { Map as Table, Set as Group } from 'immutable';
import { Limits, Sizes } from '@reedyard/constants';
import { Acceptor, emptyCell, type Cell } from '@reedyard/consensus';
import type { Step } from '@reedyard/task-loop';
import { keepFacts, pulled } from './journal.js';
import { adopt } from './membership.js';
import {
  newerMembers,
  membersKey,
  type ReplicaAsk,
  type ReplicaEffect,
  type ReplicaEvent,
  type ReplicaRecord,
  type ReplicaReply,
  type ReplicaVoting,
  type Members,
  type CommittedMembership,
} from './messages.js';
import { away, dumped, rejoin, returned, takeRestored } from './recovery.js';
import { claimPrefix, minuteOf, vote, withoutClaim } from './registers.js';
import { isPolled, notePoll, pollMembers, tendRetirement, tendStop } from './retirement.js';
import {
  isNamed,
  isMember,
  set,
  membersOf,
  type ReplicaState,
  type Kept,
  type Work,
} from './state.js';

const asked = (work: Work, id: number, ask: ReplicaAsk, now: number): void => {
  if (ask.spare === true) set(work, { spareHeardAt: now });
  const wasNamed = isNamed(work.state);
  adopt(work, ask.members, now);
  if (!wasNamed && isNamed(work.state) && !isMember(work.state)) rejoin(work, now);
  tendRetirement(work, now);
  const { state } = work;
  const body = ask.call;
  const tell = (reply: ReplicaReply): void => {
    work.effects.push({ kind: 'tell', id, body: reply });
  };
  if (body.kind === 'dump') {
    tell(dumped(work, body.after));
    return;
  }
  const mine = membersOf(state);
  const [epoch, known] = [ask.members?.value.epoch ?? 0, mine?.value.epoch ?? 0];
  if (!state.voting && (state.seeded === null || epoch >= known)) {
    tell(away(state));
    return;
  }
  // Only the newest set that is known to be chosen counts, and only by the disks that it names.
  // What it accepted but was not told of changes nothing: the earlier set, which decides on it,
  // goes on.
  const onMembers = (body.kind === 'prepare' || body.kind === 'accept') && body.key === membersKey;
  if (epoch < known) {
    tell({ kind: 'stale', disk: state.disk, members: mine });
    return;
  }
  if (body.kind === 'restore') {
    takeRestored(work, body, now);
    tell({ kind: 'restored', disk: state.disk });
    return;
  }
  if (!onMembers && now < state.recoveringUntil) {
    tell({ kind: 'recovering', disk: state.disk, epoch: known });
    return;
  }
  if (
    body.kind === 'prepare' &&
    body.key.startsWith(claimPrefix) &&
    state.claimsSeen.size >= Sizes.claims &&
    !state.cells.has(body.key)
  ) {
    tell({ kind: 'full', disk: state.disk });
    return;
  }
  if (!isMember(state)) {
    tell(away(state));
    return;
  }
  switch (body.kind) {
    case 'prepare':
      vote(
        work,
        id,
        body.key,
        Acceptor.prepare(state.cells.get(body.key) ?? emptyCell, body.ballot),
        now,
      );
      return;
    case 'accept':
      if (body.disk !== state.disk) {
        tell(away(state));
        return;
      }
      vote(
        work,
        id,
        body.key,
        Acceptor.accept(state.cells.get(body.key) ?? emptyCell, body.ballot, body.value),
        now,
      );
      return;
    case 'post':
      keepFacts(work, body.facts, now);
      tell({ kind: 'posted', disk: state.disk });
      return;
    case 'pull':
      tell(pulled(state, body.cursor, body.keys));
      return;
    case 'fetch':
      tell({
        kind: 'fetched',
        disk: state.disk,
        accepted: state.cells.get(body.key)?.accepted ?? null,
      });
      return;
  }
};

const sweep = (work: Work, now: number): void => {
  const { state } = work;
  if (now - state.sweptAt < 1_000) return;
  const old = state.facts.filter((fact) => now - fact.at > Limits.fact);
  set(work, {
    sweptAt: now,
    facts: old.length === 0 ? state.facts : state.facts.slice(old.length),
    factKeys:
      old.length === 0 ? state.factKeys : state.factKeys.deleteAll(old.map((fact) => fact.key)),
    floor: old.at(-1)?.seq ?? state.floor,
  });
  const lapsed = [...state.claimMinutes]
    .filter(([minute]) => minute < minuteOf(now - Limits.claim))
    .flatMap(([minute, keys]) =>
      [...keys.take(Sizes.claimSweep)].map((key) => [minute, key] as const),
    )
    .slice(0, Sizes.claimSweep);
  if (lapsed.length === 0) return;
  const keys = lapsed.map(([, key]) => key);
  set(work, {
    cells: state.cells.deleteAll(keys),
    claimsSeen: state.claimsSeen.deleteAll(keys),
    claimMinutes: lapsed.reduce(
      (minutes, [minute, key]) => withoutClaim(minutes, minute, key),
      state.claimMinutes,
    ),
  });
};

/** What came of a call of its own: to a member that goes on without it, or to one that it reads. */
const answered = (work: Work, id: number, body: ReplicaReply | null, now: number): void => {
  if (isPolled(work.state, id)) notePoll(work, id, body, now);
  else returned(work, id, body, now);
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
    readonly seeded?: ReplicaVoting | null;
  }): Step<ReplicaState, ReplicaEffect> => {
    let disk: string | null = null;
    let voting = false;
    let votingEpoch = 0;
    let told: CommittedMembership | null = null;
    let seq = 0;
    const cells = new Map<string, Cell>();
    const facts = new Map<string, Kept>();
    for (const record of parts.records) {
      if (record.kind === 'disk') disk = record.disk;
      else if (record.kind === 'voting') {
        voting = true;
        votingEpoch = Math.max(votingEpoch, record.epoch ?? 0);
      } else if (record.kind === 'blanked') {
        disk = record.disk;
        voting = false;
        votingEpoch = 0;
        cells.clear();
        facts.clear();
      } else if (record.kind === 'told')
        told = told === null || newerMembers(record.members, told) ? record.members : told;
      else if (record.kind === 'place') seq = Math.max(seq, record.seq);
      else if (record.kind === 'cell') cells.set(record.key, record.cell);
      else {
        facts.set(record.fact.key, { ...record.fact, seq: record.seq, at: parts.now });
        seq = Math.max(seq, record.seq);
      }
    }
    // A disk of before members were noted as told.
    const accepted = cells.get(membersKey)?.accepted ?? null;
    told ??=
      accepted === null ? null : { ballot: accepted.ballot, value: accepted.value as Members };
    const claims = [...cells.keys()].filter((key) => key.startsWith(claimPrefix));
    const kept = [...facts.values()].sort((a, b) => a.seq - b.seq);
    return {
      state: {
        name: parts.name,
        others: parts.others,
        seeded: parts.seeded ?? null,
        told,
        disk: disk ?? parts.freshDisk,
        voting,
        votingEpoch,
        cells: Table(cells),
        claimsSeen: Table(claims.map((key) => [key, minuteOf(parts.now)])),
        claimMinutes: claims.length === 0 ? Table() : Table([[minuteOf(parts.now), Group(claims)]]),
        dumps: {},
        facts: kept,
        factKeys: Table(kept.map((fact) => [fact.key, fact.seq])),
        seq,
        floor: (kept[0]?.seq ?? seq + 1) - 1,
        readings: {},
        nextCall: 1,
        sweptAt: parts.now,
        recoveringUntil: -Infinity,
        settledFor: told?.value.refounded ?? 0,
        retirement: null,
        stopAskedAt: null,
        spareHeardAt: -Infinity,
      },
      effects:
        disk === null
          ? [{ kind: 'append', records: [{ kind: 'disk', disk: parts.freshDisk }] }]
          : [],
    };
  },

  /** The whole state as records, for a snapshot. @example [...Replica.records(state)].length // 1 for a new one */
  *records(state: ReplicaState): Iterable<ReplicaRecord> {
    yield { kind: 'disk', disk: state.disk };
    if (state.voting) yield { kind: 'voting', epoch: state.votingEpoch };
    if (state.told !== null) yield { kind: 'told', members: state.told };
    yield { kind: 'place', seq: state.seq };
    for (const [key, cell] of state.cells) yield { kind: 'cell', key, cell };
    for (const { seq, key, value } of state.facts)
      yield { kind: 'fact', seq, fact: { key, value } };
  },

  /** @example Replica.reduce(state, { kind: 'beat', now: 200 }) */
  reduce: (state: ReplicaState, event: ReplicaEvent): Step<ReplicaState, ReplicaEffect> => {
    const work: Work = { state, effects: [] };
    switch (event.kind) {
      case 'asked':
        asked(work, event.id, event.body, event.now);
        break;
      case 'returned':
        answered(work, event.id, event.body, event.now);
        break;
      case 'lost':
        answered(work, event.id, null, event.now);
        break;
      case 'stop':
        set(work, { stopAskedAt: event.now });
        tendStop(work, event.now);
        break;
      case 'beat':
        tendRetirement(work, event.now);
        pollMembers(work);
        if (!isMember(work.state)) rejoin(work, event.now);
        sweep(work, event.now);
        tendStop(work, event.now);
        break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
