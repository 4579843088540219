/**
 * Every constant of reedyard, with its unit and the reason for its value.
 * Times are milliseconds of a monotonic clock unless the name says otherwise.
 */

/** How often things are done. */
export const Beats = {
  /**
   * ms. An agent's own beat; every other beat is a multiple of it, so it bounds their jitter. To
   * wake an idle
   *  process costs some 0.13 ms, so ten times a second 0.13 % of a core. */
  agent: 100,
  /**
   * ms. Pull from the replicas. Three pulls fit in a lease: one may be lost and the feed still has
   * 0.25 s.
   *  Each costs every agent a call to every replica: twice as many saw nothing more than half as
   * many.
   */
  pull: 500,
  /**
   * ms. One gossip exchange with one peer. Each also answers one as often, so a heartbeat
   * crosses 16 nodes
   *  in three or four of them: with its own beat this stays under the 2.5 s of silence. */
  gossip: 400,
  /** ms. The proxy asks its agent for news. Adds at most this to the age of a snapshot. */
  feed: 250,
  /** ms. A node's own record gets a new revision, which is its heartbeat. */
  heartbeat: 500,
  /** ms. The quota leader looks whether slices should move, and then publishes a division. */
  division: 500,
  /**
   * ms. It renews its term with an unchanged division: each costs two syncs of every replica and a
   * fetch of
   *  every agent. Two of them fit in the time after which it is given up. */
  renewal: 1_000,
  /**
   * ms. A ping to each peer in the network, on the average (the paper: every few minutes; a
   * changed delay
   *  must be seen inside one closing fault, so seconds here). */
  ping: 10_000,
  /** ms. Peers that were not yet measured are pinged, and of the others a drawn few. */
  pingDraw: 2_000,
  /** ms. What a proxy's callers want of each service is counted anew: slices follow it. */
  wants: 500,
  /** ms. Utilisation is measured (the paper: one minute; ours is shorter since 2 s rules bind). */
  measure: 2_000,
  /** ms. A vector is sent again though nothing changed, so that a lost one heals. */
  refresh: 30_000,
  /**
   * ms. An origin that says nothing new is told by gossip again after this long: with the seconds
   * between
   *  two of its descriptions still twice within `originForgotten`, and a third of the bytes. */
  originTold: 3_000,
  /** ms. Proxy's own beat: limits and holdings are looked at. */
  proxy: 25,
  /**
   * ms. The same while no request is under way: then only copies may have to be dropped, at the
   * latest
   *  1.5 + 0.3 + 0.1 s after what allowed them was known, under the brief's 2 s. */
  proxyIdle: 100,
  /**
   * ms. While there is no lease, pulls and the proxy's questions come this often: callers wait for
   * them.
   */
  lapsed: 100,
  /**
   * ms. While a lease runs low, replicas whose pulls do not carry it are asked this often: three
   * times before
   *  it is over. Not at rest, where each pull renews it: the fleet's control traffic does not grow.
   */
  leaseLow: 200,
  /** ms. A replica that may not vote yet asks the others again. */
  rejoin: 200,
} as const;

/** How long things last or may take. */
export const Limits = {
  /** ms. Lease of a node from the moment its oldest counted pull was sent. The brief allows 2 s
   *  from an acknowledgement to force; 1.5 s leaves 0.5 s for the feed and a slow process. */
  lease: 1_500,
  /**
   * ms. A lease with less left than this runs low: at rest 0.9 s are left when the next pull is
   * sent, and one that
   *  counts brings it back to 1.5 s within a round trip. */
  leaseLow: 800,
  /**
   * ms. A replica without any answer for this long is silent: two pulls, one of them lost, and a
   * round trip. Under
   *  the lease, so that a node that is cut off knows it when its lease runs out. */
  replicaSilence: 1_200,
  /**
   * ms. What waits this long for a majority of which nobody has answered anything is given up:
   * callers wait a
   *  second for any word, and go on to another node. */
  stranded: 600,
  /**
   * ms. In a fleet of several regions, a proxy without a lease this long drops its copies: a policy
   * it can't know of may have moved their homes. With the lease this stays under the brief's 2 s; a
   *  shorter loss, which a few lost messages bring, costs no copies. */
  unknowing: 300,
  /**
   * ms. Told to a proxy that may serve on while it is cut off, from question to question: two
   * feeds.
   */
  cutOffLease: 600,
  /** ms. Warming up ends after this at the latest: a share of a core takes some seconds for it. */
  warming: 4_000,
  /** ms. A beat that comes this late shows that the process, not the network, is slow. */
  lateBeat: 400,
  /**
   * ms. Only a process whose beats all came in time for this long may take itself for cut off: one
   * that
   *  was starved or frozen has unanswered pulls as well, but others may reach it. */
  calm: 2_000,
  /**
   * ms. A node without a lease asks more often for this long, and again when a silent replica
   * answers; then the core is really away, and all of
   *  a large fleet asking that often would only hinder its return. */
  eager: 5_000,
  /** ms. A division may raise a slice only this long after the lower one was chosen: one lease
   *  plus the slack of a beat. */
  regrant: 1_700,
  /**
   * ms. A quota leader whose beat stood still this long is given up: two missed renewals, seen half
   * a pull late. It must stay over `regrant`: a new holder counts only the division it finds, and
   * those before
   *  that must have lapsed by then. */
  vacancy: 2_500,
  /** ms. One call between processes before it counts as lost. */
  call: 1_000,
  /** ms. A pull without an answer is sent again: two beats, so that a lost one costs no lease. */
  pull: 500,
  /**
   * ms. A value that only a minority shows is taken for hanging, and written again, after this
   * long:
   *  far over what a write takes that is merely under way on busy machines, and under a lease. */
  hanging: 900,
  /** ms. One phase of a ballot before it is tried again with a higher one. */
  ballotPhase: 600,
  /**
   * ms. Calls of a ballot, and facts, are sent again to replicas that have not answered: all may be
   * taken twice.
   *  Over two trips between regions 35 ms apart and the syncs of a disk. */
  resend: 150,
  /**
   * ms. An order for a zone is proposed this long at most: its caller goes to another node after a
   * second, and is
   *  told before that. */
  zoneOrder: 800,
  /**
   * ms. A change may be sent again this long, and is then still made once: an operator repeats for
   * seconds.
   */
  repeatWindow: 30_000,
  /**
   * ms. The same for a ballot on the membership in its first second: while it lasts one loss less
   * is borne, and
   *  a lost message must not cost a third of the time that there is. */
  membershipPhase: 200,
  /**
   * ms. After this a ballot on the membership is given as long as any other, since the machines are
   * slow.
   */
  membershipHaste: 1_000,
  /** ms. A whole proposal (all tries) before its caller is told it is unknown. */
  proposal: 4_000,
  /** ms. A peer whose heartbeat stood still this long gets no forwarded requests. */
  peerSilence: 2_500,
  /** ms. A node's record is dropped after this silence. */
  nodeForgotten: 30_000,
  /** ms. An origin that does not describe itself this long is forgotten; it speaks every few s. */
  originForgotten: 10_000,
  /**
   * ms. After a zone was taken back its origins count as cold until a description is heard this
   * much later:
   *  an earlier one may have been under way for a few exchanges of gossip. */
  warmDoubt: 500,
  /**
   * ms. Facts stay on the board and in a snapshot: far over a lease, so a cursor is seldom lost.
   */
  fact: 60_000,
  /**
   * ms. A member whose machine was silent this long, in gossip and to every pull, is taken for
   * gone, and its
   *  place given to another: longer than a restart, and than a cut of 6 s with 2 s to be heard of
   * again.
   */
  memberSilence: 8_000,
  /**
   * ms. A page that a recovering replica asked for is asked for again, then after twice as long,
   * and so on: far
   *  over what one takes on a busy machine. */
  recoveryCall: 250,
  /**
   * ms. Of half the time that a successor is given to catch up, what is kept for its join itself:
   * to be heard
   *  of, for one ballot, to be told and to read; measured in the simulator under all troubles. */
  joinBudget: 1_000,
  /**
   * ms. A member is suspected no sooner, whatever the settings say: two pulls and the probes
   * between them.
   */
  leastSuspicion: 1_000,
  /** ms. A silent member is asked more often after this: one pull and its answer. */
  probing: 700,
  /**
   * ms. A blank replica must have answered within this time to be given a place of a suspected
   * member.
   */
  spareHeard: 700,
  /**
   * ms. A replica that was told to stop waits this long for its place to be given away, if a spare
   * is known.
   */
  handover: 2_000,
  /**
   * ms. A replaced replica keeps its data this long for a successor that does not come to vote;
   * then it waits
   *  for a majority that votes without it. */
  retention: 3_000,
  /** ms. How long ago members must have answered to count as that majority. */
  retentionProof: 1_000,
  /**
   * ms. Replicas that founded the state anew, after most disks were lost, take part in nothing
   * until they
   *  have heard no news this long from agents that tell again what they knew: six of their pulls.
   */
  restoring: 1_500,
  /** ms. Agents remember the claims they made in spans of half the claims' life; three are kept. */
  claimSpan: 1_800_000,
  /** ms. A claim is kept this long of the replica's own running time. */
  claim: 3_600_000,
  /** ms. Default limit of a whole request. */
  request: 10_000,
  /** ms. Default limit of one attempt to an origin. */
  attempt: 4_000,
  /** ms. Opening a conn and proving who is at its other end. */
  connect: 1_000,
  /** ms. Opening a conn where nothing has to be proved first: regions are some 35 ms apart, and a
   *  silent end must leave time for another within a caller's deadline. */
  opening: 250,
  /**
   * ms. Longest wait in the holding for a slice's next token; past it the answer is 503 at once.
   */
  holding: 400,
  /**
   * ms. An instance that failed an attempt gets no ordinary traffic for this long; twice as long
   * each time
   *  that it fails again before a sound answer, up to the longest. */
  suspicion: 1_000,
  /** ms. A dead instance is then tried by each node at most this seldom, until it is forgotten. */
  longestSuspicion: 8_000,
  /**
   * ms. An origin that refused for being full is passed over: some requests end there meanwhile.
   */
  fullRest: 150,
  /**
   * ms. What an origin told of its load counts for this long, fading: some times a request's own.
   */
  loadMemory: 300,
  /**
   * ms. How long ago an origin's time to answer was met before it counts as the mean again, fading.
   */
  standingMemory: 5_000,
  /**
   * ms. An attempt is silent after a few times what its origin usually takes, but not before this.
   */
  leastSilence: 60,
  /**
   * ms. An origin with an attempt under way this long, and a few times its usual time, and nothing
   * heard since is set aside.
   */
  stalled: 300,
  /** ms. After an order to empty a zone was seen, its proxies still answer stragglers this long. */
  emptyGrace: 2_000,
  /** ms. After the warning to stop, a proxy that is no longer ready still serves who comes: the
   *  platform takes about a second to notice. */
  leaveGrace: 1_500,
  /** ms. SIGTERM to exit, at most. */
  shutdown: 4_000,
  /** ms. An idle conn to an origin is closed after this. */
  idleConn: 10_000,
  /** ms. A conn whose other end told when it will close it is left alone this much sooner. */
  idleMargin: 1_000,
  /** ms. Told to callers where another node, or the next instant, may well serve them. */
  retrySoon: 100,
  /** s. Told to callers in Retry-After when no better number is known. */
  retryAfterSeconds: 1,
  /** s. The same where another node, which reaches a majority, may well do it at once. */
  retryElsewhereSeconds: 0,
  /** ms. A caller must have sent its whole head by then. */
  callerHead: 10_000,
} as const;

/** How large things may get. */
export const Sizes = {
  /** bytes. A body up to this is read whole before its first byte is passed on, so that a short
   *  one becomes a clean 502; a larger one is streamed and never kept. */
  wholeBody: 2 * 1024 * 1024,
  /** bytes. All copies of one proxy. */
  cache: 256 * 1024 * 1024,
  /** bytes. A caller's body, when its route sets no limit. */
  callerBody: 1024 * 1024,
  /** bytes. A caller's head. */
  callerHead: 16 * 1024,
  /** bytes. A policy document. Several thousand routes take about one megabyte. */
  policy: 8 * 1024 * 1024,
  /** bytes. Any other operator or origin document. */
  document: 1024 * 1024,
  /** bytes. One call between processes. */
  call: 32 * 1024 * 1024,
  /** objects told one by one in a vector; the rest of a route counts as one. */
  busyObjects: 32,
  /**
   * heartbeats after which a node's record is told whole though nothing changed: a revision that
   * two lives of
   *  a node came to alike is then set right within 8 s. */
  beatsToWhole: 16,
  /**
   * A life's first revision lies anywhere under this, so that two lives hardly come to the same
   * one.
   */
  firstRevision: 2 ** 20,
  /** peers in a partial view. */
  view: 8,
  /** peers swapped in one shuffle. */
  shuffle: 4,
  /**
   * bytes of the change ids remembered in a register: some 900 changes within the repeat window.
   */
  recentChangeBytes: 64 * 1024,
  /** bytes of log after which a snapshot is written and older segments are dropped. */
  segment: 8 * 1024 * 1024,
  /**
   * claims that a replica keeps: an hour of 139 a second, some 600 MB. A new one past that is
   * refused.
   */
  claims: 500_000,
  /** lapsed claims let go in one sweep a second: some milliseconds. */
  claimSweep: 2_000,
  /** registers in one page for a replica that reads another: some 10 ms of encoding. */
  dumpPage: 500,
  /** registers and facts in one page of what an agent tells again. */
  restorePage: 1_000,
  /** replicas that one replica lets read it at once: all others of a founding set of nine. */
  readers: 8,
  /**
   * numbers drawn by chance for one request: who serves, three origins for each of three attempts,
   * and the service.
   */
  draws: 11,
  /**
   * requests that a proxy warms itself up with, at once, and bytes of an answer: after some hundred
   * the code of each step is compiled.
   */
  warmRequests: 600,
  warmAtOnce: 4,
  warmBody: 6_000,
  /** requests at work in one proxy; more are turned away at once. */
  requests: 4_096,
  /** events waiting for one task. */
  inbox: 65_536,
  /** purge facts in one call. */
  purges: 4_096,
} as const;

/** Numbers of the server selection and of the shares. */
export const Weights = {
  /** share of capacity. The paper's delta: a vector is sent again on this change of utilisation. */
  delta: 0.1,
  /** ratio. A ping that moved by more than this share (and by delayFloor) also sends again. */
  delayChange: 0.5,
  /** s. Changes of delay under this are noise of the machine. */
  delayFloor: 0.002,
  /** rounds of gradient projection at most; the paper saw a couple, overload needs a few more. */
  iterations: 24,
  /** ratio. Converged once a round lowers the cost by less than this share. */
  convergence: 1e-6,
  /** share of capacity past which the link cost goes on as a parabola, so F >= C has a cost. */
  knee: 0.95,
  /** s. Left-link delay of an edge that holds no copy and must fetch one, until measured. */
  fetchPenalty: 0.02,
  /** bits. A mean reply where none was measured (the paper's 12 KB). */
  meanReply: 96_000,
  /** repeats earned by one request. Under the brief's fifth. */
  repeatShare: 0.15,
  /** repeats a node may have saved, and all nodes together: the brief's slack is 60. */
  repeatSaved: 3,
  repeatSavedByAll: 45,
  /**
   * attempts that a node keeps of a request that it hands to a peer, where its route allows more
   * than one: a retry
   *  beside the caller can pass over a peer that is slow, gone, or turned away by its origin; the
   * peer's own can't.
   */
  attemptsKept: 1,
  /** s of a slice a bucket may save: the brief allows a tenth over 5 s, which is 0.5 s. */
  burstSeconds: 0.2,
  /** requests that a node may always have under way at an origin. */
  leastRoom: 2,
  /**
   * requests under way for each slot of an origin, over all nodes: what it works on, and as many
   * waiting.
   */
  roomPerSlot: 2,
  /** share of an origin's conns that nodes use together: a restarted node's old ones may linger. */
  connShare: 0.9,
  /** origins that are drawn by chance for each attempt, the best of which is taken. */
  originsDrawn: 3,
  /** share by which a new answer's time moves an origin's usual one. */
  standingGain: 0.2,
  /**
   * times an origin's usual time after which an attempt counts as silent, or the origin as stalled.
   */
  silentTimes: 3,
  stalledTimes: 4,
  /**
   * share of a request's time that is waited before a second attempt beside a silent one, at most.
   */
  silentShare: 0.4,
  /** ms that a byte between zones weighs in the choice of an origin: 100 kB weigh as 25 ms. */
  zoneMsPerByte: 0.000_25,
  /** ms that an origin in another region weighs more: it is taken where its own region has none. */
  farRegionMs: 1_000,
  /**
   * share of a request's target that it may wait for its turn: refused by then, another try can
   * still be in time.
   */
  holdingShare: 0.2,
  /** share of a ceiling kept for every possible edge whether it asks or not. */
  floorShare: 0.1,
  /**
   * share by which what a node wants of a service may move before others are told: what is left
   * over of a
   *  service is spread evenly, and covers that. */
  wantsSlack: 0.1,
  /**
   * requests a second that it may move besides: one request more or less in a few seconds is no
   * change.
   */
  wantsFloor: 0.25,
  /**
   * share of its goal that a node's slices must have reached before it first says that it is ready.
   */
  seatedShare: 0.7,
  /** share of a cold instance's bearable rate that the nodes it is given to may use together: what
   *  each of them saved comes on top. */
  coldShare: 0.8,
  /**
   * requests a second to a cold instance that are worth a node's part: fewer nodes get more each,
   * so that
   *  what they may have saved, a request each, stays small beside it. */
  coldPart: 3,
} as const;

/** Numbers of the hollow fleet, the test that counts what each role sends and does. */
export const Hollow = {
  /**
   * ms. One step of the fleet's common clock: a fifth of an agent's beat, so that times are told to
   * that.
   */
  step: 10,
  /** ms. Nodes begin spread over this long, so that their beats don't fall together. */
  spread: 500,
  /** ms. An origin describes itself again: the bench's stand-ins do so as often. */
  describe: 1_000,
  /**
   * ms. What is waited at most for replicas to found, for the quota leadership to be taken, or for
   * a change to reach all.
   */
  patience: 20_000,
  /** ms. Nodes run this long before anything is counted: two pings, four divisions, one lease. */
  warm: 4_000,
  /** real ms. A call that took this long is a fault of the test, not of what it measures. */
  call: 600_000,
  /** requests a second that a proxy wants of all services: 1.1 million over 1,100 nodes. */
  want: 1_000,
  /** bps that a proxy's callers ask of one object. */
  demand: 200_000,
  /** requests a second that one origin carries. */
  capacity: 500,
  /** origins of one service: the deployments have four to nine. */
  originsOfService: 7,
  /**
   * bytes of one copy of what one node knows of another's vector, for each delay in it: an upper
   * bound of the heap.
   */
  bytesOfDelay: 64,
  /** share of the machine's memory that a hollow fleet may take. */
  memoryShare: 0.5,
  /**
   * bytes that one node holds of another without vectors: an upper bound, to refuse what can't fit.
   */
  bytesOfNode: 4_000,
} as const;
