/** The agent's reducer: takes each event to the module that it is about. */
import { compareDigest, pickUpdates, sampleView, shuffleView } from '@reedyard/gossip';
import type { ReplicaReply } from '@reedyard/replica';
import type { Step } from '@reedyard/task-loop';
import { operator } from './api/api-actions.js';
import { noLeasePollIntervalMs, pollIntervalMs, renewLease } from './control/lease.js';
import {
  handleLookUpReply,
  handlePollFailure,
  handlePollReply,
  handleRegisterRead,
  handleRestoreReply,
  pollAll,
  pollEarly,
} from './control/polling.js';
import { logLeaseLost, recordReplicaReply } from './control/reachability.js';
import { expireState } from './expiry.js';
import { handleProxyRequest } from './feed/feed.js';
import {
  exchangeGossip,
  gossipIntervalMs,
  isJoining,
  learnRecords,
} from './gossip/gossip-exchange.js';
import { publishHeartbeat, heartbeatIntervalMs } from './gossip/node-record.js';
import { pollOwnReplica, maintainMembership } from './membership/membership.js';
import type { AgentEffect, AgentEvent, AgentReply, AgentRequest } from './messages.js';
import { recordLearntRevisions } from './proposals/change-ids.js';
import { handleAppendReply, maintainAppends } from './proposals/journal-appends.js';
import { abandonClient, handleVoteReply, maintainProposals } from './proposals/proposals.js';
import { allocationIntervalMs, maintainQuotaLeadership } from './quota/quota-leadership.js';
import { handlePingReply, pingPeers, pingRoundIntervalMs } from './routing/peer-delays.js';
import { computeRoutingTable } from './routing/routing-table.js';
import type { AgentState } from './state.js';
import { omitKey } from './omit-key.js';
import { recordTick } from './tick-delay.js';
import { sendToAgent, type Transition, update } from './transition.js';

type ExchangeCall = Extract<AgentRequest, { kind: 'exchange' }>;

const answerExchange = (transition: Transition, { exchange }: ExchangeCall): AgentReply => {
  const { from, digest, sample } = exchange;
  const { self, gossip, now } = transition.state;
  const mine = sampleView(gossip.view, { id: self.id, address: self.address }, (now % 97) / 97);
  const compared = compareDigest(gossip, digest);
  const view = shuffleView(gossip.view, self.id, [...sample, { ...from, age: 0 }], mine);
  update(transition, { gossip: { ...gossip, view } });
  return { kind: 'exchanged', exchanged: { ...compared, sample: mine } };
};

const handleAgentRequest = (transition: Transition, id: number, body: AgentRequest): void => {
  const tell = (reply: AgentReply): void => {
    transition.effects.push({ kind: 'send-reply', requestId: id, reply: reply });
  };
  switch (body.kind) {
    case 'ping':
      tell({ kind: 'ok' });
      return;
    case 'push':
      learnRecords(transition, body.tellings);
      tell({ kind: 'ok' });
      return;
    case 'exchange':
      tell(answerExchange(transition, body));
      return;
  }
};

const handleExchangeReply = (transition: Transition, to: string, reply: AgentReply): void => {
  if (reply.kind !== 'exchanged') return;
  learnRecords(transition, reply.exchanged.newer);
  const { self, gossip } = transition.state;
  const view = shuffleView(gossip.view, self.id, reply.exchanged.sample, []);
  update(transition, { gossip: { ...gossip, view } });
  const wanted = pickUpdates(transition.state.gossip, reply.exchanged.wants);
  if (Object.keys(wanted).length > 0)
    sendToAgent(transition, to, { kind: 'push', tellings: wanted }, { kind: 'push' });
};

const handleReply = (transition: Transition, id: number, body: ReplicaReply | AgentReply): void => {
  const pending = transition.state.pendingRequests[id];
  if (pending === undefined) return;
  update(transition, { pendingRequests: omitKey(transition.state.pendingRequests, id) });
  if ('replica' in pending) recordReplicaReply(transition, pending.replica);
  switch (pending.kind) {
    case 'poll':
      handlePollReply(transition, pending.replica, pending.sentAt, body as ReplicaReply);
      return;
    case 'look-up':
      handleLookUpReply(transition, pending.address, body as ReplicaReply);
      return;
    case 'read-register':
      handleRegisterRead(transition, pending.key, body as ReplicaReply);
      return;
    case 'vote':
      handleVoteReply(
        transition,
        pending.key,
        pending.replica,
        pending.phase,
        pending.proposalNumber,
        body as ReplicaReply,
      );
      return;
    case 'append-entries':
      handleAppendReply(transition, pending.appendId, pending.replica, body as ReplicaReply);
      return;
    case 'ping':
      handlePingReply(transition, pending.peerId, (transition.state.now - pending.sentAt) / 1_000);
      return;
    case 'push':
      return;
    case 'restore':
      handleRestoreReply(
        transition,
        pending.replica,
        pending.epoch,
        pending.restoredCount,
        body as ReplicaReply,
      );
      return;
    case 'exchange':
      handleExchangeReply(transition, pending.to, body as AgentReply);
      return;
  }
};

const handleFailure = (transition: Transition, id: number): void => {
  const pending = transition.state.pendingRequests[id];
  if (pending === undefined) return;
  update(transition, { pendingRequests: omitKey(transition.state.pendingRequests, id) });
  if (pending.kind === 'poll') handlePollFailure(transition, pending.replica);
  if (pending.kind === 'exchange' && pending.peer !== null) {
    const { gossip } = transition.state;
    const view = gossip.view.filter((each) => each.id !== pending.peer);
    update(transition, { gossip: { ...gossip, view } });
  }
};

const tick = (transition: Transition): void => {
  const { now } = transition.state;
  const due = (name: keyof AgentState['nextDueAt'], every: number, act: () => void): void => {
    if (now < transition.state.nextDueAt[name]) return;
    update(transition, { nextDueAt: { ...transition.state.nextDueAt, [name]: now + every } });
    act();
  };
  const { lastTickAt: beatAt } = transition.state;
  recordTick(transition);
  logLeaseLost(transition, beatAt);
  recordLearntRevisions(transition);
  maintainProposals(transition);
  maintainAppends(transition);
  due('pull', pollIntervalMs(transition.state), () => {
    pollAll(transition);
    if (transition.state.self.replica === null) maintainMembership(transition);
  });
  pollOwnReplica(transition);
  if (transition.state.self.replica !== null) maintainMembership(transition);
  pollEarly(transition);
  due('heartbeat', heartbeatIntervalMs, () => publishHeartbeat(transition));
  due('gossip', isJoining(transition.state) ? noLeasePollIntervalMs : gossipIntervalMs, () =>
    exchangeGossip(transition),
  );
  due('ping', pingRoundIntervalMs, () => pingPeers(transition));
  due('sweep', heartbeatIntervalMs, () => expireState(transition));
  due('division', allocationIntervalMs, () => maintainQuotaLeadership(transition));
  computeRoutingTable(transition);
  renewLease(transition);
};

/**
 * The state after an event, and what is to be done outside, in order.
 *
 * @example
 * reduceAgent(state, { kind: 'tick', now: 50 }).effects
 */
export const reduceAgent = (
  state: AgentState,
  event: AgentEvent,
): Step<AgentState, AgentEffect> => {
  const transition: Transition = {
    state: { ...state, now: Math.max(state.now, event.now) },
    effects: [],
  };
  switch (event.kind) {
    case 'tick':
      tick(transition);
      break;
    case 'agent-request-received':
      handleAgentRequest(transition, event.requestId, event.request);
      break;
    case 'proxy-request-received':
      handleProxyRequest(transition, event.requestId, event.request);
      break;
    case 'action-received':
      operator(transition, event.requestId, event.action);
      break;
    case 'reply-received':
      handleReply(transition, event.requestId, event.reply);
      break;
    case 'request-failed':
      handleFailure(transition, event.requestId);
      break;
    case 'caller-disconnected':
      abandonClient(transition, event.requestId);
      break;
    case 'wake-up-due':
      maintainProposals(transition);
      break;
  }
  return { state: transition.state, effects: transition.effects };
};
