/**
 * Client side of calls between entry VMs: one signed HTTP request for each call, over keep-alive connections.
 */
import { Agent, request as requestHttp, type ClientRequest } from 'node:http'
import { Agent as TlsAgent, request as requestHttps } from 'node:https'
import { FailureKind, Step, destroyOnAbort, failed, readAnswer, sendRequest, success, type Failure, type Outcome } from '@wigeonlead/protocol'
import { z } from 'zod'
import { bodyHeaders, encodeBody, decodeBody, receivedBody, type WireBody } from './body.js'
import { SIGNATURE_HEADER, type PeerLimits, type PeerTlsCredentials, type TrafficCounter } from './shared.js'
import type { Signer } from './signature.js'

/** Sends one body to a peer and returns the body of the answer. Never rejects. */
export type PeerSender = (address: string, body: string, deadlineMilliseconds: number) => Promise<Outcome<string>>

interface Answer {
  status: number
  signature: string | undefined
  body: WireBody
}

const MAXIMUM_CLOCK_OFFSETS = 1024
const STATUS_OFF_TIME = 409
const offTimeSchema = z.object({ nowMilliseconds: z.number() })

/** Creates the sender of calls to peers. */
export function createPeerSender (
  signer: Signer, limits: PeerLimits, traffic: TrafficCounter, tls: PeerTlsCredentials | undefined
): PeerSender {
  const pool = {
    keepAlive: true,
    maxSockets: limits.maximumSocketsPerPeer,
    maxFreeSockets: limits.maximumIdleSocketsPerPeer,
    timeout: limits.idleTimeoutMilliseconds
  }
  const agent = tls === undefined ? new Agent(pool) : new TlsAgent({ ...pool, cert: tls.certificate, key: tls.key, ca: tls.authority })
  const connectEvent = tls === undefined ? 'connect' : 'secureConnect'
  const open = (address: string, options: object): ClientRequest => tls === undefined
    ? requestHttp(`http://${address}/rpc`, options)
    : requestHttps(`https://${address}/rpc`, options)
  const clockOffsets = new Map<string, number>()
  let callsInFlight = 0

  /**
   * Sends a body once.
   * @returns 'off-time' if the peer refused the time in the signature and answered with its own time, so that the call can be repeated.
   */
  async function attempt (address: string, body: WireBody, deadlineMilliseconds: number): Promise<Outcome<string> | 'off-time'> {
    const { header, request } = signer.signRequest(body.bytes, clockOffsets.get(address) ?? 0)
    const outcome = await post(address, body, header, deadlineMilliseconds)
    if (!outcome.ok) return outcome
    const { status, signature, body: answer } = outcome.value
    const isSigned = signer.isAnswerSigned(signature, request, status, answer.bytes)
    if (isSigned && status === STATUS_OFF_TIME && storeClockOffset(address, decodeBody(answer, limits.maximumMessageBytes))) return 'off-time'
    if (isSigned && status === 200) return decodeAnswer(address, answer)
    return failed(statusFailure(address, status, isSigned))
  }

  function decodeAnswer (address: string, answer: WireBody): Outcome<string> {
    try {
      return success(decodeBody(answer, limits.maximumMessageBytes))
    } catch (cause) {
      return failed({ kind: FailureKind.Malformed, step: Step.Peer, peer: address, detail: 'the answer can\'t be inflated', cause })
    }
  }

  /** Stores how far a peer's clock is ahead of this node's. @returns whether the answer contains the peer's time. */
  function storeClockOffset (address: string, text: string): boolean {
    const parsed = offTimeSchema.safeParse(JSON.parse(text))
    if (!parsed.success) return false
    clockOffsets.delete(address)
    clockOffsets.set(address, parsed.data.nowMilliseconds - Date.now())
    const oldest = clockOffsets.keys().next().value
    if (clockOffsets.size > MAXIMUM_CLOCK_OFFSETS && oldest !== undefined) clockOffsets.delete(oldest)
    return true
  }

  async function post (address: string, body: WireBody, signature: string, deadlineMilliseconds: number): Promise<Outcome<Answer>> {
    const aborter = new AbortController()
    const timer = setTimeout(() => aborter.abort(), deadlineMilliseconds)
    let isConnected = false
    try {
      const headers = { ...bodyHeaders(body), [SIGNATURE_HEADER]: signature }
      const outgoing = open(address, { method: 'POST', agent, headers })
      destroyOnAbort(outgoing, aborter.signal)
      const response = await sendRequest(outgoing, body.bytes, () => { isConnected = true }, connectEvent)
      const { socket } = response
      const answer = receivedBody(await readAnswer(response, limits.maximumMessageBytes), response.headers)
      traffic.countNewBytes(socket)
      const answerSignature = response.headers[SIGNATURE_HEADER]
      return success({ status: response.statusCode ?? 0, body: answer, signature: typeof answerSignature === 'string' ? answerSignature : undefined })
    } catch (cause) {
      const detail = cause instanceof Error ? cause.message : String(cause)
      const origin = { step: Step.Peer, peer: address, detail, cause }
      if (!isConnected) return failed({ ...origin, kind: FailureKind.Unreachable })
      if (aborter.signal.aborted) return failed({ ...origin, kind: FailureKind.TimedOut, afterMilliseconds: deadlineMilliseconds })
      return failed({ ...origin, kind: FailureKind.Broken })
    } finally {
      clearTimeout(timer)
    }
  }

  return async (address, body, deadlineMilliseconds) => {
    const origin = { step: Step.Peer, peer: address }
    if (Buffer.byteLength(body) > limits.maximumMessageBytes) return failed({ ...origin, kind: FailureKind.Refused, detail: 'the message is too large' })
    if (callsInFlight >= limits.maximumOutgoingCalls) return failed({ ...origin, kind: FailureKind.Refused, detail: 'too many calls in flight' })
    callsInFlight += 1
    try {
      const endsAt = performance.now() + deadlineMilliseconds
      const wire = encodeBody(body)
      let outcome = await attempt(address, wire, deadlineMilliseconds)
      if (outcome === 'off-time') outcome = await attempt(address, wire, endsAt - performance.now())
      return outcome === 'off-time' ? failed({ ...origin, kind: FailureKind.Unauthenticated, detail: 'the clocks differ' }) : outcome
    } finally {
      callsInFlight -= 1
    }
  }
}

function statusFailure (address: string, status: number, isSigned: boolean): Failure {
  const origin = { step: Step.Peer, peer: address, detail: `status ${status}` }
  if (status === 503 && isSigned) return { ...origin, kind: FailureKind.Refused, status }
  if (status === 401) return { ...origin, kind: FailureKind.Unauthenticated }
  if (!isSigned) return { ...origin, kind: FailureKind.Malformed, detail: `status ${status}, not signed by the peer` }
  return { ...origin, kind: FailureKind.Refused, status }
}
