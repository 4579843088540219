/** What the commands of the command line share: flags, calls of the API, output. */
import { randomUUID } from 'node:crypto';
import { Args, Command, Flags } from '@oclif/core';
import { parseParameters, TemplateError, resolveTemplate } from '@reedyard/config-templates';
import { Schemas, SchemaError, type Policy } from '@reedyard/schemas';
import { ask, ClientError, exitCodes, readDocument } from './api-client.js';

/** What every command has: nodes to ask, `--json`, and the exit codes. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;
  static override baseFlags = {
    // One text, split here: a list flag takes its environment variable letter by letter.
    node: Flags.string({
      char: 'n',
      env: 'REEDYARD_NODES',
      description: 'API of a node, IP:PORT; several, with commas between, are tried in turn',
      default: '127.0.0.1:7080',
    }),
  };
  static changeIdFlag = Flags.string({
    description: 'change id: sent again with the same one, a change is made once',
    default: async () => randomUUID(),
    defaultHelp: async () => 'a random one',
  });

  static templateFlags = {
    param: Flags.string({
      multiple: true,
      description: 'parameter of the template, NAME=VALUE',
      default: [] as string[],
    }),
    overlay: Flags.string({
      multiple: true,
      description: 'overlay laid over the policy, a JSON merge patch; several in their order',
      default: [] as string[],
    }),
  };

  /**
   * The one whole policy that a file, its parameters and its overlays come to, checked as a node
   * checks it.
   */
  protected readPolicy(
    file: string,
    flags: { readonly param: readonly string[]; readonly overlay: readonly string[] },
  ): Policy {
    try {
      return Schemas.policy(
        resolveTemplate(
          readDocument(file),
          parseParameters(flags.param),
          flags.overlay.map(readDocument),
        ),
      );
    } catch (thrown) {
      if (thrown instanceof SchemaError)
        throw new ClientError(
          exitCodes.refused,
          thrown.faults.map((fault) => `${fault.path}: ${fault.message}`).join('\n'),
          { faults: thrown.faults },
        );
      if (thrown instanceof TemplateError)
        throw new ClientError(exitCodes.usage, `${file}: ${thrown.message}`);
      throw thrown;
    }
  }

  /** The nodes of the `--node` flag. */
  protected parseAddresses(nodes: string): readonly string[] {
    return nodes
      .split(',')
      .map((node) => node.trim())
      .filter((node) => node !== '');
  }

  protected async call(
    nodes: string,
    method: string,
    target: string,
    document?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<unknown> {
    return ask(this.parseAddresses(nodes), method, target, document, headers);
  }

  /** What people see where no `--json` is asked for. */
  protected show(body: unknown): void {
    if (!this.jsonEnabled()) this.log(JSON.stringify(body, null, 2));
  }

  protected override async catch(error: Error & { exitCode?: number }): Promise<unknown> {
    if (error instanceof ClientError) {
      if (this.jsonEnabled())
        process.stdout.write(
          `${JSON.stringify({ error: error.message, exit: error.exit, problem: error.document }, null, 2)}\n`,
        );
      else process.stderr.write(`${error.message}\n`);
      return this.exit(error.exit);
    }
    return super.catch(error);
  }
}

/** A command that reads one place of the API and shows it. */
export abstract class ReadCommand extends BaseCommand {
  protected abstract readonly target: string;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(ReadCommand);
    const body = await this.call(flags.node, 'GET', this.target);
    this.show(body);
    return body;
  }
}

/** A command that gives one order for a zone. */
export abstract class ZoneCommand extends BaseCommand {
  static override args = { zone: Args.string({ required: true, description: 'name of the zone' }) };
  static override flags = { change: BaseCommand.changeIdFlag };
  protected abstract readonly order: 'empty' | 'take-back';

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ZoneCommand);
    const body = await this.call(
      flags.node,
      'PUT',
      `/v1/zones/${encodeURIComponent(args.zone)}`,
      { order: this.order },
      { 'reedyard-change-id': flags.change },
    );
    this.show(body);
    return body;
  }
}

export { exitCodes };
