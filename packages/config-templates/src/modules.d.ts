declare module 'json-merge-patch' {
  const patches: { apply(target: unknown, patch: unknown): unknown };
  export default patches;
}
declare module 'json-templates' {
  type Template = ((parameters: Readonly<Record<string, unknown>>) => unknown) & {
    readonly parameters: readonly { readonly key: string; readonly defaultValue?: unknown }[];
  };
  const parse: (template: unknown) => Template;
  export default parse;
}
