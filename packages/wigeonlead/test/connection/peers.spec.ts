import { readFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FailureKind, PeerMethod, type Outcome, type PeerHandlers } from '@wigeonlead/protocol'
import { createHttpPeers, type HttpPeers, type HttpPeersOptions } from '../../src/connection/index.js'
import { SignatureCheck, createSigner } from '../../src/connection/peers/signature.js'

const OLD = { id: 'old', value: 'the secret before the rotation' }
const NEW = { id: 'new', value: 'the secret after the rotation' }
const FAR_MILLISECONDS = 10_000
const HEAD = PeerMethod.ConfigurationHead
const ANSWERING: PeerHandlers = { [HEAD]: async () => ({}) }

interface Case {
  name: string
  caller?: () => HttpPeers
  server?: () => HttpPeers
  handlers?: PeerHandlers
  method?: PeerMethod.ConfigurationHead | PeerMethod.Status
  deadlineMilliseconds?: number
  isAbsent?: boolean
  /** What the call gives; undefined for success. */
  failure?: FailureKind
  refusals?: number
}

const peersWith = (secrets: Array<typeof OLD>, options?: HttpPeersOptions) => () => createHttpPeers(secrets, options)

const CASES: Case[] = [
  { name: 'a call is answered' },
  { name: 'a caller with the old secret is served in a rotation', caller: peersWith([OLD]), server: peersWith([NEW, OLD]) },
  { name: 'a caller with the new secret is served in a rotation', caller: peersWith([NEW, OLD]), server: peersWith([OLD, NEW]) },
  { name: 'a secret that was taken out is refused and told', caller: peersWith([OLD]), server: peersWith([NEW]), failure: FailureKind.Unauthenticated, refusals: 1 },
  {
    name: 'the same id with another value is refused and told',
    caller: peersWith([{ ...OLD, value: 'a guess at the secret' }]),
    failure: FailureKind.Unauthenticated,
    refusals: 1
  },
  { name: 'an unknown method is refused', method: PeerMethod.Status, failure: FailureKind.Refused },
  {
    name: 'a handler that fails may have done something',
    handlers: { [HEAD]: async () => { throw new Error('half done') } },
    failure: FailureKind.Broken
  },
  { name: 'a handler that never ends runs into the deadline', handlers: { [HEAD]: () => new Promise(() => {}) }, deadlineMilliseconds: 30, failure: FailureKind.TimedOut },
  { name: 'an absent peer is unreachable', isAbsent: true, failure: FailureKind.Unreachable },
  { name: 'a message over the limit is refused before it is sent', caller: peersWith([OLD], { limits: { messageBytes: 10 } }), failure: FailureKind.Refused },
  { name: 'a message over the limit of the receiver is not taken', server: peersWith([OLD], { limits: { messageBytes: 10 } }), failure: FailureKind.Broken },
  { name: 'a busy peer refuses', server: peersWith([OLD], { limits: { servedCalls: 0 } }), failure: FailureKind.Refused },
  { name: 'a caller with too many calls under way refuses itself', caller: peersWith([OLD], { limits: { calls: 0 } }), failure: FailureKind.Refused },
  { name: 'mutual TLS carries a call', caller: peersWith([OLD], { tls: tls('node', 'authority') }), server: peersWith([OLD], { tls: tls('node', 'authority') }) },
  {
    name: 'a certificate of another authority is refused',
    caller: peersWith([OLD], { tls: tls('intruder', 'authority') }),
    server: peersWith([OLD], { tls: tls('node', 'authority') }),
    failure: FailureKind.Broken,
    refusals: 1
  },
  {
    name: 'a server with a certificate of another authority is not spoken to',
    caller: peersWith([OLD], { tls: tls('node', 'authority') }),
    server: peersWith([OLD], { tls: tls('intruder', 'authority') }),
    failure: FailureKind.Unreachable
  },
  { name: 'a plain caller is not served over TLS', server: peersWith([OLD], { tls: tls('node', 'authority') }), failure: FailureKind.Broken, refusals: 1 }
]

const peers = suite('peers')
for (const row of CASES) {
  peers(row.name, async () => {
    let refusals = 0
    const caller = (row.caller ?? peersWith([OLD]))()
    const server = (row.server ?? peersWith([OLD]))()
    server.listener.on('tlsClientError', () => { refusals += 1 })
    server.serve(row.handlers ?? ANSWERING)
    const address = await listen(server.listener)
    if (row.isAbsent === true) await close(server.listener)
    const outcome: Outcome<unknown> = await caller.call(address, row.method ?? HEAD, {}, row.deadlineMilliseconds ?? FAR_MILLISECONDS)
    await close(server.listener)
    assert.is(outcome.ok ? undefined : outcome.failure.kind, row.failure, outcome.ok ? '' : outcome.failure.detail)
    if (row.failure === undefined) assert.ok((caller.traffic?.().sentBytes ?? 0) > 0)
    if (row.refusals !== undefined && row.failure !== FailureKind.Unauthenticated) assert.is(refusals, row.refusals)
  })
}

peers('a refused caller is reported', async () => {
  const refused: string[] = []
  const server = createHttpPeers([NEW], { onRefused: (_peer, reason) => { refused.push(reason) } })
  const address = await listen(server.listener)
  await createHttpPeers([OLD]).call(address, HEAD, {}, FAR_MILLISECONDS)
  await close(server.listener)
  assert.equal(refused, [SignatureCheck.Invalid])
})

peers('an answer that the peer did not sign is not believed', async () => {
  const forger = createServer((_request, response) => { response.end('{"jsonrpc":"2.0","id":1,"result":{}}') })
  const address = await listen(forger)
  const outcome = await createHttpPeers([OLD]).call(address, HEAD, {}, FAR_MILLISECONDS)
  await close(forger)
  assert.is(!outcome.ok && outcome.failure.kind, FailureKind.Malformed)
})

peers('a connection that breaks after the request tells that the work may have run', async () => {
  const breaker = createServer((request, response) => { request.resume().on('end', () => response.destroy()) })
  const address = await listen(breaker)
  const outcome = await createHttpPeers([OLD]).call(address, HEAD, {}, FAR_MILLISECONDS)
  await close(breaker)
  assert.is(!outcome.ok && outcome.failure.kind, FailureKind.Broken)
})

interface SignatureCase {
  name: string
  offsetMilliseconds?: number
  body?: string
  times?: number
  check: SignatureCheck
}

const SIGNATURE_CASES: SignatureCase[] = [
  { name: 'a fresh signature is valid', check: SignatureCheck.Valid },
  { name: 'a signature that comes twice is a replay', times: 2, check: SignatureCheck.Replayed },
  { name: 'another body is invalid', body: 'other', check: SignatureCheck.Invalid },
  { name: 'an old signature is off time', offsetMilliseconds: -600_000, check: SignatureCheck.OffTime },
  { name: 'a signature of the future is off time', offsetMilliseconds: 600_000, check: SignatureCheck.OffTime }
]

for (const { name, offsetMilliseconds = 0, body = 'body', times = 1, check } of SIGNATURE_CASES) {
  peers(name, () => {
    const { header } = createSigner([OLD]).signRequest('body', offsetMilliseconds)
    const receiver = createSigner([NEW, OLD])
    const checks = Array.from({ length: times }, () => receiver.checkRequest(header, body).check)
    assert.is(checks.at(-1), check)
  })
}

peers('a node whose clock is far off learns the peer\'s time and is served', async () => {
  const server = createHttpPeers([OLD])
  server.serve(ANSWERING)
  const address = await listen(server.listener)
  const now = Date.now
  let calls = 0
  Date.now = () => now() - (calls++ === 0 ? 3_600_000 : 0)
  try {
    const outcome = await createHttpPeers([OLD]).call(address, HEAD, {}, FAR_MILLISECONDS)
    assert.ok(outcome.ok)
  } finally {
    Date.now = now
    await close(server.listener)
  }
})
peers.run()

function tls (name: string, authority: string): { certificate: string, key: string, authority: string } {
  const read = (file: string): string => readFileSync(new URL(`../../../test/connection/certificates/${file}.pem`, import.meta.url), 'utf8')
  return { certificate: read(name), key: read(`${name}.key`), authority: read(authority) }
}

function listen (server: Server): Promise<string> {
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`))
  })
}

function close (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
