/**
 * Finds what makes the head of a received message malformed. The parser of Node.js accepts heads that its writer refuses with an exception.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'

/** Lower statuses are informational, or none at all: no message that ends an exchange has one. */
const FIRST_FINAL_STATUS = 200
/** Higher statuses are in no class of HTTP (RFC 9110, section 15). The parser of Node.js takes any three digits. */
const LAST_FINAL_STATUS = 599

/**
 * @param rawHeaders flat name-value pairs, as received.
 * @returns the first header that cannot be forwarded, described for a log; undefined if there is none.
 */
export function findInvalidHeader (rawHeaders: readonly string[]): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    try {
      validateHeaderName(rawHeaders[index]!)
      validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!)
    } catch (error) {
      return (error as Error).message
    }
  }
  return undefined
}

/**
 * @param rawHeaders flat name-value pairs, as received.
 * @returns why the head of an answer cannot be forwarded, described for a log; undefined if it can.
 */
export function findInvalidAnswerHead (status: number, rawHeaders: readonly string[]): string | undefined {
  const isFinal = status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS
  return isFinal ? findInvalidHeader(rawHeaders) : `status ${status} ends no answer`
}
