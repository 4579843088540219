/**
 * An in-memory disk for tests. The disk distinguishes written data, synced data and durable names,
 * yields every state that a power loss can leave, and fails or delays any operation on demand.
 */
import type { LogFileSystem, WritableFile } from './file-system.js';

/** The operations for which the disk calls its hook. */
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

/** A fault that is injected into one operation. */
export type DiskFault =
  /** The operation fails and changes nothing. */
  | { readonly kind: 'fail'; readonly code: string }
  /** A write accepts at most this many bytes. */
  | { readonly kind: 'short'; readonly bytes: number }
  /** The operation takes effect but fails, like a lost reply or a partly failed sync. */
  | { readonly kind: 'failAfter'; readonly code: string };

/** Called before each operation; returns the fault to inject, or null. */
export type DiskHook = (
  operation: DiskOperation,
  name: string,
) => DiskFault | null | Promise<DiskFault | null>;

type UnsyncedWrite = { readonly offset: number; readonly bytes: Buffer };
type ModelFile = { synced: Buffer; writes: UnsyncedWrite[] };
type NameChange = {
  readonly kind: 'created' | 'removed';
  readonly name: string;
  readonly id: number;
};

/** The part of an unsynced write that survives a power loss. */
type WriteFate = 'complete' | 'missing' | 'start' | 'end';
const writeFates: readonly WriteFate[] = ['complete', 'missing', 'start', 'end'];

const systemError = (code: string): Error =>
  Object.assign(new Error(`model disk: ${code}`), { code });

/** Yields every sequence of `count` options. */
function* optionSequences<Option>(
  count: number,
  options: readonly Option[],
): Iterable<readonly Option[]> {
  if (count === 0) {
    yield [];
    return;
  }
  for (const prefix of optionSequences(count - 1, options)) {
    for (const option of options) yield [...prefix, option];
  }
}

const overwrite = (content: Buffer, offset: number, bytes: Buffer): Buffer => {
  const result = Buffer.alloc(Math.max(content.length, offset + bytes.length));
  content.copy(result);
  bytes.copy(result, offset);
  return result;
};

const contentAfterPowerLoss = (file: ModelFile, fates: readonly WriteFate[]): Buffer => {
  let content = file.synced;
  file.writes.forEach(({ offset, bytes }, index) => {
    const halfBytes = Math.ceil(bytes.length / 2);
    const fate = fates[index];
    if (fate === 'complete') content = overwrite(content, offset, bytes);
    if (fate === 'start') content = overwrite(content, offset, bytes.subarray(0, halfBytes));
    if (fate === 'end') content = overwrite(content, offset + halfBytes, bytes.subarray(halfBytes));
  });
  return content;
};

/** A simulated disk with one folder, which tests can copy, fail and restart after a power loss. */
export class ModelDisk {
  readonly #contents: Map<number, ModelFile>;
  readonly #names: Map<string, number>;
  /** The names on disk, without the changes in `#nameChanges` that a power loss may undo. */
  readonly #durableNames: Map<string, number>;
  #nameChanges: NameChange[];
  #nextId: number;
  hook: DiskHook = () => null;
  /** Bytes that fit on the disk; a write accepts as many bytes as still fit. */
  capacity = Infinity;

  constructor(source?: ModelDisk) {
    this.#contents = new Map(
      [...(source === undefined ? [] : source.#contents)].map(([id, file]) => [
        id,
        { synced: file.synced, writes: [...file.writes] },
      ]),
    );
    this.#names = new Map(source === undefined ? [] : source.#names);
    this.#durableNames = new Map(source === undefined ? [] : source.#durableNames);
    this.#nameChanges = [...(source === undefined ? [] : source.#nameChanges)];
    this.#nextId = source === undefined ? 1 : source.#nextId;
  }

  /** Creates a disk that contains these files, all of them durable. */
  static of(files: ReadonlyMap<string, Buffer>): ModelDisk {
    const disk = new ModelDisk();
    for (const [name, bytes] of files) {
      const id = disk.#makeFile(bytes);
      disk.#names.set(name, id);
      disk.#durableNames.set(name, id);
    }
    return disk;
  }

  /** Copies the disk with its unsynced data, as a new process sees the disk while power is on. */
  copy(): ModelDisk {
    return new ModelDisk(this);
  }

  /** The files as processes read them now, with unsynced writes. */
  files(): ReadonlyMap<string, Buffer> {
    return new Map([...this.#names].map(([name, id]) => [name, this.#contentOf(id)]));
  }

  totalBytes(): number {
    return [...this.files().values()].reduce((sum, bytes) => sum + bytes.length, 0);
  }

  /** Yields every state that a power loss can leave now, without duplicates. */
  *statesAfterPowerLoss(): Iterable<ModelDisk> {
    const seenStates = new Set<string>();
    const unsyncedFiles = [...this.#contents].filter(([, file]) => file.writes.length > 0);
    const writeCount = unsyncedFiles.reduce((sum, [, file]) => sum + file.writes.length, 0);
    for (const keptChanges of optionSequences(this.#nameChanges.length, [true, false])) {
      const names = this.#namesAfterPowerLoss(keptChanges);
      for (const fates of optionSequences(writeCount, writeFates)) {
        const contents = this.#contentsAfterPowerLoss(unsyncedFiles, fates);
        const files = new Map(
          [...names].map(([name, id]) => [
            name,
            contents.get(id) ?? this.#contents.get(id)?.synced ?? Buffer.alloc(0),
          ]),
        );
        const key = JSON.stringify(
          [...files].map(([name, bytes]) => [name, bytes.toString('latin1')]).sort(),
        );
        if (seenStates.has(key)) continue;
        seenStates.add(key);
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
    execute: () => Result,
  ): Promise<Result> {
    const fault = await this.hook(operation, name);
    if (fault?.kind === 'fail') throw systemError(fault.code);
    const result = execute();
    if (fault?.kind === 'failAfter') throw systemError(fault.code);
    return result;
  }

  #create(name: string): WritableFile {
    if (this.#names.has(name)) throw systemError('EEXIST');
    const id = this.#makeFile(Buffer.alloc(0));
    this.#names.set(name, id);
    this.#nameChanges.push({ kind: 'created', name, id });
    return {
      write: (bytes) => this.#write(name, id, bytes),
      sync: () => this.#perform('sync', name, () => this.#sync(id)),
      close: () => this.#perform('close', name, () => undefined),
    };
  }

  async #write(name: string, id: number, bytes: Buffer): Promise<number> {
    const fault = await this.hook('write', name);
    if (fault?.kind === 'fail') throw systemError(fault.code);
    const freeBytes = this.capacity === Infinity ? Infinity : this.capacity - this.totalBytes();
    if (freeBytes <= 0) throw systemError('ENOSPC');
    const maxBytes = Math.min(freeBytes, fault?.kind === 'short' ? fault.bytes : bytes.length);
    const accepted = bytes.subarray(0, maxBytes);
    const offset = this.#contentOf(id).length;
    if (accepted.length > 0) this.#fileOf(id).writes.push({ offset, bytes: Buffer.from(accepted) });
    if (fault?.kind === 'failAfter') throw systemError(fault.code);
    return accepted.length;
  }

  /** Makes the content of a file durable, and also its name if the file is new. */
  #sync(id: number): void {
    const file = this.#fileOf(id);
    file.synced = this.#contentOf(id);
    file.writes = [];
    for (const change of this.#nameChanges) {
      if (change.id === id && change.kind === 'created') this.#durableNames.set(change.name, id);
    }
    this.#nameChanges = this.#nameChanges.filter(
      (change) => change.id !== id || change.kind !== 'created',
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

  #namesAfterPowerLoss(keptChanges: readonly boolean[]): ReadonlyMap<string, number> {
    const names = new Map(this.#durableNames);
    this.#nameChanges.forEach((change, index) => {
      if (keptChanges[index] !== true) return;
      if (change.kind === 'created') names.set(change.name, change.id);
      else names.delete(change.name);
    });
    return names;
  }

  #contentsAfterPowerLoss(
    unsyncedFiles: readonly (readonly [number, ModelFile])[],
    fates: readonly WriteFate[],
  ): ReadonlyMap<number, Buffer> {
    let fateIndex = 0;
    const contents = new Map<number, Buffer>();
    for (const [id, file] of unsyncedFiles) {
      contents.set(
        id,
        contentAfterPowerLoss(file, fates.slice(fateIndex, fateIndex + file.writes.length)),
      );
      fateIndex += file.writes.length;
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
    return contentAfterPowerLoss(
      file,
      file.writes.map(() => 'complete'),
    );
  }

  #idOf(name: string): number {
    const id = this.#names.get(name);
    if (id === undefined) throw systemError('ENOENT');
    return id;
  }
}
