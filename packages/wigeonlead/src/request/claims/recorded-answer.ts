/**
 * Converts a service's answer to the part that is recorded for repeats, and back.
 */
import type { RecordedAnswer, ServiceAnswer } from '@wigeonlead/protocol'

const RECORDED_HEADERS = ['content-type', 'content-language', 'location', 'etag']

/** @returns the part of an answer that is recorded: its body and some of its headers. */
export function toRecordedAnswer (answer: ServiceAnswer): RecordedAnswer {
  const headers = Object.fromEntries(RECORDED_HEADERS.flatMap(name => {
    const value = answer.headers[name]
    return value === undefined ? [] : [[name, value]]
  }))
  return { headers, body: Buffer.from(answer.body).toString('base64') }
}

/** @returns an answer made of its status and its recorded part. */
export function fromRecordedAnswer (status: number, { headers, body }: RecordedAnswer): ServiceAnswer {
  return { status, headers, body: Buffer.from(body, 'base64') }
}
