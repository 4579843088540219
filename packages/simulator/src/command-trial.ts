/**
 * Stress test of operator commands: up to eight commands are in flight, replies are lost, and commands
 * are retried unchanged at any node while agents are isolated, frozen and killed. Two operators
 * race for the versions of the configuration; one more operator per zone evacuates and restores that
 * zone in turn.
 */
import {
  type ApiAction,
  type PolicyRegister,
  proposalTimeoutMs,
  type ZonesRegister,
} from '@reedyard/agent';
import type { Policy } from '@reedyard/schemas';
import { SimulatedFleet } from './simulated-fleet.js';
import { type CommandOutcome, sendCommand } from './command-client.js';
import type { InjectedFault } from './injected-faults.js';
import { loadExample } from './run.js';

const warmUpMs = 8_000;
const endMs = 40_000;
const settleMs = 12_000;
const clientTimeoutMs = 4_000;
const zones = ['zone-1', 'zone-2', 'zone-3', 'zone-4', 'zone-5', 'zone-6'];

/** What a trial runs with. */
export type CommandTrialOptions = {
  readonly seed: number;
  readonly plant?: InjectedFault;
  readonly example?: string;
  /** Share of replies that are lost. */
  readonly lostReplyShare?: number;
  /** Whether machines fail during the trial. */
  readonly hasFaults?: boolean;
};

type SentPolicy = {
  readonly version: number;
  readonly content: string;
  readonly outcome: CommandOutcome;
};

type ZoneOrderResult = { readonly order: 'empty' | 'take-back'; readonly outcome: CommandOutcome };

/** The violations of a trial, and how many commands ended in each way. */
export type CommandTrialReport = {
  readonly violations: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
  /** Times until the acknowledgement in milliseconds, sorted. */
  readonly times: readonly number[];
};

/**
 * Whether a configuration was acknowledged as the one in force, rather than as superseded by a higher
 * version.
 */
const isInForce = ({ version, outcome }: SentPolicy): boolean => {
  if (outcome.kind !== 'acknowledged') return false;
  const { version: acknowledgedVersion = version } = outcome.body as { readonly version?: number };
  return acknowledgedVersion === version;
};

/** The state of a running trial. */
class CommandTrial {
  readonly fleet: SimulatedFleet;
  readonly policies: SentPolicy[] = [];
  readonly zoneOrderResults = new Map<string, ZoneOrderResult[]>();
  readonly sentContents = new Map<number, Set<string>>();
  readonly violations: string[] = [];
  readonly outcomes: CommandOutcome[] = [];
  readonly #base: Policy;
  readonly #lostAnswers: number;
  #version = 10;
  #ids = 0;

  constructor(options: CommandTrialOptions) {
    const { deployment, policy } = loadExample(options.example ?? 'brandlhuber');
    const tuning = { loss: 0.001, plant: options.plant ?? 'none', regionsMs: 12 };
    this.fleet = new SimulatedFleet(deployment, options.seed, tuning);
    this.#base = policy;
    this.#lostAnswers = options.lostReplyShare ?? 0.3;
    for (const machine of deployment.machines) this.fleet.start(machine.name);
  }

  #send(action: () => ApiAction, done: (outcome: CommandOutcome) => void): void {
    const losesAnswer = (): boolean => this.fleet.clock.random() < this.#lostAnswers;
    sendCommand(
      this.fleet,
      { giveUpAfterMs: clientTimeoutMs, action, isReplyLost: losesAnswer },
      (outcome) => {
        this.outcomes.push(outcome);
        done(outcome);
      },
    );
  }

  #nextId(): string {
    this.#ids += 1;
    return `order-${this.#ids}`;
  }

  #document(version: number, content: string): Policy {
    return { ...this.#base, version, notes: { content } };
  }

  /**
   * Sends configurations one after the other, as an operator. About half of them reuse the version
   * that was last sent, possibly by the other operator.
   */
  operatePolicies(operator: string): void {
    if (this.fleet.clock.now() > endMs) return;
    const isRace = this.fleet.clock.random() < 0.5;
    if (!isRace) this.#version += 1 + Math.floor(3 * this.fleet.clock.random());
    const version = this.#version;
    const content = `${operator}-${this.#nextId()}`;
    const contents = this.sentContents.get(version) ?? new Set();
    this.sentContents.set(version, contents.add(content));
    const document = this.#document(version, content);
    const action = (): ApiAction => ({
      kind: 'put-policy',
      document,
      ifMatch: null,
      changeId: this.#nextId(),
    });
    this.#send(action, (outcome) => {
      this.policies.push({ version, content, outcome });
      this.fleet.clock.schedule(this.fleet.clock.between(0, 400), () =>
        this.operatePolicies(operator),
      );
    });
  }

  /**
   * Evacuates and restores a zone in turn, as an operator, with random pauses. A command that is not
   * acknowledged in time is given up.
   */
  operateZone(zone: string): void {
    if (this.fleet.clock.now() > endMs) return;
    const results = this.zoneOrderResults.get(zone) ?? [];
    this.zoneOrderResults.set(zone, results);
    const order = results.at(-1)?.order === 'empty' ? 'take-back' : 'empty';
    const action = (): ApiAction => ({
      kind: 'zone',
      zone: zone,
      order,
      of: 'origins',
      changeId: this.#nextId(),
    });
    this.#send(action, (outcome) => {
      results.push({ order, outcome });
      const pauseMs = this.fleet.clock.between(0, 1_500);
      this.fleet.clock.schedule(pauseMs, () => {
        this.#checkZone(zone);
        this.operateZone(zone);
      });
    });
  }

  /** Returns the zones register of each running agent that has a lease. */
  zonesKnownToAgents(): readonly ZonesRegister[] {
    return [...this.fleet.machines.values()].flatMap(({ agent }) => {
      if (agent === null || agent.frozen || agent.state.now >= agent.state.leaseUntil) return [];
      const zones = agent.state.registers.zones;
      return zones === undefined ? [] : [zones.value as ZonesRegister];
    });
  }

  /** Checks that each agent that knows an acknowledged zone order has the zone in the ordered state. */
  #checkZone(zone: string): void {
    const lastCommand = this.zoneOrderResults.get(zone)?.at(-1);
    if (lastCommand === undefined || lastCommand.outcome.kind !== 'acknowledged') return;
    const { revision } = lastCommand.outcome.body as { readonly revision: number };
    for (const zones of this.zonesKnownToAgents()) {
      if (zones.revision < revision) continue;
      const isClosed = zones.closedOrigins.includes(zone);
      if (isClosed !== (lastCommand.order === 'empty'))
        this.violations.push(`${zone}: an acknowledged ${lastCommand.order} was undone`);
    }
  }

  /** Isolates, freezes or kills a random machine for a while, every 1 to 2.5 seconds. */
  injectFaults(): void {
    const { fleet } = this;
    const { clock } = fleet;
    if (clock.now() > endMs) return;
    const name = clock.pick(fleet.machineNames()) ?? '';
    const draw = clock.random();
    if (draw < 0.4) {
      fleet.isolate(name);
      clock.schedule(clock.between(500, 3_000), () => fleet.heal());
    } else if (draw < 0.7) {
      fleet.freeze(name);
      clock.schedule(clock.between(300, 3_000), () => fleet.thaw(name));
    } else {
      fleet.kill(name);
      clock.schedule(clock.between(300, 1_500), () => fleet.start(name));
    }
    clock.schedule(clock.between(1_000, 2_500), () => this.injectFaults());
  }

  /**
   * Checks that no version was acknowledged with two contents, and that no version was refused that
   * had only one content.
   */
  checkPolicies(): void {
    const accepted = this.policies.filter(isInForce);
    for (const acceptedPolicy of accepted) {
      const otherPolicy = accepted.find(
        (other) =>
          other.version === acceptedPolicy.version && other.content !== acceptedPolicy.content,
      );
      if (otherPolicy !== undefined)
        this.violations.push(`version ${acceptedPolicy.version} was confirmed with two contents`);
    }
    for (const sentPolicy of this.policies) {
      const isOnlyContent = this.sentContents.get(sentPolicy.version)?.size === 1;
      if (sentPolicy.outcome.kind === 'refused' && isOnlyContent)
        this.violations.push(`version ${sentPolicy.version} was refused`);
    }
  }

  /** Checks that the policy and zones at the end agree with the acknowledged commands. */
  checkFinalState(policy: PolicyRegister['document'] | null): void {
    const acknowledged = this.policies.filter((each) => each.outcome.kind === 'acknowledged');
    const newest = Math.max(0, ...acknowledged.map((each) => each.version));
    const [version, content] = [policy?.version ?? 0, policy?.notes?.content];
    if (version < newest)
      this.violations.push(`version ${version} was read back, ${newest} was acknowledged`);
    for (const acknowledgedPolicy of acknowledged) {
      if (acknowledgedPolicy.version !== version || acknowledgedPolicy.content === content)
        continue;
      this.violations.push(`version ${version} is not what was acknowledged`);
    }
    for (const zone of zones) this.#checkZone(zone);
  }
}

const countsOf = (outcomes: readonly CommandOutcome[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { kind } of outcomes) counts[kind] = (counts[kind] ?? 0) + 1;
  return counts;
};

/**
 * Runs one trial and checks its result.
 *
 * @example
 * runCommandTrial({ seed: 3 }).violations // []
 */
export const runCommandTrial = (options: CommandTrialOptions): CommandTrialReport => {
  const trial = new CommandTrial(options);
  const { clock } = trial.fleet;
  clock.schedule(warmUpMs, () => {
    trial.operatePolicies('first');
    trial.operatePolicies('second');
    for (const zone of zones) trial.operateZone(zone);
    if (options.hasFaults !== false) trial.injectFaults();
  });
  clock.runUntil(endMs + settleMs);
  trial.checkPolicies();
  let policyRead: PolicyRegister['document'] | null = null;
  sendCommand(
    trial.fleet,
    { giveUpAfterMs: clientTimeoutMs, action: () => ({ kind: 'get-policy' }) },
    ({ kind, body }) => {
      if (kind === 'acknowledged') policyRead = (body as { readonly policy: Policy }).policy;
    },
  );
  clock.runUntil(endMs + settleMs + clientTimeoutMs + proposalTimeoutMs);
  trial.checkFinalState(policyRead);
  const acknowledged = trial.outcomes.filter((each) => each.kind === 'acknowledged');
  const times = acknowledged.map((each) => each.ms).sort((a, b) => a - b);
  return { violations: [...new Set(trial.violations)], counts: countsOf(trial.outcomes), times };
};
