/**
 * Signatures of messages between entry VMs: HMAC-SHA-256 with the id of the secret, and with a time and a nonce against replay.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** A shared secret with its id. */
export interface PeerSecret {
  id: string
  value: string
}

/** Identifies a signed request: the fields of its signature header, without the signature value itself. */
export interface SignedRequest {
  secretId: string
  atMilliseconds: number
  nonce: string
}

/** Results of checking a request's signature. */
export enum SignatureCheck {
  Valid = 'valid',
  Invalid = 'invalid',
  /** Correctly signed, but the signature's time differs too much from this node's clock. */
  OffTime = 'off-time',
  Replayed = 'replayed'
}

/** Signs and checks the messages of one node. */
export interface Signer {
  /** Signs a request with the first secret. `offsetMilliseconds` is how far the receiver's clock is ahead of this node's. */
  signRequest: (body: string | Buffer, offsetMilliseconds: number) => { header: string, request: SignedRequest }
  checkRequest: (header: string | undefined, body: string | Buffer) => { check: SignatureCheck, request?: SignedRequest }
  /** Signs an answer with the secret of its request. */
  signAnswer: (request: SignedRequest, status: number, body: string | Buffer) => string
  isAnswerSigned: (header: string | undefined, request: SignedRequest, status: number, body: string | Buffer) => boolean
}

/** Maximum difference between the time in a signature and this node's clock. */
const TIME_WINDOW_MILLISECONDS = 60_000
const MAXIMUM_NONCES = 131_072
const NONCE_BYTES = 12

/**
 * Creates a signer.
 * @param secrets the first one signs requests; requests signed with any of them are accepted.
 */
export function createSigner (secrets: PeerSecret[]): Signer {
  const seenNonces = new Map<string, number>()

  function isReplay (nonce: string): boolean {
    const now = Date.now()
    for (const [oldNonce, at] of seenNonces) {
      if (Math.abs(now - at) < 2 * TIME_WINDOW_MILLISECONDS && seenNonces.size <= MAXIMUM_NONCES) break
      seenNonces.delete(oldNonce)
    }
    if (seenNonces.has(nonce)) return true
    seenNonces.set(nonce, now)
    return false
  }

  function computeMac (secretId: string, head: string, body: string | Buffer): string | undefined {
    const secret = secrets.find(secret => secret.id === secretId)
    return secret === undefined ? undefined : createHmac('sha256', secret.value).update(head).update(body).digest('base64url')
  }

  return {
    signRequest (body, offsetMilliseconds) {
      const request = {
        secretId: secrets[0]?.id ?? '',
        atMilliseconds: Date.now() + offsetMilliseconds,
        nonce: randomBytes(NONCE_BYTES).toString('base64url')
      }
      const { secretId, atMilliseconds, nonce } = request
      return { request, header: [secretId, atMilliseconds, nonce, computeMac(secretId, requestText(request), body)].join(' ') }
    },
    checkRequest (header, body) {
      const [secretId = '', at = '', nonce = '', signature = ''] = (header ?? '').split(' ')
      const request = { secretId, atMilliseconds: Number(at), nonce }
      if (!isEqual(signature, computeMac(secretId, requestText(request), body))) return { check: SignatureCheck.Invalid }
      const isInTime = Math.abs(request.atMilliseconds - Date.now()) <= TIME_WINDOW_MILLISECONDS
      if (!isInTime) return { check: SignatureCheck.OffTime, request }
      return { check: isReplay(nonce) ? SignatureCheck.Replayed : SignatureCheck.Valid, request }
    },
    signAnswer: (request, status, body) => computeMac(request.secretId, answerText(request, status), body) ?? '',
    isAnswerSigned: (header, request, status, body) => isEqual(header ?? '', computeMac(request.secretId, answerText(request, status), body))
  }
}

function requestText ({ secretId, atMilliseconds, nonce }: SignedRequest): string {
  return `request\n${secretId}\n${atMilliseconds}\n${nonce}\n`
}

function answerText (request: SignedRequest, status: number): string {
  return `answer\n${request.nonce}\n${status}\n`
}

function isEqual (found: string, expected: string | undefined): boolean {
  if (expected === undefined) return false
  const left = Buffer.from(found)
  const right = Buffer.from(expected)
  return left.length === right.length && timingSafeEqual(left, right)
}
