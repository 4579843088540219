import { Args } from '@oclif/core';
import { BaseCommand } from '../../base.js';

export default class HallTakeBack extends BaseCommand {
  static override description = 'Take an emptied hall back into service.';
  static override args = { hall: Args.string({ required: true, description: 'name of the hall' }) };
  static override flags = { change: BaseCommand.changeFlag };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(HallTakeBack);
    const body = await this.call(flags.node, 'PUT', `/v1/halls/${encodeURIComponent(args.hall)}`, { order: 'take-back' }, { 'reedyard-change-id': flags.change });
    this.show(body);
    return body;
  }
}
