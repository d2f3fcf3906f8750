/**
 * `wigeonctl quarantine`: lists the parts of prompts whose requests a relay refuses because they crashed targets, and lifts one.
 */
import { z } from 'zod'
import { callRelay, type RelayAnswer } from '../relay-call.js'
import { ExitCode, type CommandOutput } from '../tool.js'

/** A part to be lifted. */
export interface LiftedPart {
  service: string
  part: string
}

const OK_STATUS = 200
const listSchema = z.array(z.object({
  service: z.string(), part: z.string(), companions: z.array(z.string()), targets: z.number(), remainingMilliseconds: z.number()
}))

/**
 * Lists the quarantined parts. All relays of a fleet have the same ones, so one relay is asked.
 * @param address `IP:PORT` of the relay's metrics listener.
 * @param lifted a part that is sound; the relay tells the others.
 */
export async function quarantineCommand (address: string, lifted?: LiftedPart): Promise<CommandOutput> {
  try {
    if (lifted !== undefined) {
      const answer = await callRelay('POST', address, `/prompt-parts/lift?${new URLSearchParams({ ...lifted }).toString()}`)
      if (answer.status !== OK_STATUS) return failed(`${address} refused: ${readDetail(answer)}`)
    }
    const answer = await callRelay('GET', address, '/prompt-parts')
    const parts = listSchema.parse(JSON.parse(answer.text))
    const text = parts.length === 0
      ? 'no part is quarantined'
      : parts.map(({ service, part, companions, targets, remainingMilliseconds }) => [
        `${service} ${part}`,
        ...(companions.length === 0 ? [] : [`with ${companions.join(' and ')}`]),
        `${targets} targets ended`,
        `${Math.ceil(remainingMilliseconds / 1000)} s left`
      ].join('; ')).join('\n')
    return { code: ExitCode.Success, text, value: parts }
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
