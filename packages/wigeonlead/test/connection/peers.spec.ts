import { readFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FailureKind, PeerMethod, type Outcome, type PeerHandlers } from '@wigeonlead/protocol'
import { createHttpPeers, type HttpPeers, type HttpPeersOptions } from '../../src/connection/index.js'
import { SignatureCheck, createSigner } from '../../src/connection/peers/signature.js'

const OLD_SECRET = { id: 'old', value: 'the secret before the rotation' }
const NEW_SECRET = { id: 'new', value: 'the secret after the rotation' }
const DEADLINE_MILLISECONDS = 10_000
const HEAD = PeerMethod.ConfigurationHead
const ANSWERING_HANDLERS: PeerHandlers = { [HEAD]: async () => ({}) }

interface Case {
  name: string
  caller?: () => HttpPeers
  server?: () => HttpPeers
  handlers?: PeerHandlers
  method?: PeerMethod.ConfigurationHead | PeerMethod.Status
  deadlineMilliseconds?: number
  isListenerClosed?: boolean
  /** Kind of the failure that the call returns; undefined for success. */
  failure?: FailureKind
  refusals?: number
}

const peersWith = (secrets: Array<typeof OLD_SECRET>, options?: HttpPeersOptions) => () => createHttpPeers(secrets, options)

const CASES: Case[] = [
  { name: 'a call is answered' },
  { name: 'a caller with the old secret is served during a rotation', caller: peersWith([OLD_SECRET]), server: peersWith([NEW_SECRET, OLD_SECRET]) },
  { name: 'a caller with the new secret is served during a rotation', caller: peersWith([NEW_SECRET, OLD_SECRET]), server: peersWith([OLD_SECRET, NEW_SECRET]) },
  { name: 'a caller with a removed secret is refused', caller: peersWith([OLD_SECRET]), server: peersWith([NEW_SECRET]), failure: FailureKind.Unauthenticated, refusals: 1 },
  {
    name: 'a caller with a known secret id and another value is refused',
    caller: peersWith([{ ...OLD_SECRET, value: 'a guess at the secret' }]),
    failure: FailureKind.Unauthenticated,
    refusals: 1
  },
  { name: 'an unknown method is refused', method: PeerMethod.Status, failure: FailureKind.Refused },
  {
    name: 'a call whose handler fails may have been executed',
    handlers: { [HEAD]: async () => { throw new Error('half done') } },
    failure: FailureKind.Broken
  },
  { name: 'a call whose handler never returns fails at the deadline', handlers: { [HEAD]: () => new Promise(() => {}) }, deadlineMilliseconds: 30, failure: FailureKind.TimedOut },
  { name: 'a peer without a listener is unreachable', isListenerClosed: true, failure: FailureKind.Unreachable },
  { name: 'a message over the limit is refused before it is sent', caller: peersWith([OLD_SECRET], { limits: { maximumMessageBytes: 10 } }), failure: FailureKind.Refused },
  { name: 'a message over the limit of the receiver breaks the connection', server: peersWith([OLD_SECRET], { limits: { maximumMessageBytes: 10 } }), failure: FailureKind.Broken },
  { name: 'a peer at its limit of incoming calls refuses a call', server: peersWith([OLD_SECRET], { limits: { maximumIncomingCalls: 0 } }), failure: FailureKind.Refused },
  { name: 'a call by a caller at its limit of outgoing calls is refused', caller: peersWith([OLD_SECRET], { limits: { maximumOutgoingCalls: 0 } }), failure: FailureKind.Refused },
  { name: 'a call over mutual TLS is answered', caller: peersWith([OLD_SECRET], { tls: tls('node', 'authority') }), server: peersWith([OLD_SECRET], { tls: tls('node', 'authority') }) },
  {
    name: 'a client certificate of another authority is refused',
    caller: peersWith([OLD_SECRET], { tls: tls('intruder', 'authority') }),
    server: peersWith([OLD_SECRET], { tls: tls('node', 'authority') }),
    failure: FailureKind.Broken,
    refusals: 1
  },
  {
    name: 'a server certificate of another authority is refused',
    caller: peersWith([OLD_SECRET], { tls: tls('node', 'authority') }),
    server: peersWith([OLD_SECRET], { tls: tls('intruder', 'authority') }),
    failure: FailureKind.Unreachable
  },
  { name: 'a caller without TLS is refused by a listener with TLS', server: peersWith([OLD_SECRET], { tls: tls('node', 'authority') }), failure: FailureKind.Broken, refusals: 1 }
]

const peers = suite('peers')
for (const row of CASES) {
  peers(row.name, async () => {
    let refusals = 0
    const caller = (row.caller ?? peersWith([OLD_SECRET]))()
    const server = (row.server ?? peersWith([OLD_SECRET]))()
    server.listener.on('tlsClientError', () => { refusals += 1 })
    server.serve(row.handlers ?? ANSWERING_HANDLERS)
    const address = await listen(server.listener)
    if (row.isListenerClosed === true) await close(server.listener)
    const outcome: Outcome<unknown> = await caller.call(address, row.method ?? HEAD, {}, row.deadlineMilliseconds ?? DEADLINE_MILLISECONDS)
    await close(server.listener)
    assert.is(outcome.ok ? undefined : outcome.failure.kind, row.failure, outcome.ok ? '' : outcome.failure.detail)
    if (row.failure === undefined) assert.ok((caller.traffic?.().sentBytes ?? 0) > 0)
    if (row.refusals !== undefined && row.failure !== FailureKind.Unauthenticated) assert.is(refusals, row.refusals)
  })
}

peers('a refused caller is reported', async () => {
  const refused: string[] = []
  const server = createHttpPeers([NEW_SECRET], { onRefused: (_peer, reason) => { refused.push(reason) } })
  const address = await listen(server.listener)
  await createHttpPeers([OLD_SECRET]).call(address, HEAD, {}, DEADLINE_MILLISECONDS)
  await close(server.listener)
  assert.equal(refused, [SignatureCheck.Invalid])
})

peers('an answer without the peer\'s signature is malformed', async () => {
  const forger = createServer((_request, response) => { response.end('{"jsonrpc":"2.0","id":1,"result":{}}') })
  const address = await listen(forger)
  const outcome = await createHttpPeers([OLD_SECRET]).call(address, HEAD, {}, DEADLINE_MILLISECONDS)
  await close(forger)
  assert.is(!outcome.ok && outcome.failure.kind, FailureKind.Malformed)
})

peers('a call whose connection breaks after the request may have been executed', async () => {
  const breaker = createServer((request, response) => { request.resume().on('end', () => response.destroy()) })
  const address = await listen(breaker)
  const outcome = await createHttpPeers([OLD_SECRET]).call(address, HEAD, {}, DEADLINE_MILLISECONDS)
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
  { name: 'a signature that is received twice is a replay', times: 2, check: SignatureCheck.Replayed },
  { name: 'a signature of another body is invalid', body: 'other', check: SignatureCheck.Invalid },
  { name: 'a signature with a time far in the past is off time', offsetMilliseconds: -600_000, check: SignatureCheck.OffTime },
  { name: 'a signature with a time far in the future is off time', offsetMilliseconds: 600_000, check: SignatureCheck.OffTime }
]

for (const { name, offsetMilliseconds = 0, body = 'body', times = 1, check } of SIGNATURE_CASES) {
  peers(name, () => {
    const { header } = createSigner([OLD_SECRET]).signRequest('body', offsetMilliseconds)
    const receiver = createSigner([NEW_SECRET, OLD_SECRET])
    const checks = Array.from({ length: times }, () => receiver.checkRequest(header, body).check)
    assert.is(checks.at(-1), check)
  })
}

peers('a node whose clock is far off adopts the peer\'s time and is served', async () => {
  const server = createHttpPeers([OLD_SECRET])
  server.serve(ANSWERING_HANDLERS)
  const address = await listen(server.listener)
  const now = Date.now
  let calls = 0
  Date.now = () => now() - (calls++ === 0 ? 3_600_000 : 0)
  try {
    const outcome = await createHttpPeers([OLD_SECRET]).call(address, HEAD, {}, DEADLINE_MILLISECONDS)
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
