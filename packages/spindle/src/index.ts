import { Limits, Sizes } from '@reedyard/gauge';

/** One record: what an owner told last. A higher serial replaces; equal ones are the same. */
export type Telling = { readonly serial: number; readonly value: unknown };
type Held = Telling & { readonly seenAt: number; readonly forgotten: boolean };

/** A neighbour in the partial view. */
export type Neighbour = { readonly id: string; readonly address: string; readonly age: number };

export type SpindleState = {
  readonly records: Readonly<Record<string, Held>>;
  readonly view: readonly Neighbour[];
};

/** One exchange: what the asker holds, and a part of its view. */
export type Exchange = { readonly from: { readonly id: string; readonly address: string }; readonly digest: Readonly<Record<string, number>>; readonly sample: readonly Neighbour[] };
/** Its answer: what is newer there, what is wanted from the asker, and a part of the view in return. */
export type Exchanged = { readonly newer: Readonly<Record<string, Telling>>; readonly wants: readonly string[]; readonly sample: readonly Neighbour[] };

const lifeOf = (key: string): number => (key.startsWith('origin/') ? Limits.originForgotten : Limits.nodeForgotten);

export const Spindle = {
  empty: { records: {}, view: [] } as SpindleState,

  /** The value under a key, if it is known and not forgotten. @example Spindle.get(state, 'node/front-1') */
  get: (state: SpindleState, key: string): unknown => {
    const held = state.records[key];
    return held === undefined || held.forgotten ? undefined : held.value;
  },

  /** All live records of a kind. @example Spindle.all(state, 'origin/') // [[key, value, seenAt], …] */
  all: (state: SpindleState, prefix: string): readonly (readonly [key: string, value: unknown, seenAt: number])[] =>
    Object.entries(state.records).flatMap(([key, held]) => (key.startsWith(prefix) && !held.forgotten ? [[key, held.value, held.seenAt] as const] : [])),

  /**
   * Tells something of one's own (or a guest's), above any serial seen. Where a guest numbers what it says,
   * nodes that hear different words of it each take its number for the least serial, so that the later one wins.
   *
   * @example
   * Spindle.tell(state, 'node/a', {}, 5)
   */
  tell: (state: SpindleState, key: string, value: unknown, now: number, least = 0): SpindleState => ({
    ...state,
    records: { ...state.records, [key]: { serial: Math.max(least, (state.records[key]?.serial ?? 0) + 1), value, seenAt: now, forgotten: false } },
  }),

  /** Changes a value held here without telling it to others. @example Spindle.note(state, 'origin/s/i', value) */
  note: (state: SpindleState, key: string, value: unknown): SpindleState => {
    const held = state.records[key];
    return held === undefined ? state : { ...state, records: { ...state.records, [key]: { ...held, value } } };
  },

  /** Takes in what others told; returns the keys that were news. @example Spindle.learn(state, newer, 5).news */
  learn: (state: SpindleState, tellings: Readonly<Record<string, Telling>>, now: number): { readonly state: SpindleState; readonly news: readonly string[] } => {
    const news = Object.keys(tellings).filter((key) => (tellings[key]?.serial ?? 0) > (state.records[key]?.serial ?? 0));
    if (news.length === 0) return { state, news };
    const added = Object.fromEntries(news.map((key) => [key, { serial: tellings[key]?.serial ?? 0, value: tellings[key]?.value, seenAt: now, forgotten: tellings[key]?.value === null }]));
    return { state: { ...state, records: { ...state.records, ...added } }, news };
  },

  /** Forgets what went silent; its serial stays, so that a late copy does not bring it back. @example Spindle.sweep(state, 99_000) */
  sweep: (state: SpindleState, now: number): { readonly state: SpindleState; readonly gone: readonly string[] } => {
    const gone = Object.entries(state.records).flatMap(([key, held]) => (!held.forgotten && now - held.seenAt > lifeOf(key) ? [key] : []));
    if (gone.length === 0) return { state, gone };
    return {
      state: { ...state, records: { ...state.records, ...Object.fromEntries(gone.map((key) => [key, { ...(state.records[key] as Held), value: null, forgotten: true }])) } },
      gone,
    };
  },

  /** @example Spindle.digest(state) // { 'node/a': 12 } */
  digest: (state: SpindleState): Readonly<Record<string, number>> =>
    Object.fromEntries(Object.entries(state.records).flatMap(([key, held]) => (held.forgotten ? [] : [[key, held.serial]]))),

  /**
   * What of ours is newer than a digest, and what of the digest we lack. A forgotten record is told
   * (with the value null) only to one who offers an older serial of it, so that an owner who came
   * back without memory learns above which serial to speak.
   *
   * @example
   * Spindle.compare(state, {})
   */
  compare: (state: SpindleState, digest: Readonly<Record<string, number>>): { readonly newer: Readonly<Record<string, Telling>>; readonly wants: readonly string[] } => ({
    newer: Object.fromEntries(Object.entries(state.records).flatMap(([key, held]) =>
      (held.serial > (digest[key] ?? 0) && (!held.forgotten || digest[key] !== undefined)
        ? [[key, { serial: held.serial, value: held.forgotten ? null : held.value }]] : []))),
    wants: Object.entries(digest).flatMap(([key, serial]) => (serial > (state.records[key]?.serial ?? 0) ? [key] : [])),
  }),

  /** The records asked for. @example Spindle.pick(state, ['node/a']) */
  pick: (state: SpindleState, keys: readonly string[]): Readonly<Record<string, Telling>> =>
    Object.fromEntries(keys.flatMap((key) => {
      const held = state.records[key];
      return held === undefined || held.forgotten ? [] : [[key, { serial: held.serial, value: held.value }]];
    })),

  /**
   * A shuffle: neighbours received fill the view, and first push out those that were sent away.
   *
   * @example
   * Spindle.shuffle([], 'me', [{ id: 'a', address: '127.0.0.1:1', age: 0 }], []) // the one received
   */
  shuffle: (view: readonly Neighbour[], self: string, received: readonly Neighbour[], sent: readonly Neighbour[]): readonly Neighbour[] => {
    const sentIds = new Set(sent.map((each) => each.id));
    const fresh = received.filter((each) => each.id !== self);
    const freshIds = new Set(fresh.map((each) => each.id));
    const youngest = new Map<string, Neighbour>();
    for (const each of [...fresh, ...view]) {
      const known = youngest.get(each.id);
      if (known === undefined || each.age < known.age) youngest.set(each.id, each);
    }
    // Kept first: what was received, then what was not offered away, then the rest.
    const rank = (each: Neighbour): number => (freshIds.has(each.id) ? 0 : sentIds.has(each.id) ? 2 : 1);
    return [...youngest.values()].sort((a, b) => rank(a) - rank(b) || a.age - b.age).slice(0, Sizes.view);
  },

  /** A part of the view to offer, with oneself as the newest. @example Spindle.sample(view, { id: 'me', address: '127.0.0.1:1' }, 0.3) */
  sample: (view: readonly Neighbour[], self: { readonly id: string; readonly address: string }, chance: number): readonly Neighbour[] => {
    const start = Math.floor(chance * view.length);
    const turned = [...view.slice(start), ...view.slice(0, start)];
    return [{ ...self, age: 0 }, ...turned.slice(0, Sizes.shuffle - 1)];
  },
} as const;
