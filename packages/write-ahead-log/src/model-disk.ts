/**
 * A disk in memory for tests. It tells apart what was written, what was synced and which names are
 * durable, gives every state that a loss of power can leave, and fails or holds up any operation on
 * demand.
 */
import type { LogFileSystem, WritableFile } from './file-system.js';

export type DiskOperation =
  | 'createFolder'
  | 'list'
  | 'read'
  | 'create'
  | 'write'
  | 'sync'
  | 'close'
  | 'remove'
  | 'syncFolder';

/** What happens to one operation. */
export type DiskFault =
  /** It fails and changes nothing. */
  | { readonly kind: 'fail'; readonly code: string }
  /** A write takes so many bytes and no more. */
  | { readonly kind: 'short'; readonly bytes: number }
  /** It fails though it was done: an answer that was lost, a sync that failed in part. */
  | { readonly kind: 'failAfter'; readonly code: string };

/** Called before each operation; the answer decides what becomes of it. */
export type DiskHook = (
  operation: DiskOperation,
  name: string,
) => DiskFault | null | Promise<DiskFault | null>;

type UnsyncedWrite = { readonly offset: number; readonly bytes: Buffer };
type ModelFile = { synced: Buffer; writes: UnsyncedWrite[] };
type NameChange = { readonly kind: 'made' | 'removed'; readonly name: string; readonly id: number };

/** What a loss of power leaves of one write that was not synced. */
type WriteFate = 'there' | 'missing' | 'start' | 'end';
const writeFates: readonly WriteFate[] = ['there', 'missing', 'start', 'end'];

const systemError = (code: string): Error =>
  Object.assign(new Error(`model disk: ${code}`), { code });

/** All ways to choose one of the options for each of so many things. */
function* choices<Option>(count: number, options: readonly Option[]): Iterable<readonly Option[]> {
  if (count === 0) {
    yield [];
    return;
  }
  for (const rest of choices(count - 1, options)) {
    for (const option of options) yield [...rest, option];
  }
}

const overwritten = (content: Buffer, offset: number, bytes: Buffer): Buffer => {
  const result = Buffer.alloc(Math.max(content.length, offset + bytes.length));
  content.copy(result);
  bytes.copy(result, offset);
  return result;
};

const afterPowerLoss = (file: ModelFile, fates: readonly WriteFate[]): Buffer => {
  let content = file.synced;
  file.writes.forEach(({ offset, bytes }, index) => {
    const half = Math.ceil(bytes.length / 2);
    const fate = fates[index];
    if (fate === 'there') content = overwritten(content, offset, bytes);
    if (fate === 'start') content = overwritten(content, offset, bytes.subarray(0, half));
    if (fate === 'end') content = overwritten(content, offset + half, bytes.subarray(half));
  });
  return content;
};

export class ModelDisk {
  readonly #contents: Map<number, ModelFile>;
  readonly #names: Map<string, number>;
  /** Names as a loss of power keeps them at least, without the changes since. */
  readonly #durableNames: Map<string, number>;
  #nameChanges: NameChange[];
  #nextId: number;
  hook: DiskHook = () => null;
  /** Bytes that fit on it; a write takes what still fits. */
  capacity = Infinity;

  constructor(from?: ModelDisk) {
    this.#contents = new Map(
      [...(from === undefined ? [] : from.#contents)].map(([id, file]) => [
        id,
        { synced: file.synced, writes: [...file.writes] },
      ]),
    );
    this.#names = new Map(from === undefined ? [] : from.#names);
    this.#durableNames = new Map(from === undefined ? [] : from.#durableNames);
    this.#nameChanges = [...(from === undefined ? [] : from.#nameChanges)];
    this.#nextId = from === undefined ? 1 : from.#nextId;
  }

  /** A disk with these files, all of them durable. */
  static of(files: ReadonlyMap<string, Buffer>): ModelDisk {
    const disk = new ModelDisk();
    for (const [name, bytes] of files) {
      const id = disk.#makeFile(bytes);
      disk.#names.set(name, id);
      disk.#durableNames.set(name, id);
    }
    return disk;
  }

  /** The disk as another process finds it while the power is on: also what was not synced. */
  copy(): ModelDisk {
    return new ModelDisk(this);
  }

  /** What processes read now. */
  files(): ReadonlyMap<string, Buffer> {
    return new Map([...this.#names].map(([name, id]) => [name, this.#contentOf(id)]));
  }

  totalBytes(): number {
    return [...this.files().values()].reduce((sum, bytes) => sum + bytes.length, 0);
  }

  /** Every state that a loss of power can leave now. */
  *statesAfterPowerLoss(): Iterable<ModelDisk> {
    const seen = new Set<string>();
    const unsynced = [...this.#contents].filter(([, file]) => file.writes.length > 0);
    const writes = unsynced.reduce((sum, [, file]) => sum + file.writes.length, 0);
    for (const kept of choices(this.#nameChanges.length, [true, false])) {
      const names = this.#namesAfterPowerLoss(kept);
      for (const fates of choices(writes, writeFates)) {
        const contents = this.#contentsAfterPowerLoss(unsynced, fates);
        const files = new Map(
          [...names].map(([name, id]) => [
            name,
            contents.get(id) ?? this.#contents.get(id)?.synced ?? Buffer.alloc(0),
          ]),
        );
        const key = JSON.stringify(
          [...files].map(([name, bytes]) => [name, bytes.toString('latin1')]).sort(),
        );
        if (seen.has(key)) continue;
        seen.add(key);
        yield ModelDisk.of(files);
      }
    }
  }

  get fileSystem(): LogFileSystem {
    return {
      createFolder: () => this.#perform('createFolder', '', () => undefined),
      list: () => this.#perform('list', '', () => [...this.#names.keys()].sort()),
      read: (name) => this.#perform('read', name, () => this.#contentOf(this.#idOf(name))),
      create: (name) => this.#perform('create', name, () => this.#create(name)),
      remove: (name) => this.#perform('remove', name, () => this.#remove(name)),
      syncFolder: () => this.#perform('syncFolder', '', () => this.#syncFolder()),
    };
  }

  async #perform<Result>(
    operation: DiskOperation,
    name: string,
    act: () => Result,
  ): Promise<Result> {
    const fault = await this.hook(operation, name);
    if (fault?.kind === 'fail') throw systemError(fault.code);
    const result = act();
    if (fault?.kind === 'failAfter') throw systemError(fault.code);
    return result;
  }

  #create(name: string): WritableFile {
    if (this.#names.has(name)) throw systemError('EEXIST');
    const id = this.#makeFile(Buffer.alloc(0));
    this.#names.set(name, id);
    this.#nameChanges.push({ kind: 'made', name, id });
    return {
      write: (bytes) => this.#write(name, id, bytes),
      sync: () => this.#perform('sync', name, () => this.#sync(id)),
      close: () => this.#perform('close', name, () => undefined),
    };
  }

  async #write(name: string, id: number, bytes: Buffer): Promise<number> {
    const fault = await this.hook('write', name);
    if (fault?.kind === 'fail') throw systemError(fault.code);
    const room = this.capacity === Infinity ? Infinity : this.capacity - this.totalBytes();
    if (room <= 0) throw systemError('ENOSPC');
    const most = Math.min(room, fault?.kind === 'short' ? fault.bytes : bytes.length);
    const taken = bytes.subarray(0, most);
    const offset = this.#contentOf(id).length;
    if (taken.length > 0) this.#fileOf(id).writes.push({ offset, bytes: Buffer.from(taken) });
    if (fault?.kind === 'failAfter') throw systemError(fault.code);
    return taken.length;
  }

  /** A file is durable through its own sync, also if it is new. */
  #sync(id: number): void {
    const file = this.#fileOf(id);
    file.synced = this.#contentOf(id);
    file.writes = [];
    for (const change of this.#nameChanges) {
      if (change.id === id && change.kind === 'made') this.#durableNames.set(change.name, id);
    }
    this.#nameChanges = this.#nameChanges.filter(
      (change) => change.id !== id || change.kind !== 'made',
    );
  }

  #remove(name: string): void {
    const id = this.#names.get(name);
    if (id === undefined) return;
    this.#names.delete(name);
    this.#nameChanges.push({ kind: 'removed', name, id });
  }

  #syncFolder(): void {
    this.#nameChanges = [];
    this.#durableNames.clear();
    for (const [name, id] of this.#names) this.#durableNames.set(name, id);
  }

  #namesAfterPowerLoss(kept: readonly boolean[]): ReadonlyMap<string, number> {
    const names = new Map(this.#durableNames);
    this.#nameChanges.forEach((change, index) => {
      if (kept[index] !== true) return;
      if (change.kind === 'made') names.set(change.name, change.id);
      else names.delete(change.name);
    });
    return names;
  }

  #contentsAfterPowerLoss(
    unsynced: readonly (readonly [number, ModelFile])[],
    fates: readonly WriteFate[],
  ): ReadonlyMap<number, Buffer> {
    let used = 0;
    const contents = new Map<number, Buffer>();
    for (const [id, file] of unsynced) {
      contents.set(id, afterPowerLoss(file, fates.slice(used, used + file.writes.length)));
      used += file.writes.length;
    }
    return contents;
  }

  #makeFile(bytes: Buffer): number {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#contents.set(id, { synced: bytes, writes: [] });
    return id;
  }

  #fileOf(id: number): ModelFile {
    const file = this.#contents.get(id);
    if (file === undefined) throw systemError('EBADF');
    return file;
  }

  #contentOf(id: number): Buffer {
    const file = this.#fileOf(id);
    return afterPowerLoss(
      file,
      file.writes.map(() => 'there'),
    );
  }

  #idOf(name: string): number {
    const id = this.#names.get(name);
    if (id === undefined) throw systemError('ENOENT');
    return id;
  }
}
