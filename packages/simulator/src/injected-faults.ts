/** Safeguards that can be taken away, to see that a check can fail. */
import { type AgentState, type Feed, type ProxyQuery, replicaTimeoutMs } from '@reedyard/agent';
import type { ProxyState } from '@reedyard/proxy';
import type { Policy } from '@reedyard/schemas';

/**
 * Faults planted into the fleet, one at a time, to show that a checker can fail: each takes one
 * safeguard away at the border of a process and leaves all other code as it is.
 */
export const injectedFaultNames = [
  'none',
  'deaf-lease',
  'tell-unsynced',
  'repeat-unsafe',
  'claims-granted',
  'no-identity',
  'no-marks',
  'wiped-votes',
  'deaf-drain',
  'deaf-zones',
  'deaf-purges',
  'no-buckets',
  'free-repeats',
  'no-homes',
  'forgetful-disks',
  'deaf-members',
  'route-at-arrival',
  'no-capacities',
  'no-cold-rates',
  'old-rates',
  'deaf-relays',
  'deaf-ready',
  'deaf-tags',
  'deaf-life',
  'deaf-methods',
  'deaf-instances',
  'wild-clocks',
  'claims-of-any-content',
  'earn-twice',
  'same-revisions',
  'short-as-whole',
  'keep-relayed',
  'uncounted-grants',
  'callers-unheeded',
  'any-content-confirmed',
  'forget-when-replaced',
  'answers-ignored',
  'answers-assumed',
  'local-reads',
  'quorum-of-the-reached',
  'no-return',
] as const;
export type InjectedFault = (typeof injectedFaultNames)[number];

const withoutHomes = (policy: Policy): Policy => ({
  ...policy,
  routes: policy.routes.map(({ homes: _homes, ...route }) => route),
});

/** What a planted fault makes of the feed. */
export const feedWithFault = (
  plant: InjectedFault,
  feed: Feed,
  drained: Feed['origins'],
  peers: Feed['peers'],
): Feed => {
  switch (plant) {
    case 'deaf-lease':
      return { ...feed, leaseMs: 1e9 };
    case 'deaf-drain':
      return {
        ...feed,
        origins: [
          ...feed.origins,
          ...drained.filter((row) => !feed.origins.some((each) => each.address === row.address)),
        ],
      };
    case 'deaf-zones':
      return {
        ...feed,
        emptied: [],
        origins: [
          ...feed.origins,
          ...drained.filter((row) => !feed.origins.some((each) => each.address === row.address)),
        ],
      };
    case 'deaf-relays':
      return { ...feed, peers };
    case 'deaf-ready':
      return { ...feed, emptied: [] };
    case 'deaf-tags':
      return {
        ...feed,
        purges: feed.purges.map((each) => ({ ...each, purge: { ...each.purge, tags: [] } })),
      };
    case 'deaf-life':
      return feed.policy === null
        ? feed
        : {
            ...feed,
            policy: {
              ...feed.policy,
              document: {
                ...feed.policy.document,
                routes: feed.policy.document.routes.map((route) => ({
                  ...route,
                  cache: { keep: 'origin' as const },
                })),
              },
            },
          };
    case 'deaf-methods':
      return feed.policy === null
        ? feed
        : {
            ...feed,
            policy: {
              ...feed.policy,
              document: {
                ...feed.policy.document,
                routes: feed.policy.document.routes.map((route) => ({
                  ...route,
                  methods: ['GET' as const, 'HEAD' as const, 'POST' as const],
                })),
              },
            },
          };
    case 'deaf-instances':
      return {
        ...feed,
        origins: [
          ...feed.origins,
          ...drained.filter(
            (row) =>
              feed.slices[row.service] !== undefined &&
              !feed.origins.some((each) => each.address === row.address),
          ),
        ],
      };
    case 'deaf-purges':
      return { ...feed, purges: [] };
    case 'no-buckets':
      return {
        ...feed,
        slices: Object.fromEntries(Object.keys(feed.slices).map((name) => [name, 1e6])),
        origins: feed.origins.map((row) => ({ ...row, rate: 1e6 })),
      };
    case 'no-capacities':
      return {
        ...feed,
        origins: feed.origins.map((row) => (row.cold ? row : { ...row, rate: 1e6 })),
      };
    case 'no-cold-rates':
      return {
        ...feed,
        origins: feed.origins.map((row) => (row.cold ? { ...row, rate: 1e6 } : row)),
      };
    case 'no-homes':
      return feed.policy === null
        ? feed
        : { ...feed, policy: { ...feed.policy, document: withoutHomes(feed.policy.document) } };
    default:
      return feed;
  }
};

/** Other ways to choose a server, for comparison with the paper's on the same seed. */
export type Selection = 'paper' | 'proximity' | 'random';

export const feedWithSelection = (selection: Selection, feed: Feed, nodeId: string): Feed => {
  if (selection === 'paper') return feed;
  if (selection === 'proximity') return { ...feed, split: {} };
  const edges = [nodeId, ...feed.peers.map((row) => row.id)];
  const row = edges.map((edge) => [edge, 1 / edges.length] as const);
  return {
    ...feed,
    split: Object.fromEntries(
      (feed.policy?.document.routes ?? []).map((route) => [route.name, row]),
    ),
  };
};

/**
 * What a proxy whose ledger does not count the attempts it granted to a peer makes of its state.
 */
export const withUncountedGrant = (state: ProxyState, id: number, attempt: number): ProxyState => {
  const request = state.requests[id];
  if (request === undefined) return state;
  const attempts = request.attempts.map((each) =>
    each.number === attempt ? { ...each, delegatedAttempts: 0 } : each,
  );
  return { ...state, requests: { ...state.requests, [id]: { ...request, attempts } } };
};

/** Whether a claim is granted without asking. */
export const isClaimGrantedByFault = (plant: InjectedFault, call: ProxyQuery): boolean =>
  plant === 'claims-granted' && call.kind === 'claim';

/** What a planted fault makes of an agent's answer to an operator. */
export const replyWithFault = <T extends { readonly status: number }>(
  plant: InjectedFault,
  reply: T,
): T =>
  plant === 'any-content-confirmed' && reply.status === 412 ? { ...reply, status: 200 } : reply;

type Views = AgentState['replicas'];
const mapViews = (views: Views, change: (view: Views[string]) => Views[string]): Views =>
  Object.fromEntries(Object.entries(views).map(([name, view]) => [name, change(view)]));

/** What a planted fault makes of an agent's state before each step. */
export const agentStateWithFault = (
  plant: InjectedFault,
  state: AgentState,
  now: number,
): AgentState => {
  switch (plant) {
    // Answers that do not count are taken for silence.
    case 'answers-ignored':
      return {
        ...state,
        replicas: mapViews(state.replicas, (view) => ({ ...view, lastReplyAt: -Infinity })),
      };
    // Silence is not noticed: calls wait for their limit.
    case 'answers-assumed':
      return {
        ...state,
        replicas: mapViews(state.replicas, (view) => ({ ...view, lastReplyAt: now })),
      };
    // Replicas that are silent do not count as members.
    case 'quorum-of-the-reached': {
      const reached = Object.entries(state.replicas).filter(
        ([, view]) => now - view.lastReplyAt < replicaTimeoutMs,
      );
      return reached.length === 0 ? state : { ...state, replicas: Object.fromEntries(reached) };
    }
    // A replica that answers again is not asked more often.
    case 'no-return':
      return { ...state, lastReplicaReturnAt: -Infinity };
    default:
      return state;
  }
};
