/** Faults that remove a safeguard, to show that each check can fail. */
import { type AgentState, type Feed, type ProxyQuery, replicaTimeoutMs } from '@reedyard/agent';
import type { ProxyState } from '@reedyard/proxy';
import type { Policy } from '@reedyard/schemas';

/**
 * Names of the faults that can be injected into the fleet, one per run. Each removes one safeguard at
 * the boundary of a process and leaves all other code unchanged.
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
/** A fault of a run, or `none`. */
export type InjectedFault = (typeof injectedFaultNames)[number];

const withoutHomes = (policy: Policy): Policy => ({
  ...policy,
  routes: policy.routes.map(({ homes: _homes, ...route }) => route),
});

/** Returns the feed that a proxy receives under an injected fault. */
export const feedWithFault = (
  plant: InjectedFault,
  feed: Feed,
  drained: Feed['origins'],
  peers: Feed['peers'],
): Feed => {
  switch (plant) {
    case 'deaf-lease':
      return { ...feed, leaseMs: 1e9, provenLeaseMs: 1e9 };
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

/** How a server is selected: as in the paper, or in a simpler way for comparison on the same seed. */
export type Selection = 'paper' | 'proximity' | 'random';

/** Returns the feed with a routing table for the given selection. */
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

/** Returns the state of a proxy that does not count the attempts it delegated to a peer. */
export const withUncountedGrant = (state: ProxyState, id: number, attempt: number): ProxyState => {
  const request = state.requests[id];
  if (request === undefined) return state;
  const attempts = request.attempts.map((each) =>
    each.number === attempt ? { ...each, delegatedAttempts: 0 } : each,
  );
  return { ...state, requests: { ...state.requests, [id]: { ...request, attempts } } };
};

/** Whether a claim is granted without a query to the agent. */
export const isClaimGrantedByFault = (plant: InjectedFault, call: ProxyQuery): boolean =>
  plant === 'claims-granted' && call.kind === 'claim';

/** Returns the reply of an agent to an operator under an injected fault. */
export const replyWithFault = <T extends { readonly status: number }>(
  plant: InjectedFault,
  reply: T,
): T =>
  plant === 'any-content-confirmed' && reply.status === 412 ? { ...reply, status: 200 } : reply;

type Views = AgentState['replicas'];
const mapViews = (views: Views, change: (view: Views[string]) => Views[string]): Views =>
  Object.fromEntries(Object.entries(views).map(([name, view]) => [name, change(view)]));

/** Returns the state of an agent before each step under an injected fault. */
export const agentStateWithFault = (
  plant: InjectedFault,
  state: AgentState,
  now: number,
): AgentState => {
  switch (plant) {
    // Replies that do not count as votes are treated as missing.
    case 'answers-ignored':
      return {
        ...state,
        replicas: mapViews(state.replicas, (view) => ({ ...view, lastReplyAt: -Infinity })),
      };
    // Missing replies are not noticed: calls wait until their timeout.
    case 'answers-assumed':
      return {
        ...state,
        replicas: mapViews(state.replicas, (view) => ({ ...view, lastReplyAt: now })),
      };
    // Unresponsive replicas do not count as members.
    case 'quorum-of-the-reached': {
      const reached = Object.entries(state.replicas).filter(
        ([, view]) => now - view.lastReplyAt < replicaTimeoutMs,
      );
      return reached.length === 0 ? state : { ...state, replicas: Object.fromEntries(reached) };
    }
    // A replica that replies again is not polled more often.
    case 'no-return':
      return { ...state, lastReplicaReturnAt: -Infinity };
    default:
      return state;
  }
};
