/**
 * `wigeonctl quarantine`: lists the parts of prompts and the requests that a relay refuses because they crashed targets, and lifts one.
 */
import { z } from 'zod'
import { callRelay, type RelayAnswer } from '../relay-call.js'
import { ExitCode, type CommandOutput } from '../tool.js'

/** A part of prompts, or the digest of a request, to be lifted. */
export interface LiftedContent {
  service: string
  subject: string
}

const OK_STATUS = 200
const listSchema = z.array(z.object({
  kind: z.string(),
  service: z.string(),
  subject: z.string(),
  companions: z.array(z.string()),
  targets: z.number(),
  remainingMilliseconds: z.number()
}))

/**
 * Lists what is quarantined. All relays of a fleet have the same ones, so one relay is asked.
 * @param address `IP:PORT` of the relay's metrics listener.
 * @param lifted a part or a request that is sound; the relay tells the others.
 */
export async function quarantineCommand (address: string, lifted?: LiftedContent): Promise<CommandOutput> {
  try {
    if (lifted !== undefined) {
      const answer = await callRelay('POST', address, `/quarantine/lift?${new URLSearchParams({ ...lifted }).toString()}`)
      if (answer.status !== OK_STATUS) return failed(`${address} refused: ${readDetail(answer)}`)
    }
    const answer = await callRelay('GET', address, '/quarantine')
    const quarantined = listSchema.parse(JSON.parse(answer.text))
    const text = quarantined.length === 0
      ? 'nothing is quarantined'
      : quarantined.map(({ kind, service, subject, companions, targets, remainingMilliseconds }) => [
        `${kind} ${subject} of ${service}`,
        ...(companions.length === 0 ? [] : [`with ${companions.join(' and ')}`]),
        `${targets} targets ended`,
        `${Math.ceil(remainingMilliseconds / 1000)} s left`
      ].join('; ')).join('\n')
    return { code: ExitCode.Success, text, value: quarantined }
  } catch (error) {
    return failed(`${address} could not be reached: ${(error as Error).message}`)
  }
}

function readDetail ({ status, text }: RelayAnswer): string {
  const detail = /"detail":"([^"]*)"/.exec(text)?.[1]
  return detail ?? `status ${status}`
}

function failed (text: string): CommandOutput {
  return { code: ExitCode.Failed, text, value: { faults: [text] } }
}
