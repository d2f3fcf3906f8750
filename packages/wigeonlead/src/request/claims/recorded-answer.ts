/**
 * The part of a service's answer that is kept for repeats.
 */
import type { RecordedAnswer, ServiceAnswer } from '@wigeonlead/protocol'

const KEPT_HEADERS = ['content-type', 'content-language', 'location', 'etag']

/** @returns what is kept of an answer. */
export function toRecordedAnswer (answer: ServiceAnswer): RecordedAnswer {
  const headers = Object.fromEntries(KEPT_HEADERS.flatMap(name => {
    const value = answer.headers[name]
    return value === undefined ? [] : [[name, value]]
  }))
  return { headers, body: Buffer.from(answer.body).toString('base64') }
}

/** @returns the answer of which a part was kept. */
export function fromRecordedAnswer (status: number, { headers, body }: RecordedAnswer): ServiceAnswer {
  return { status, headers, body: Buffer.from(body, 'base64') }
}
