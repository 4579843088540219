/** Base classes of the commands: shared flags, API requests and output. */
import { randomUUID } from 'node:crypto';
import { Args, Command, Flags } from '@oclif/core';
import { parseParameters, TemplateError, resolveTemplate } from '@reedyard/config-templates';
import { Schemas, SchemaError, type Policy } from '@reedyard/schemas';
import { requestAnyNode, ClientError, exitCodes, readDocument } from './api-client.js';

/** Base class of all commands: the `--node` and `--json` flags, and exit codes for errors. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;
  static override baseFlags = {
    // One string, split in parseAddresses: oclif splits the environment variable of a list flag into
    // single letters.
    node: Flags.string({
      char: 'n',
      env: 'REEDYARD_NODES',
      description:
        'API address of a node, IP:PORT; several, separated by commas, are tried in turn',
      default: '127.0.0.1:7080',
    }),
  };
  static changeIdFlag = Flags.string({
    description: 'change id; a change that is sent again with the same id is applied only once',
    default: async () => randomUUID(),
    defaultHelp: async () => 'a random id',
  });

  static templateFlags = {
    param: Flags.string({
      multiple: true,
      description: 'parameter of the template, NAME=VALUE',
      default: [] as string[],
    }),
    overlay: Flags.string({
      multiple: true,
      description:
        'overlay for the policy, a file with a JSON merge patch; several are applied in order',
      default: [] as string[],
    }),
  };

  /** Reads a policy from a template file, parameters and overlays, and validates it as a node does. */
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

  /** Splits the value of the `--node` flag into addresses. */
  protected parseAddresses(nodes: string): readonly string[] {
    return nodes
      .split(',')
      .map((node) => node.trim())
      .filter((node) => node !== '');
  }

  /** Sends an API request to the given nodes in turn. */
  protected async call(
    nodes: string,
    method: string,
    target: string,
    document?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<unknown> {
    return requestAnyNode(this.parseAddresses(nodes), method, target, document, headers);
  }

  /** Prints a response body for people, unless `--json` is set. */
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

/** Base class of commands that print the response to one GET request. */
export abstract class ReadCommand extends BaseCommand {
  protected abstract readonly target: string;

  async run(): Promise<unknown> {
    const { flags } = await this.parse(ReadCommand);
    const body = await this.call(flags.node, 'GET', this.target);
    this.show(body);
    return body;
  }
}

/** Base class of commands that send an order for a zone. */
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
