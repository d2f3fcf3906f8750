import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PeerMethod } from '@wigeonlead/protocol'
import { createHttpPeers } from '../../src/connection/index.js'
import { encodeBody, decodeBody } from '../../src/connection/peers/body.js'

const SECRETS = [{ id: 'one', value: 'a secret of the tests only' }]
const LONG = JSON.stringify(Array.from({ length: 500 }, (_, index) => ({ target: `engine-${index}`, running: index })))
const LIMIT_BYTES = 1_000_000

const bodies = suite('encoding of bodies between entry VMs')
for (const { name, text, isDeflated } of [
  { name: 'an empty body', text: '', isDeflated: false },
  { name: 'a short body', text: '{"jsonrpc":"2.0"}', isDeflated: false },
  { name: 'a long body', text: LONG, isDeflated: true },
  { name: 'multi-byte characters', text: 'Māgh ü 木'.repeat(200), isDeflated: true }
]) {
  bodies(`${name} is decoded to the same text`, () => {
    const wire = encodeBody(text)
    assert.is(wire.isDeflated, isDeflated)
    assert.is(decodeBody(wire, LIMIT_BYTES), text)
    assert.ok(!isDeflated || wire.bytes.length < Buffer.byteLength(text) / 4)
  })
}
for (const { name, wire } of [
  { name: 'a body that inflates over the limit', wire: encodeBody('x'.repeat(LIMIT_BYTES + 1)) },
  { name: 'a body that is marked as deflated and is not', wire: { bytes: Buffer.from('{}'), isDeflated: true } },
  { name: 'a deflated body that ends early', wire: { bytes: encodeBody(LONG).bytes.subarray(0, 100), isDeflated: true } }
]) {
  bodies(`${name} is refused`, () => { assert.throws(() => decodeBody(wire, LIMIT_BYTES)) })
}
bodies('a long message is deflated in both directions', async () => {
  const server = createHttpPeers(SECRETS)
  server.serve({ [PeerMethod.ConfigurationParts]: async ({ digests }) => ({ parts: digests.map(digest => ({ digest, content: LONG })) }) })
  await new Promise<void>(resolve => server.listener.listen(0, '127.0.0.1', resolve))
  const { port } = server.listener.address() as AddressInfo
  const caller = createHttpPeers(SECRETS)
  const outcome = await caller.call(`127.0.0.1:${port}`, PeerMethod.ConfigurationParts, { digests: [LONG, 'two'] }, 10_000)
  assert.ok(outcome.ok && outcome.value.parts.every(part => part.content === LONG) && outcome.value.parts[0]!.digest === LONG)
  const { sentBytes, receivedBytes } = caller.traffic!()
  assert.ok(sentBytes < LONG.length / 2 && receivedBytes < LONG.length)
  server.listener.close()
  server.listener.closeAllConnections()
})
bodies.run()
