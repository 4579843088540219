import { ReadCommand } from '../base.js';

export default class Status extends ReadCommand {
  static override description = 'How a node sees itself and its fleet: lease, serial, anvils, origins, counters, split.';
  protected override readonly target = '/v1/status';
}
