import test from 'ava';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse, stringify } from 'devalue';
import {
  decodeReplicaReply,
  decodeReplicaRequest,
  encodeReplicaReply,
  encodeReplicaRequest,
} from './protocol/codec.js';
import { decodeReplicaRecord, encodeReplicaRecord } from './storage/record-codec.js';

type Examples = Readonly<Record<string, readonly string[]>>;

/** Messages and records as commit 0da2ab4 sent and stored them, by their wire kind. */
const examples = JSON.parse(
  readFileSync(
    fileURLToPath(new URL('../test/fixtures/messages-0da2ab4.json', import.meta.url)),
    'utf8',
  ),
) as Readonly<Record<'replica-request' | 'replica-reply' | 'replica-record', Examples>>;

const codecs = {
  'replica-request': (body: unknown) => encodeReplicaRequest(decodeReplicaRequest(body)),
  'replica-reply': (body: unknown) => encodeReplicaReply(decodeReplicaReply(body)),
  'replica-record': (body: unknown) => encodeReplicaRecord(decodeReplicaRecord(body)),
};

for (const [group, reencode] of Object.entries(codecs)) {
  for (const [kind, texts] of Object.entries(examples[group as keyof typeof codecs])) {
    test(`a ${group} of an earlier version is decoded, and encoded unchanged: ${kind}`, (t) => {
      t.true(texts.length > 0);
      for (const text of texts) {
        const reencoded = reencode(parse(text));
        t.is(JSON.stringify(reencoded), JSON.stringify(parse(text)));
        // Stored records must also have the same references between their parts.
        if (group === 'replica-record') t.is(stringify(reencoded), text);
      }
    });
  }
}

test('replies without a recorded example are encoded unchanged', (t) => {
  for (const kind of ['unavailable', 'full'] as const) {
    const reply = { kind, disk: 'disk-1' };
    t.deepEqual(encodeReplicaReply(decodeReplicaReply(reply)), reply);
  }
});

test('decoding a message or record of an unknown kind fails with an error that names the kind', (t) => {
  const unknown = { kind: 'later', disk: 'disk-1' };
  t.throws(() => decodeReplicaRequest({ members: null, call: unknown }), { message: /later/ });
  t.like(
    t.throws(() => decodeReplicaReply(unknown)),
    { code: 'unknown-message' },
  );
  t.like(
    t.throws(() => decodeReplicaRecord(unknown)),
    { code: 'unknown-record' },
  );
});
