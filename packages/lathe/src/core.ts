import { Beats, Limits, Sizes, Weights } from '@reedyard/gauge';
import type { Step } from '@reedyard/chute';
import type { ClaimReply, ClaimState, Feed, Measure, Report } from '@reedyard/jig';
import { holdersOf, objectKey } from '@reedyard/plumb';
import { Sieve, type Copy } from '@reedyard/sieve';
import { Routes, type Route, type RouteTable } from '@reedyard/stencil';
import { Tally, type Leg, type LegEnd, type Outcome, type Sent } from '@reedyard/tally';
import { allowedPartners, answerMs, atHome, drawServer, drawService, earnRepeat, giveBack, isSafe, mayRepeat, meanMs, originName, rankOrigins, restFor, roomAt, spendRepeat, suspectFor, takeToken, tookStanding, waitFor } from './choice.js';
import { change, count, log, set, type Answer, type Asked, type LatheEffect, type LatheEvent, type LatheState, type LegAnswer, type Target, type Transaction, type Work } from './state.js';

const headerText = (headers: Asked['headers'], name: string): string | null => {
  const value = headers[name];
  return value === undefined ? null : typeof value === 'string' ? value : value.join(',');
};

/** Answers that ask nothing of any origin: what the lathe itself has to say. */
const turnAway = (work: Work, id: number, status: number, title: string, detail: string, more: Readonly<Record<string, string>> = {}, outcome: Outcome = 'not-run', retryMs = 1_000 * Limits.retryAfterSeconds): void => {
  const waits = status === 502 || status === 503 || status === 504;
  count(work, `status.${status}`);
  work.effects.push({ kind: 'answer', id, answer: {
    status, headers: { 'reedyard-outcome': outcome, ...spentFields(work.state.transactions[id]), ...(waits ? { 'retry-after': String(Math.ceil(retryMs / 1_000)) } : {}), ...more }, ...(waits ? { retryMs } : {}),
    body: { kind: 'problem', title, detail, outcome },
  } });
};

/** Why a request gets nothing by its route, whatever the origins do; null where it may be made. */
const refusalOf = (route: Route | undefined, asked: Asked): { readonly status: number; readonly title: string; readonly detail: string; readonly more?: Readonly<Record<string, string>> } | null => {
  if (route === undefined) return { status: 404, title: 'No such place', detail: 'No policy has a route for this host and path.' };
  if (!(route.methods as readonly string[]).includes(asked.method)) return { status: 405, title: 'Method not allowed', detail: `This route takes ${route.methods.join(', ')}.`, more: { allow: route.methods.join(', ') } };
  const most = route.limits.bodyBytes ?? Sizes.callerBody;
  if (asked.bodyBytes > most) return { status: 413, title: 'Body too large', detail: `This route takes bodies of up to ${most} bytes.` };
  if (route.key === 'required' && !isSafe(route, asked.method) && headerText(asked.headers, 'idempotency-key') === null) return { status: 400, title: 'Key wanted', detail: 'This route takes such a request only with an Idempotency-Key.' };
  return null;
};

const keeps = (route: Route, method: string): boolean => route.cache.keep !== 'never' && (method === 'GET' || method === 'HEAD');
const keepsAlways = (route: Route): boolean => route.cache.keep === 'always';
const joins = (transaction: Transaction): boolean =>
  transaction.asked.method === 'GET' && keeps(transaction.route, 'GET') && (keepsAlways(transaction.route) || headerText(transaction.asked.headers, 'authorization') === null);

const settle = (work: Work, transaction: Transaction, state: ClaimState): void => {
  if (transaction.claimKey === null) return;
  work.effects.push({ kind: 'ask', id: transaction.id, call: { kind: 'settle', key: transaction.claimKey, token: transaction.token, state } });
};

const forget = (work: Work, transaction: Transaction): void => {
  const { [transaction.id]: _gone, ...rest } = work.state.transactions;
  set(work, { transactions: rest });
};

/** Its caller has heard the last of it. An attempt beside the one that served is let end: breaking it off helps nobody. */
const close = (work: Work, transaction: Transaction): void => {
  const known = work.state.transactions[transaction.id];
  if (known !== undefined && known.legs.some((leg) => leg.end === null)) change(work, transaction.id, { phase: 'over' });
  else forget(work, transaction);
  work.effects.push({ kind: 'closed', id: transaction.id });
};

/** Counts an answer in the vectors' measurements: demand only for this edge's own callers. */
const measured = (work: Work, transaction: Transaction, size: number, here: boolean): void => {
  const bits = 8 * (size + 300);
  const { period } = work.state;
  const own = transaction.asked.via === null;
  const busy = objectKey(transaction.route.name, keepsAlways(transaction.route) ? null : transaction.asked.target);
  set(work, {
    period: {
      ...period, servedBits: period.servedBits + (here ? bits : 0), replies: period.replies + 1,
      bits: own ? { ...period.bits, [busy]: (period.bits[busy] ?? 0) + bits } : period.bits,
    },
  });
};

/** The lease is looked at where it is used: a thawed process finds it over, whatever waited for it. */
const lapsed = (work: Work): boolean => work.state.now >= work.state.lease;
const cutOff = 'this node is cut off from the control state';

const answerCopy = (work: Work, transaction: Transaction, copy: Copy): void => {
  if (lapsed(work)) { giveUp(work, transaction, 503, 'not-run', cutOff); return; }
  const age = Math.floor(copy.bornAge + (work.state.now - copy.takenAt) / 1_000);
  const answer: Answer = { status: copy.status, headers: { ...copy.headers, age: String(age), ...spentFields(transaction), ...(transaction.asked.via === null ? {} : { 'reedyard-service': copy.service }), 'reedyard-served': transaction.asked.via === null ? 'copy' : 'partner-copy' }, body: { kind: 'copy', copy } };
  count(work, 'served.copy');
  measured(work, transaction, copy.size, true);
  work.effects.push({ kind: 'answer', id: transaction.id, answer });
  close(work, transaction);
};

const giveUp = (work: Work, transaction: Transaction, reached: 502 | 503 | 504, outcome: Outcome, why: string, retryMs?: number): void => {
  // A 503 says "not run" and nothing else.
  const status = reached === 503 && outcome === 'unknown' ? 502 : reached;
  settle(work, transaction, outcome);
  count(work, 'given-up');
  if (!transaction.callerGone) {
    turnAway(work, transaction.id, status, status === 503 ? 'Not served' : 'No sound answer',
      outcome === 'not-run' ? `It was not run: ${why}.` : `It is not known whether it ran: ${why}.`, {}, outcome, retryMs);
  }
  log(work, 'transaction.given-up', { id: transaction.id, route: transaction.route.name, status, outcome, why, legs: transaction.legs.length });
  close(work, transaction);
  // Its waiters share its fate, but for a caller who left.
  leaderEnded(work, transaction, null, transaction.callerGone ? null : { status, outcome, why });
};

/** A leader's fetch is over: its waiters are answered from it, or go on by themselves. */
const leaderEnded = (work: Work, leader: Transaction, kept: Copy | null, failure: { readonly status: 502 | 503 | 504; readonly outcome: Outcome; readonly why: string } | null): void => {
  if (!leader.leads) return;
  const fetch = work.state.fetches[leader.key];
  if (fetch === undefined || fetch.leader !== leader.id) return;
  const { [leader.key]: _gone, ...rest } = work.state.fetches;
  set(work, { fetches: rest });
  for (const id of fetch.waiters) {
    const waiter = work.state.transactions[id];
    if (waiter === undefined) continue;
    if (failure !== null) { giveUp(work, waiter, failure.status, failure.outcome, failure.why); continue; }
    const current = underPolicy(work, waiter);
    if (current === null) continue;
    const fits = kept !== null && Routes.allows(current.route, kept.service) && keeps(current.route, 'GET') && Object.entries(kept.vary).every(([name, value]) => (headerText(waiter.asked.headers, name) ?? '') === value);
    if (fits && kept !== null) answerCopy(work, current, kept);
    else startAgain(work, current);
  }
};

/** Until when a request is worth serving: its route's limit, or less where its caller waits less. */
const limitOf = (route: Route, asked: Asked, arrivedAt: number): number =>
  arrivedAt + Math.min(route.limits.transactionMs ?? Limits.transaction, asked.deadlineMs ?? Infinity);

/** Whether another attempt adds little to what origins get: those before went to peers alone, which as a rule have a copy. */
const isFree = (transaction: Transaction): boolean => keepsAlways(transaction.route) && transaction.legs.every((leg) => leg.to.kind === 'partner');
const mayTryMore = (work: Work, transaction: Transaction): boolean => (isFree(transaction) || mayRepeat(work.state, transaction.service)) && attemptsLeft(transaction) > 0;

/** Origins that a request may still be sent to, from here or through peers. */
const attemptsLeft = (transaction: Transaction): number => {
  const most = Math.min(transaction.route.limits.attempts ?? Infinity, transaction.asked.attempts ?? Infinity);
  return most === Infinity ? Infinity : most - Tally.spent(transaction.legs);
};

/** What a peer is granted of the attempts left: all but those kept for a retry beside the caller, which also outlives the peer. */
const grantFor = (left: number): number => Math.max(1, left - Weights.attemptsKept);

/** Told to the peer that handed a request on: attempts at origins that were made for it here. */
const spentHeader = 'reedyard-spent';
const spentFields = (transaction: Transaction | undefined): Readonly<Record<string, string>> => {
  const spent = Tally.spent(transaction?.legs ?? []);
  return Number.isFinite(spent) ? { [spentHeader]: String(spent) } : {};
};
const spentAt = (answer: LegAnswer): number | null => {
  const told = headerText(answer.headers, spentHeader);
  return told !== null && /^\d{1,3}$/.test(told) ? Number(told) : null;
};

/** Ends a transaction that provably ran nothing with an answer of the lathe's own. */
const endUnrun = (work: Work, transaction: Transaction, refusal: NonNullable<ReturnType<typeof refusalOf>>): void => {
  settle(work, transaction, 'not-run');
  if (!transaction.callerGone) turnAway(work, transaction.id, refusal.status, refusal.title, refusal.detail, refusal.more);
  close(work, transaction);
  leaderEnded(work, transaction, null, null);
};

/**
 * The policy in force rules at each move: the transaction under the route that it has now. Null once it
 * was ended because that policy lets it go no further: as if it came now where nothing ran, and with an
 * unknown outcome where a leg may have run.
 */
const underPolicy = (work: Work, transaction: Transaction): Transaction | null => {
  const serial = work.state.policy?.serial ?? 0;
  if (transaction.serial === serial) return transaction;
  const route = Routes.find(work.state.routes, transaction.asked.host, transaction.asked.target);
  const refusal = refusalOf(route, transaction.asked);
  if (route !== undefined && refusal === null) {
    return change(work, transaction.id, {
      route, serial, service: drawService(route, transaction.draws.at(-1) ?? 0, transaction.service), safe: isSafe(route, transaction.asked.method), limitAt: limitOf(route, transaction.asked, transaction.arrivedAt),
    }) ?? null;
  }
  if (refusal !== null && Tally.outcomeOf(transaction.legs) === 'not-run') endUnrun(work, transaction, refusal);
  else giveUp(work, transaction, 502, 'unknown', 'a newer policy allows no other attempt');
  return null;
};

const open = (work: Work, transaction: Transaction, to: Target): void => {
  if (lapsed(work)) { giveUp(work, transaction, 503, Tally.outcomeOf(transaction.legs), cutOff); return; }
  const left = attemptsLeft(transaction);
  if (left <= 0) { giveUp(work, transaction, 503, Tally.outcomeOf(transaction.legs), 'its attempts are used up'); return; }
  const granted = to.kind === 'origin' ? 1 : grantFor(left);
  const number = transaction.legs.length;
  const id = to.kind === 'origin' ? originName(to.row) : to.row.id;
  const legLimit = Math.min(transaction.limitAt, work.state.now + (transaction.route.limits.legMs ?? Limits.leg) + (to.kind === 'partner' ? Limits.holding : 0));
  const next = change(work, transaction.id, {
    phase: 'leg',
    legs: [...transaction.legs, { number, to: { kind: to.kind, id }, openedAt: work.state.now, limitAt: legLimit, end: null, granted }],
  });
  if (next === undefined) return;
  if (number > 0) { if (!isFree(transaction)) spendRepeat(work, transaction.service); count(work, 'repeats'); }
  count(work, 'legs', to.kind === 'origin' ? 'legs.origin' : 'legs.partner');
  set(work, { outstanding: { ...work.state.outstanding, [id]: (work.state.outstanding[id] ?? 0) + 1 } });
  work.effects.push({
    kind: 'open', id: transaction.id, leg: number, to, asked: transaction.asked, mark: `${transaction.token}-${number}`, limitMs: legLimit - work.state.now,
    keep: joins(transaction) && to.kind === 'origin', safe: transaction.safe, attempts: granted, sendBy: work.state.lease,
  });
};

/** An attempt at an origin, if the slice has a token now and an instance room; else a short holding, or the final answer at once. */
const legToOrigin = (work: Work, transaction: Transaction): void => {
  const { service } = transaction;
  const ranked = rankOrigins(work.state, transaction, work.state.replyBytes[transaction.route.name] ?? 0);
  if (ranked.length === 0) { giveUp(work, transaction, 503, Tally.outcomeOf(transaction.legs), `no instance of ${service} can be reached`, Limits.retrySoon); return; }
  const rate = work.state.feed?.slices[service] ?? 0;
  const bucket = `service/${service}`;
  const withRoom = ranked.filter((row) => (work.state.outstanding[originName(row)] ?? 0) < roomAt(work.state, row));
  if (withRoom.length > 0 && takeToken(work, bucket, rate)) {
    const chosenRow = withRoom.find((row) => takeToken(work, `instance/${originName(row)}`, row.rate));
    if (chosenRow !== undefined) { open(work, transaction, { kind: 'origin', row: chosenRow }); return; }
    giveBack(work, bucket);
  }
  const ahead = Object.values(work.state.transactions).filter((each) => each.phase === 'holding' && each.service === service && each.id !== transaction.id).length;
  const wait = Math.max(waitFor(work.state, bucket, rate, ahead), Math.min(...ranked.map((row) => waitFor(work.state, `instance/${originName(row)}`, row.rate, 0))));
  const heldAt = transaction.phase === 'holding' ? transaction.heldAt : work.state.now;
  if (work.state.now + (transaction.phase === 'holding' ? 0 : wait) - heldAt > holdingOf(transaction) || work.state.now >= transaction.limitAt) {
    giveUp(work, transaction, 503, Tally.outcomeOf(transaction.legs), `the share of ${service} is used up`, Number.isFinite(wait) ? Math.max(Limits.retrySoon, wait) : undefined);
    return;
  }
  if (transaction.phase !== 'holding') { count(work, 'held'); change(work, transaction.id, { phase: 'holding', heldAt }); }
};

/** ms that a request may wait for its turn: a refusal must leave time for another try within its target. */
const holdingOf = (transaction: Transaction): number =>
  Math.min(Limits.holding, (transaction.route.targetMs ?? Infinity) * Weights.holdingShare);

/** This edge serves: from a copy, by joining a fetch under way, or by a leg of its own. */
const serveHere = (work: Work, transaction: Transaction): void => {
  if (keeps(transaction.route, transaction.asked.method)) {
    const copy = Sieve.find(work.state.sieve, transaction.key, transaction.asked.headers, work.state.now);
    if (copy !== undefined && work.state.now < lifeEnd(transaction.route, work.state, copy)) {
      set(work, { sieve: Sieve.touch(work.state.sieve, transaction.key) });
      answerCopy(work, transaction, copy);
      return;
    }
  }
  if (joins(transaction) && transaction.legs.length === 0 && (work.state.unkept[transaction.key] ?? 0) <= work.state.now) {
    const fetch = work.state.fetches[transaction.key];
    if (fetch !== undefined && !fetch.closed) {
      change(work, transaction.id, { phase: 'joined' });
      set(work, { fetches: { ...work.state.fetches, [transaction.key]: { ...fetch, waiters: [...fetch.waiters, transaction.id] } } });
      count(work, 'joined');
      return;
    }
    if (fetch === undefined) {
      const leader = change(work, transaction.id, { leads: true });
      set(work, { fetches: { ...work.state.fetches, [transaction.key]: { leader: transaction.id, waiters: [], closed: false } } });
      if (leader !== undefined) fetchHere(work, leader);
      return;
    }
  }
  fetchHere(work, transaction);
};

const want = (work: Work, service: string): void => {
  const { wanted } = work.state;
  set(work, { wanted: { ...wanted, counts: { ...wanted.counts, [service]: (wanted.counts[service] ?? 0) + 1 } } });
};

const fetchHere = (work: Work, transaction: Transaction): void => {
  want(work, transaction.service);
  legToOrigin(work, transaction);
};

/** First leg: the policy's draw says who serves. */
const start = (work: Work, given: Transaction): void => {
  const transaction = underPolicy(work, given);
  if (transaction === null) return;
  // A copy that lies here costs nothing to reach.
  const here = keepsAlways(transaction.route) && Sieve.find(work.state.sieve, transaction.key, transaction.asked.headers, work.state.now) !== undefined;
  const server = here && atHome(transaction.route.homes, work.state.self.region) ? 'self' : drawServer(work.state, transaction);
  if (server === null) { giveUp(work, transaction, 503, 'not-run', 'no node that may serve it can be reached'); return; }
  if (server === 'self') { serveHere(work, transaction); return; }
  open(work, transaction, { kind: 'partner', row: server });
};

/** A later move: itself where it may, else another partner. */
const startAgain = (work: Work, given: Transaction): void => {
  const transaction = underPolicy(work, given);
  if (transaction === null) return;
  if (atHome(transaction.route.homes, work.state.self.region)) { serveHere(work, transaction); return; }
  const partner = transaction.asked.via === null ? allowedPartners(work.state, transaction)[0] : undefined;
  if (partner === undefined) giveUp(work, transaction, 503, Tally.outcomeOf(transaction.legs), 'no other node that may serve it can be reached');
  else open(work, transaction, { kind: 'partner', row: partner });
};

const mayServe = (work: Work, id: number, via: string | null): boolean => {
  const { state } = work;
  if (state.stoppingAt !== null && state.now - state.stoppingAt > Limits.leaveGrace) { turnAway(work, id, 503, 'Leaving', 'This node is leaving.', { connection: 'close' }); return false; }
  if (state.now >= state.lease || state.policy === null || state.feed === null) { turnAway(work, id, 503, 'Not ready', 'This node is cut off from the control state.'); return false; }
  if (via === null && state.emptiedAt !== null && state.now - state.emptiedAt > Limits.emptyGrace) { turnAway(work, id, 503, 'Hall emptied', 'This hall is emptied.', { connection: 'close' }); return false; }
  return true;
};

const arrived = (work: Work, id: number, asked: Asked, draws: readonly number[], token: string): void => {
  const { state } = work;
  count(work, asked.via === null ? 'transactions' : 'transactions.partner');
  if (!mayServe(work, id, asked.via)) return;
  const route = Routes.find(state.routes, asked.host, asked.target);
  const refusal = refusalOf(route, asked);
  if (route === undefined || refusal !== null) { if (refusal !== null) turnAway(work, id, refusal.status, refusal.title, refusal.detail, refusal.more); return; }
  if (Object.keys(state.transactions).length >= Sizes.transactions) { turnAway(work, id, 503, 'Too busy', 'Too many transactions are under way here.'); return; }
  const safe = isSafe(route, asked.method);
  const callerKey = safe || route.repeat === 'never' || asked.via !== null ? null : headerText(asked.headers, 'idempotency-key');
  const transaction: Transaction = {
    id, asked, route, serial: state.policy?.serial ?? 0, service: drawService(route, draws.at(-1) ?? 0), safe, key: Sieve.key(asked.host, asked.target), arrivedAt: state.now, limitAt: limitOf(route, asked, state.now),
    draws, token, claimKey: callerKey === null ? null : Sieve.key(asked.host, `/${callerKey}`), legs: [],
    phase: callerKey === null ? 'leg' : 'claiming', heldAt: 0, leads: false, callerGone: false,
  };
  set(work, { transactions: { ...state.transactions, [id]: transaction } });
  // A forwarded request earned its repeat where its caller came to.
  if (asked.via === null) earnRepeat(work, transaction.service);
  if (transaction.claimKey !== null) work.effects.push({ kind: 'ask', id, call: { kind: 'claim', key: transaction.claimKey, token, life: state.self.life, digest: asked.digest ?? '' } });
  else start(work, transaction);
};

const claimed = (work: Work, id: number, reply: ClaimReply): void => {
  const transaction = work.state.transactions[id];
  if (transaction === undefined || transaction.phase !== 'claiming') return;
  if (reply.kind === 'granted') {
    const held = change(work, id, { phase: 'leg' });
    if (held === undefined) return;
    if (held.callerGone) giveUp(work, held, 503, 'not-run', 'its caller left');
    else start(work, held);
    return;
  }
  if (reply.kind === 'unreached') { giveUp(work, transaction, 503, 'not-run', 'its key could not be claimed'); return; }
  if (reply.kind === 'other') {
    count(work, 'claims.other', 'status.422');
    work.effects.push({ kind: 'answer', id, answer: {
      status: 422, headers: { 'reedyard-outcome': 'not-run' },
      body: { kind: 'problem', title: 'Key of another request', detail: 'Another request was sent with this key: another method, target or body. This one was not run.', outcome: 'not-run' },
    } });
    close(work, transaction);
    return;
  }
  const known = reply.state === 'pending' ? 'in-progress' : reply.state;
  count(work, 'claims.taken', 'status.409');
  work.effects.push({ kind: 'answer', id, answer: {
    status: 409, headers: { 'reedyard-outcome': known, ...(known === 'in-progress' ? { 'retry-after': String(Limits.retryAfterSeconds) } : {}) },
    body: { kind: 'problem', title: 'Key already used', detail: `A request with this key was sent before; its outcome is: ${known}. It is not run again.`, outcome: known },
  } });
  close(work, transaction);
};

const endLeg = (work: Work, transaction: Transaction, number: number, end: LegEnd): Transaction | undefined => {
  const leg = transaction.legs[number];
  if (leg === undefined || leg.end !== null) return undefined;
  const under = (work.state.outstanding[leg.to.id] ?? 1) - 1;
  const { [leg.to.id]: _gone, ...others } = work.state.outstanding;
  set(work, { outstanding: under > 0 ? { ...others, [leg.to.id]: under } : others });
  return change(work, transaction.id, { legs: transaction.legs.map((each) => (each.number === number ? { ...each, end } : each)) });
};

const derive = (work: Work, transaction: Transaction): void => {
  if (transaction.phase === 'over') { if (transaction.legs.every((leg) => leg.end !== null)) forget(work, transaction); return; }
  const { legs, safe, limitAt } = transaction;
  const move = Tally.next({ safe, legs, now: work.state.now, limitAt, mayRepeat: mayTryMore(work, transaction) });
  if (transaction.callerGone && move.kind === 'open') { giveUp(work, transaction, 503, Tally.outcomeOf(transaction.legs), 'its caller left'); return; }
  if (move.kind === 'open') startAgain(work, transaction);
  else if (move.kind === 'give-up') giveUp(work, transaction, move.status, move.outcome, move.why);
};

const failed = (work: Work, id: number, number: number, sent: Sent, why: string): void => {
  const transaction = work.state.transactions[id];
  if (transaction === undefined) return;
  const ended = endLeg(work, transaction, number, { kind: 'failed', sent, why });
  if (ended === undefined) return;
  const name = ended.legs[number]?.to.id ?? '';
  if (why !== 'purged' && why !== 'lease') suspectFor(work, name);
  count(work, `leg-failed.${why}`);
  log(work, 'leg.failed', { id, leg: number, to: name, sent, why });
  derive(work, ended);
};

/** Why an answer can't be passed on, or null if it is sound. */
const unsound = (transaction: Transaction, number: number, answer: LegAnswer, routes: RouteTable): string | null => {
  const leg = transaction.legs[number];
  if (leg === undefined) return 'unknown leg';
  if (answer.proof !== undefined) return answer.proof.unsound;
  if (headerText(answer.headers, 'reedyard-leg') !== `${transaction.token}-${number}`) return 'foreign';
  const stamp = headerText(answer.headers, 'reedyard-stamp');
  if (leg.to.kind === 'origin') return stamp === leg.to.id ? null : 'stamp';
  const notServed = answer.status >= 400 && headerText(answer.headers, 'reedyard-outcome') !== null;
  const madeBy = headerText(answer.headers, 'reedyard-service');
  // The partner may have served under a newer policy than the one that the leg was made under.
  const newer = Routes.find(routes, transaction.asked.host, transaction.asked.target);
  const services = [...Routes.services(transaction.route), ...(newer === undefined ? [] : Routes.services(newer))];
  return notServed || services.some(({ service }) => madeBy === service || stamp?.startsWith(`${service}/`) === true) ? null : 'stamp';
};

/** An origin's own word, under a dialect that tells what did not run by a field: its 502 or 504 is its answer and is passed on. */
const passedOn = (answer: LegAnswer): boolean => answer.proof !== undefined && !answer.proof.notRun && (answer.status === 502 || answer.status === 504);

const answered = (work: Work, id: number, number: number, answer: LegAnswer): void => {
  const transaction = work.state.transactions[id];
  const leg = transaction?.legs[number];
  if (transaction === undefined || leg === undefined || leg.end !== null) return;
  const { state } = work;
  const bad = unsound(transaction, number, answer, state.routes);
  if (bad !== null) { work.effects.push({ kind: 'abort', id, leg: number }); failed(work, id, number, 'maybe', bad); return; }
  const { safe } = transaction;
  const tags = Sieve.tags(answer.headers, transaction.route.tagsHeader);
  const purgedAt = keeps(transaction.route, transaction.asked.method) ? Sieve.purgedSince(state.sieve, transaction.key, tags, leg.openedAt) : null;
  // It may be what a purge was meant to take away, and the time for that is nearly over, or such a
  // purge can't have been heard of: what only reads is then not passed on.
  const doubtful = safe && lapsed(work) ? 'lease' : purgedAt !== null && state.now - purgedAt > 250 ? 'purged' : null;
  if (doubtful !== null && transaction.phase !== 'over') {
    work.effects.push({ kind: 'abort', id, leg: number });
    failed(work, id, number, 'maybe', doubtful);
    return;
  }
  if (answer.proof?.misdirected === true) { work.effects.push({ kind: 'abort', id, leg: number }); failed(work, id, number, 'nothing', 'identity'); return; }
  const notRun = answer.proof?.notRun ?? (headerText(answer.headers, 'reedyard-outcome') === 'not-run' && answer.status === 503);
  const turnedAway = notRun || answer.status === 408 || answer.status === 421 || answer.status === 429 || answer.status === 502 || answer.status === 503 || answer.status === 504;
  const mayTryAgain = safe && leg.to.kind === 'origin' && answer.status >= 500 && mayRepeat(state, transaction.service) && attemptsLeft(transaction) > 0 && state.now < transaction.limitAt;
  // A word of being turned away is passed on for an unsafe request only where it is proved.
  const final = (!turnedAway || (safe && answer.status === 429 && answer.proof === undefined) || passedOn(answer)) && !mayTryAgain;
  const ended = endLeg(work, transaction, number, { kind: 'answered', status: answer.status, final, notRun, spent: leg.to.kind === 'partner' ? spentAt(answer) : null });
  if (ended === undefined) return;
  if (!notRun) tookStanding(work, leg.to.id, state.now - leg.openedAt, answer.proof);
  if (leg.to.kind === 'origin' && notRun) restFor(work, leg.to.id);
  // What is read whole leaves its conn ready for the next.
  const drop = (): void => { if (!answer.whole) work.effects.push({ kind: 'abort', id, leg: number }); };
  if (transaction.phase === 'over') { drop(); derive(work, ended); return; }
  if (!final) {
    drop();
    if (leg.to.kind === 'partner' && notRun) suspectFor(work, leg.to.id);
    derive(work, ended);
    return;
  }
  const fromOrigin = leg.to.kind === 'origin';
  const legMs = state.now - leg.openedAt;
  if (fromOrigin) { const name = transaction.route.name; const old = state.replyBytes[name]; set(work, { replyBytes: { ...work.state.replyBytes, [name]: old === undefined ? answer.size : old + Weights.standingGain * (answer.size - old) } }); }
  if (fromOrigin) { count(work, 'fetched'); const { period } = work.state; set(work, { period: { ...period, legMs: period.legMs + legMs, fetched: period.fetched + 1 } }); } else count(work, 'forwarded');
  const copy = fromOrigin ? copyOf(work, transaction, leg, answer, tags, purgedAt) : null;
  if (copy !== null) set(work, { sieve: Sieve.keep(work.state.sieve, copy) });
  else if (transaction.leads) set(work, { unkept: { ...Object.fromEntries(Object.entries(work.state.unkept).filter(([, until]) => until > state.now)), [transaction.key]: state.now + 5_000 } });
  settle(work, ended, answer.status < 500 ? 'ran' : 'unknown');
  measured(work, transaction, answer.size, fromOrigin);
  count(work, `status.${answer.status}`);
  if (!transaction.callerGone) {
    work.effects.push({ kind: 'answer', id, answer: {
      status: answer.status,
      headers: {
        ...answer.headers, ...spentFields(ended), ...(transaction.asked.via === null ? {} : { 'reedyard-service': fromOrigin ? serviceOf(leg) : transaction.service }), 'reedyard-served': fromOrigin ? (transaction.asked.via === null ? 'origin' : 'partner-origin') : 'partner',
        ...(safe ? {} : { 'reedyard-outcome': answer.status < 500 ? 'ran' : 'unknown' }),
      },
      body: { kind: 'leg', answer },
    } });
  } else drop();
  close(work, ended);
  leaderEnded(work, ended, copy, null);
};

/** The service that an attempt went to: the request's own may have been drawn anew since, under a newer policy. */
const serviceOf = (leg: Leg): string => leg.to.id.slice(0, leg.to.id.indexOf('/'));

/** What is kept of an answer: only as the route in force now has it, and only if its service is still that one. */
const copyOf = (work: Work, transaction: Transaction, leg: Leg, answer: LegAnswer, tags: readonly string[], purgedAt: number | null): Copy | null => {
  const { state } = work;
  if (transaction.asked.method !== 'GET' || !answer.whole || answer.status === 206 || purgedAt !== null) return null;
  const route = Routes.find(state.routes, transaction.asked.host, transaction.asked.target);
  const legMs = state.now - leg.openedAt;
  const life = route !== undefined && keepsAlways(route) ? (answer.status === 200 ? (route.cache.mostSeconds ?? 0) * 1_000 : 0)
    : Sieve.life({ method: 'GET', url: transaction.asked.target, headers: transaction.asked.headers }, answer, legMs);
  const { ['reedyard-leg']: _mark, ...headers } = answer.headers;
  const copy: Copy = {
    key: transaction.key, service: serviceOf(leg), status: answer.status, headers, body: answer.body, size: answer.size, tags,
    vary: Sieve.vary(answer.headers, transaction.asked.headers), takenAt: state.now, freshUntil: state.now + life,
    bornAge: route !== undefined && keepsAlways(route) ? 0 : Number(headerText(answer.headers, 'age') ?? 0) + legMs / 1_000,
  };
  return life > 0 && state.now < lifeEnd(route, state, copy) ? copy : null;
};

/** ms. Until when a route lets a copy live here, whatever its origin allows. */
const lifeEnd = (route: Route | undefined, state: LatheState, copy: Copy): number =>
  route === undefined || !Routes.allows(route, copy.service) || !keeps(route, 'GET') || !atHome(route.homes, state.self.region) ? 0
    : route.cache.mostSeconds === undefined ? Infinity : copy.takenAt + (route.cache.mostSeconds - copy.bornAge) * 1_000;

const fed = (work: Work, feed: Feed, askedAt: number): void => {
  const { state } = work;
  const policy = feed.policy ?? state.policy;
  if (policy !== null && policy.serial < (state.policy?.serial ?? 0)) { log(work, 'policy.older', { serial: policy.serial }); return; }
  const gone = state.life !== '' && (feed.life !== state.life || feed.flushes !== state.flushes || askedAt - state.fedAt > Limits.fact / 2);
  if (gone) log(work, 'copies.flushed', { why: feed.life !== state.life ? 'jig restarted' : 'was away' });
  let sieve = gone ? Sieve.flush(state.sieve) : state.sieve;
  for (const { purge } of feed.purges) sieve = Sieve.purge(sieve, purge, state.now);
  const routes = policy === state.policy || policy === null ? state.routes : Routes.table(policy.document.routes);
  if (policy !== state.policy) {
    log(work, 'policy.in-force', { serial: policy?.serial ?? 0 });
    const table = routes;
    sieve = Sieve.dropWhere(sieve, (copy) => state.now >= lifeEnd(Routes.find(table, ...Sieve.place(copy.key)), state, copy));
  }
  const emptied = feed.emptied.includes(state.self.hall);
  set(work, {
    holders: feed.split === state.feed?.split ? state.holders : holdersOf(feed.split),
    feed: { ...feed, policy: null, purges: [] }, life: feed.life, flushes: feed.flushes, fedAt: askedAt, purgeSeq: feed.purgeSeq, sieve,
    lease: feed.leaseMs > 0 ? Math.max(state.lease, askedAt + feed.leaseMs) : state.lease, policy,
    routes, abroad: state.abroad || feed.partners.some((row) => row.region !== state.self.region),
    emptiedAt: emptied ? state.emptiedAt ?? state.now : null,
    // Nobody joins a fetch that was begun before a purge or under an older policy.
    fetches: feed.purges.length > 0 || gone || policy !== state.policy ? Object.fromEntries(Object.entries(state.fetches).map(([key, fetch]) => [key, { ...fetch, closed: true }])) : state.fetches,
  });
};

/** Closes a period of measuring: what the own callers asked for, object by object for the busiest. */
const measure = (work: Work): Measure | null => {
  const { state } = work;
  const { period } = state;
  const ms = state.now - period.since;
  if (ms < Beats.measure) return null;
  const perSecond = 1_000 / ms;
  const entries = Object.entries(period.bits).sort(([, a], [, b]) => b - a);
  const demand: Record<string, number> = {};
  entries.forEach(([key, bits], index) => {
    const to = index < Sizes.busyObjects ? key : key.split(' ', 1)[0] ?? key;
    demand[to] = (demand[to] ?? 0) + bits * perSecond;
  });
  const hosts = new Map((state.policy?.document.routes ?? []).map((route) => [route.name, route.host]));
  const copies = Object.keys(demand).filter((key) => {
    const cut = key.indexOf(' ');
    return cut > 0 && Sieve.find(state.sieve, Sieve.key(hosts.get(key.slice(0, cut)) ?? '', key.slice(cut + 1)), {}, state.now) !== undefined;
  });
  set(work, {
    period: { since: state.now, bits: {}, servedBits: 0, replies: 0, legMs: 0, fetched: 0 },
    sieve: Sieve.dropWhere(state.sieve, (copy) => state.now >= copy.freshUntil),
  });
  const allBits = entries.reduce((sum, [, bits]) => sum + bits, 0);
  return {
    demand, copies, servedBps: period.servedBits * perSecond, meanReplyBits: period.replies > 0 ? Math.max(allBits, period.servedBits) / period.replies : 0,
    fetchSeconds: period.fetched > 0 ? period.legMs / period.fetched / 1_000 : 0,
  };
};

/** What was wanted in the last beat counts half, what was known before the other half. */
const renewWants = (work: Work): void => {
  const { wants, wanted, now } = work.state;
  const ms = now - wanted.since;
  if (ms < Beats.wants) return;
  const services = new Set([...Object.keys(wants), ...Object.keys(wanted.counts)]);
  set(work, {
    wanted: { since: now, counts: {} },
    wants: Object.fromEntries([...services].map((service) => [service, 0.5 * (wants[service] ?? 0) + (0.5 * (wanted.counts[service] ?? 0) * 1_000) / ms])),
  });
};

const question = (work: Work): void => {
  renewWants(work);
  const measurement = measure(work);
  const { state } = work;
  const report: Report = {
    policySerial: state.policy?.serial ?? 0, life: state.life, latheLife: state.self.life, purgeSeq: state.purgeSeq, stopping: state.stoppingAt !== null, wants: state.wants, measure: measurement,
    counters: { ...state.counters, underWay: Object.keys(state.transactions).length, copies: state.sieve.copies.size, copyBytes: state.sieve.bytes },
  };
  work.effects.push({ kind: 'question', report });
};

const left = (work: Work, id: number): void => {
  const transaction = change(work, id, { callerGone: true });
  // A leg that others wait for, or that may have run, is let finish; only safe ones alone are dropped.
  if (transaction === undefined || !transaction.safe || transaction.leads || transaction.phase !== 'leg') return;
  const live = transaction.legs.filter((leg) => leg.end === null);
  if (live.length === 0) return;
  let ended = transaction;
  for (const leg of live) {
    work.effects.push({ kind: 'abort', id, leg: leg.number });
    ended = endLeg(work, ended, leg.number, { kind: 'failed', sent: 'maybe', why: 'caller' }) ?? ended;
  }
  close(work, ended);
};

/** ms after which an attempt counts as silent: a few times what its other end usually takes, and early enough for a second one. */
const silentAfter = (state: LatheState, transaction: Transaction): number => {
  const rows = (state.feed?.origins ?? []).filter((row) => row.service === transaction.service);
  const mean = meanMs(state, rows);
  const to = transaction.legs.find((leg) => leg.end === null)?.to.id;
  const row = rows.find((each) => originName(each) === to);
  const met = row === undefined ? mean : answerMs(state, row, mean);
  const usual = met > 0 ? met : (transaction.route.targetMs ?? 0) * Weights.silentShare;
  return Math.min(Math.max(Limits.leastSilence, Weights.silentTimes * usual), Weights.silentShare * (transaction.limitAt - transaction.arrivedAt));
};

/** Looks after one request's attempts that are under way: those over their limit, stalled origins, and a second attempt beside a silent one. */
const tendLegs = (work: Work, transaction: Transaction): void => {
  const { now } = work.state;
  for (const leg of transaction.legs) {
    if (leg.end !== null) continue;
    if (now >= leg.limitAt) {
      work.effects.push({ kind: 'abort', id: transaction.id, leg: leg.number });
      failed(work, transaction.id, leg.number, 'maybe', 'limit');
      continue;
    }
    if (now - leg.openedAt < Limits.stalled) continue;
    const standing = work.state.standings[leg.to.id];
    const heard = standing !== undefined && standing.heardAt >= leg.openedAt;
    if (!heard && now - leg.openedAt > Weights.stalledTimes * (standing?.ms ?? 0) && (work.state.suspects[leg.to.id] ?? 0) <= now) { count(work, 'stalled'); suspectFor(work, leg.to.id); }
  }
  const current = work.state.transactions[transaction.id];
  if (current === undefined || current.phase !== 'leg' || current.callerGone || lapsed(work)) return;
  const may = mayTryMore(work, current);
  if (!may || !current.safe || current.legs.filter((leg) => leg.end === null).length !== 1) return;
  if (!Tally.mayHedge({ safe: current.safe, legs: current.legs, now, limitAt: current.limitAt, mayRepeat: may, silentMs: silentAfter(work.state, current) })) return;
  const given = underPolicy(work, current);
  if (given === null) return;
  if (!atHome(given.route.homes, work.state.self.region)) {
    const [partner] = given.asked.via === null ? allowedPartners(work.state, given) : [];
    if (partner !== undefined) { count(work, 'hedged'); open(work, given, { kind: 'partner', row: partner }); }
    return;
  }
  const ranked = rankOrigins(work.state, given, work.state.replyBytes[given.route.name] ?? 0).filter((row) => !given.legs.some((leg) => leg.to.id === originName(row)) && (work.state.outstanding[originName(row)] ?? 0) < roomAt(work.state, row));
  const [row] = ranked;
  if (row === undefined || !takeToken(work, `service/${given.service}`, work.state.feed?.slices[given.service] ?? 0)) return;
  if (!takeToken(work, `instance/${originName(row)}`, row.rate)) { giveBack(work, `service/${given.service}`); return; }
  count(work, 'hedged');
  open(work, given, { kind: 'origin', row });
};

const beat = (work: Work): void => {
  const { abroad, now, lease, sieve } = work.state;
  if (abroad && now - lease > Limits.unknowing && sieve.copies.size > 0) {
    set(work, { sieve: Sieve.flush(sieve) });
    log(work, 'copies.flushed', { why: 'homes may have moved' });
  }
  for (const transaction of Object.values(work.state.transactions)) {
    if (work.state.transactions[transaction.id] === undefined) continue;
    if (transaction.phase === 'holding') {
      // Under a newer policy it may be another's to serve, or another service's.
      if (transaction.serial !== (work.state.policy?.serial ?? 0)) startAgain(work, transaction); else legToOrigin(work, transaction);
      continue;
    }
    if (transaction.phase === 'leg' || transaction.phase === 'over') {
      tendLegs(work, transaction);
    } else if (transaction.phase === 'joined' && work.state.now >= transaction.limitAt) giveUp(work, transaction, 504, 'unknown', 'limit');
    else if (transaction.phase === 'claiming' && work.state.now >= transaction.limitAt) giveUp(work, transaction, 503, 'not-run', 'its key could not be claimed in time');
  }
};

export const Lathe = {
  /** @example Lathe.open({ id: 'front-1', hall: 'a', region: 'eu', capacityBps: 8e7, life: 'l1' }, 0).lease // 0: nothing is served yet */
  open: (self: LatheState['self'], now: number): LatheState => ({
    self, now, lease: 0, life: '', flushes: 0, fedAt: now, purgeSeq: 0, policy: null, routes: new Map(), feed: null, holders: {}, emptiedAt: null, sieve: Sieve.empty, abroad: false,
    transactions: {}, fetches: {}, unkept: {}, buckets: {}, repeats: {}, suspects: {}, outstanding: {}, standings: {}, replyBytes: {}, stoppingAt: null, counters: {},
    period: { since: now, bits: {}, servedBits: 0, replies: 0, legMs: 0, fetched: 0 }, wants: {}, wanted: { since: now, counts: {} },
  }),

  /** Whether the platform may send callers here. @example Lathe.ready(state, 5) // false */
  ready: (state: LatheState, now: number): boolean => now < state.lease && state.policy !== null && state.stoppingAt === null && state.emptiedAt === null && state.feed?.seated === true,

  /** @example Lathe.reduce(state, { kind: 'beat', now: 25 }).effects */
  reduce: (state: LatheState, event: LatheEvent): Step<LatheState, LatheEffect> => {
    const work: Work = { state: { ...state, now: Math.max(state.now, event.now) }, effects: [] };
    switch (event.kind) {
      case 'arrived': arrived(work, event.id, event.asked, event.draws, event.token); break;
      case 'answered': answered(work, event.id, event.leg, event.answer); break;
      case 'failed': failed(work, event.id, event.leg, event.sent, event.why); break;
      case 'claimed': claimed(work, event.id, event.reply); break;
      case 'left': left(work, event.id); break;
      case 'fed': fed(work, event.feed, event.askedAt); break;
      case 'ask': question(work); break;
      case 'beat': beat(work); break;
      case 'stop': set(work, { stoppingAt: state.stoppingAt ?? work.state.now }); break;
    }
    return { state: work.state, effects: work.effects };
  },
} as const;
