/**
 * Checks the form of what other agents send, before the reducer sees it. An unknown kind of message
 * is refused. A gossip record of a known kind that lacks a field is left out, so that it can't end
 * up in the state of this node and be passed on to others; records of unknown kinds are kept, since
 * a newer version may know them.
 */
import type { GossipExchangeReply, RecordUpdate } from '@reedyard/gossip';
import { CodedError } from '@reedyard/logging';
import type { AgentReply, AgentRequest } from './messages.js';

/** A message of another agent that this version can't read. */
export class AgentMessageError extends CodedError {
  constructor(detail: string) {
    super('unreadable-message', detail);
  }
}

type Fields = Readonly<Record<string, unknown>>;
type Check = (value: unknown) => boolean;

const isObject = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isText: Check = (value) => typeof value === 'string';
const isNumber: Check = (value) => typeof value === 'number' && !Number.isNaN(value);
const isFlag: Check = (value) => typeof value === 'boolean';
const isTable =
  (isValue: Check): Check =>
  (value) =>
    isObject(value) && Object.values(value).every(isValue);
const isList =
  (isItem: Check): Check =>
  (value) =>
    Array.isArray(value) && value.every(isItem);
const orNull =
  (isValue: Check): Check =>
  (value) =>
    value === null || isValue(value);
const optional =
  (isValue: Check): Check =>
  (value) =>
    value === undefined || isValue(value);
const hasFields =
  (checks: Readonly<Record<string, Check>>): Check =>
  (value) =>
    isObject(value) && Object.entries(checks).every(([name, isValid]) => isValid(value[name]));

const isNodeRecord = hasFields({
  id: isText,
  zone: isText,
  region: isText,
  address: isText,
  proxy: orNull(hasFields({ callers: isText, peers: isText, capacityBps: isNumber })),
  replica: orNull(hasFields({ address: isText, disk: optional(isText), fresh: optional(isFlag) })),
  ready: isFlag,
  staying: isFlag,
  proxyLife: isText,
  wants: isTable(isNumber),
});

const isOriginDescription = hasFields({
  service: isText,
  instance: isText,
  incarnation: isNumber,
  address: isText,
  region: isText,
  zone: isText,
  draining: isFlag,
  state: isText,
  capacity: optional(isNumber),
  slots: optional(isNumber),
  sequence: optional(isNumber),
});

const isLoadVector = hasFields({
  demand: isTable(isNumber),
  copies: isList(isText),
  capacity: isNumber,
  utilisation: isNumber,
  offered: isNumber,
  delays: isTable(isNumber),
  meanReply: isNumber,
  fetchDelay: isNumber,
});

/** The checks of the known kinds of gossip records, by the prefix of their keys. */
const recordChecks: readonly (readonly [prefix: string, isValid: Check])[] = [
  ['node/', isNodeRecord],
  ['origin/', isOriginDescription],
  ['vector/', isLoadVector],
];

/** Whether an update can be merged; an expired record has the value null. */
const isUsableUpdate = (key: string, update: unknown): boolean => {
  if (!isObject(update) || !isNumber(update.revision)) return false;
  if (!('value' in update) || update.value === null) return true;
  if (update.value === undefined) return false;
  const check = recordChecks.find(([prefix]) => key.startsWith(prefix));
  return check === undefined || check[1](update.value);
};

const usableUpdates = (updates: Fields): Readonly<Record<string, RecordUpdate>> =>
  Object.fromEntries(
    Object.entries(updates).filter(([key, update]) => isUsableUpdate(key, update)),
  ) as Readonly<Record<string, RecordUpdate>>;

const isSample = isList(hasFields({ id: isText, address: isText, age: isNumber }));

const isExchange = hasFields({
  from: hasFields({ id: isText, address: isText }),
  digest: isTable(isNumber),
  sample: isSample,
});

const isExchangeReply = hasFields({
  newer: isObject,
  wants: isTable(isNumber),
  sample: isSample,
});

const unreadable = (message: unknown): AgentMessageError => {
  const kind = isObject(message) ? String(message.kind) : typeof message;
  return new AgentMessageError(`unreadable message of kind ${kind}`);
};

/**
 * Reads a request of another agent.
 *
 * @throws AgentMessageError if this version can't read it
 */
export const readAgentRequest = (body: unknown): AgentRequest => {
  if (!isObject(body)) throw unreadable(body);
  const { kind, exchange, tellings } = body;
  if (kind === 'ping') return { kind };
  if (kind === 'exchange' && isExchange(exchange))
    return { kind, exchange: exchange as Extract<AgentRequest, { kind: 'exchange' }>['exchange'] };
  if (kind === 'push' && isObject(tellings)) return { kind, tellings: usableUpdates(tellings) };
  throw unreadable(body);
};

/**
 * Reads another agent's reply.
 *
 * @throws AgentMessageError if this version can't read it
 */
export const readAgentReply = (body: unknown): AgentReply => {
  if (!isObject(body)) throw unreadable(body);
  const { kind, exchanged } = body;
  if (kind === 'ok') return { kind };
  if (kind !== 'exchanged' || !isExchangeReply(exchanged)) throw unreadable(body);
  const reply = exchanged as GossipExchangeReply;
  return { kind, exchanged: { ...reply, newer: usableUpdates(reply.newer) } };
};
