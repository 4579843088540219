/** The settings of the programs that run on a machine. */

import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { CodedError, errorMessage } from '@reedyard/logging';

/**
 * Thrown for invalid settings; the message states the file, the field, the value found and what is
 * expected.
 */
export class SettingsError extends CodedError {}

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected a name of lower-case letters, digits and dashes');
const hostSchema = z.string().refine((text) => isIP(text) !== 0, 'expected an IP address');
const portSchema = z.number().int('expected an integer').min(0).max(65_535);
const addressSchema = z.string().refine((text) => {
  const colon = text.lastIndexOf(':');
  return (
    colon > 0 &&
    isIP(text.slice(0, colon)) !== 0 &&
    /^\d{1,5}$/.test(text.slice(colon + 1)) &&
    Number(text.slice(colon + 1)) <= 65_535
  );
}, 'expected IP:PORT');

const settingsSchema = z
  .strictObject({
    name: nameSchema,
    /** The IP address at which others reach this machine, and from which it connects. */
    host: hostSchema,
    /** The IP address to listen on, if it differs from `host`. */
    listen: hostSchema.optional(),
    zone: nameSchema,
    region: nameSchema,
    /** Agents to contact first after a start; any three that are likely to run. */
    seeds: z.array(addressSchema).min(1, 'expected at least one seed').max(9),
    /**
     * What a node does when it provably can't reach a majority: refuse requests, or continue to
     * serve by the state that it last knew.
     */
    cutOff: z.enum(['refuse', 'serve']).default('refuse'),
    dataFolder: z.string().min(1).default('data'),
    /** Names and addresses of the replicas that founded the state; the same on every machine. */
    founders: z
      .record(nameSchema, addressSchema)
      .refine((founders) => Object.keys(founders).length > 0, 'expected at least one founder')
      .optional(),
    /**
     * A changeable membership instead of founders: the replicas on the seed machines found it, and
     * proposals change it.
     */
    voting: z
      .strictObject({
        /** Number of lost disks to tolerate: 2 × losses + 1 replicas vote. */
        losses: z.number().int('expected an integer').min(0).max(4),
        /** True only for the very first start of the system. */
        firstStart: z.boolean(),
        /**
         * How long a machine that replaces a member may take, from its start, until one more loss
         * must be tolerated, in milliseconds.
         */
        catchUpMs: z.number().positive().max(600_000).optional(),
        /** Addresses of the replicas on the seed machines. */
        seeds: z
          .array(addressSchema)
          .min(1, 'expected at least one seed')
          .max(9)
          .refine((seeds) => new Set(seeds).size === seeds.length, 'expected each seed once'),
      })
      .optional(),
    agent: z.strictObject({ port: portSchema, apiPort: portSchema, feedPort: portSchema }),
    proxy: z
      .strictObject({
        port: portSchema,
        peerPort: portSchema,
        capacityBps: z.number().positive(),
        /** The memory that the process may take, in bytes. */
        memoryBytes: z.number().int().positive().optional(),
        /** Port of the readiness check, if it is not the port for clients. */
        readyPort: portSchema.optional(),
        /**
         * Graceful shutdown, counted from the signal to stop: the minimum time during which the
         * proxy still accepts requests, and the maximum time until it exits, in milliseconds.
         */
        leave: z
          .strictObject({
            graceMs: z.number().int().positive(),
            mostMs: z.number().int().positive(),
          })
          .optional(),
        /** Logs every step of the proxy, for tests. */
        trace: z.boolean().optional(),
      })
      .optional(),
    replica: z.strictObject({ port: portSchema }).optional(),
  })
  .superRefine((settings, context) => {
    if (settings.founders === undefined && settings.voting === undefined)
      context.addIssue({
        code: 'custom',
        path: ['founders'],
        message: 'expected the founders, or voting instead',
      });
    if (settings.founders !== undefined && settings.voting !== undefined)
      context.addIssue({
        code: 'custom',
        path: ['voting'],
        message: 'expected either founders or voting, not both',
      });
    if (
      settings.replica !== undefined &&
      settings.founders !== undefined &&
      settings.founders[settings.name] === undefined
    ) {
      context.addIssue({
        code: 'custom',
        path: ['founders'],
        message: `expected ${settings.name} among the founders, since it has a replica`,
      });
    }
  });

/** The settings of one machine: shared fields, and a section for each program that runs on it. */
export type Settings = z.infer<typeof settingsSchema>;

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (inner, key) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );

/** Returns the tree with one field set, by a dotted path; the text is read as JSON if it parses. */
const withField = (
  tree: Readonly<Record<string, unknown>>,
  dotted: string,
  text: string,
): Readonly<Record<string, unknown>> => {
  const [head = '', ...rest] = dotted.split('.');
  const inner = tree[head];
  const value = ((): unknown => {
    try {
      return JSON.parse(text);
    } catch {
      return text;
    }
  })();
  return {
    ...tree,
    [head]:
      rest.length === 0
        ? value
        : withField(
            (typeof inner === 'object' && inner !== null ? inner : {}) as Record<string, unknown>,
            rest.join('.'),
            text,
          ),
  };
};

/** Reads and validates settings. */
export const SettingsReader = {
  /**
   * Checks settings; throws a SettingsError that lists every fault.
   *
   * @example
   * SettingsReader.check({ name: 'Front 1' }, 'front-1.json') // throws: front-1.json: name: found "Front 1"; expected …
   */
  check: (raw: unknown, source: string): Settings => {
    const parsed = settingsSchema.safeParse(raw);
    if (parsed.success) return parsed.data;
    const faults = parsed.error.issues.map((issue) => {
      const found = valueAt(raw, issue.path);
      return `${source}: ${issue.path.join('.') || '(entire file)'}: found ${found === undefined ? 'nothing' : JSON.stringify(found)}; ${issue.message}`;
    });
    throw new SettingsError('settings', faults.join('\n'));
  },

  /**
   * Reads a settings file and overrides fields of it by `--set FIELD=VALUE` flags.
   *
   * @example
   * SettingsReader.read('front-1.json', ['agent.port=7001']).agent.port // 7001
   */
  read: (file: string | undefined, overrides: readonly string[]): Settings => {
    let tree: Readonly<Record<string, unknown>> = {};
    if (file !== undefined) {
      try {
        tree = JSON.parse(readFileSync(file, 'utf8')) as Record<string, unknown>;
      } catch (thrown) {
        throw new SettingsError(
          'file',
          `${file}: (entire file): ${errorMessage(thrown)}; expected a readable JSON file`,
          { cause: thrown },
        );
      }
    }
    for (const override of overrides) {
      const equals = override.indexOf('=');
      if (equals < 1)
        throw new SettingsError('flag', `--set: found "${override}"; expected FIELD=VALUE`);
      tree = withField(tree, override.slice(0, equals), override.slice(equals + 1));
    }
    return SettingsReader.check(tree, file ?? '(flags)');
  },

  /**
   * Reads a daemon's settings from its command line; `--check` and `--help` exit the process. Faults
   * are printed and exit with code 2. The settings must have a section for the program.
   *
   * @example
   * const settings = SettingsReader.start('agent', process.argv.slice(2));
   */
  start: <Program extends 'agent' | 'proxy' | 'replica'>(
    program: Program,
    argv: readonly string[],
  ): Settings & { readonly [K in Program]: NonNullable<Settings[K]> } => {
    try {
      const { values } = parseArgs({
        args: [...argv],
        options: {
          settings: { type: 'string' },
          set: { type: 'string', multiple: true },
          check: { type: 'boolean' },
          help: { type: 'boolean' },
        },
      });
      if (values.help === true) {
        process.stdout.write(
          `${program} --settings FILE [--set FIELD=VALUE …] [--check]\n\n  --settings FILE      the machine's settings (see docs/config.md)\n  --set FIELD=VALUE    overrides one field of the file, such as agent.port=7001\n  --check              check the settings and exit: 0 valid, 2 invalid\n`,
        );
        process.exit(0);
      }
      const settings = SettingsReader.read(values.settings, values.set ?? []);
      if (settings[program] === undefined)
        throw new SettingsError(
          'settings',
          `${values.settings ?? '(flags)'}: ${program}: found nothing; expected the settings of this program`,
        );
      if (values.check === true) {
        process.stdout.write('settings are valid\n');
        process.exit(0);
      }
      return settings as Settings & { readonly [K in Program]: NonNullable<Settings[K]> };
    } catch (thrown) {
      process.stderr.write(`${errorMessage(thrown)}\n`);
      return process.exit(2);
    }
  },
} as const;
