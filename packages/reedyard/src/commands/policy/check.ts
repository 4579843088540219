import { Args } from '@oclif/core';
import { Stencil, StencilError } from '@reedyard/stencil';
import { BaseCommand } from '../../base.js';
import { ClientError, exitCodes, readDocument } from '../../client.js';

export default class PolicyCheck extends BaseCommand {
  static override description = 'Check a policy here, with the same rules as a node; nothing is sent.';
  static override args = { file: Args.string({ required: true, description: 'JSON file, or - for standard input' }) };

  async run(): Promise<unknown> {
    const { args } = await this.parse(PolicyCheck);
    try {
      const policy = Stencil.policy(readDocument(args.file));
      const body = { good: true, services: Object.keys(policy.services).length, routes: policy.routes.length };
      this.show(body);
      return body;
    } catch (thrown) {
      if (thrown instanceof StencilError) throw new ClientError(exitCodes.refused, thrown.faults.map((fault) => `${fault.path}: ${fault.message}`).join('\n'), { faults: thrown.faults });
      throw thrown;
    }
  }
}
