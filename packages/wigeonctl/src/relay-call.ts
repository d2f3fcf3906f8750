/**
 * Calls to the operators' listener of a relay, which also serves its metrics.
 */
import { request } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'

/** Timeout of a call, milliseconds. Relays normally answer within a few milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 2000
const MAX_ANSWER_BYTES = 1_048_576

/** An answer of a relay. */
export interface RelayAnswer {
  status: number
  text: string
}

/**
 * Sends one request without a body.
 * @param address `IP:PORT` of the listener.
 * @throws if no answer arrives in time.
 */
export function callRelay (method: string, address: string, path: string): Promise<RelayAnswer> {
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${address}${path}`, { method, agent: false, timeout: ANSWER_TIMEOUT_MILLISECONDS }, response => {
      readAnswer(response, MAX_ANSWER_BYTES).then(body => resolve({ status: response.statusCode ?? 0, text: body.toString() }), reject)
    })
    outgoing.on('timeout', () => outgoing.destroy(new Error('no answer in time')))
    outgoing.on('error', reject)
    outgoing.end()
  })
}
