/**
 * `wigeonctl domains`: shows what a relay sends to other failure domains, and the states that it decides from.
 */
import { z } from 'zod'
import { callRelay } from '../relay-call.js'
import { ExitCode, type CommandOutput } from '../tool.js'

const OK_STATUS = 200
/** JSON has no infinite numbers: null stands for an unknown age, and for the wait and the utilization of a domain without capacity. */
const measured = z.number().nullable()
const reportSchema = z.array(z.object({
  service: z.string(),
  failureDomain: z.string(),
  shares: z.record(z.string(), z.number()),
  states: z.array(z.object({
    failureDomain: z.string(),
    waitMilliseconds: measured,
    utilization: measured,
    places: z.number(),
    isShort: z.boolean(),
    ageMilliseconds: measured,
    sharedToUs: z.number()
  }))
}))
type DomainState = z.infer<typeof reportSchema>[number]['states'][number]

/**
 * Shows the shares of one relay. Each relay decides for its own callers, and those of a failure domain arrive at about the same shares.
 * @param address `IP:PORT` of the relay's metrics listener.
 */
export async function domainsCommand (address: string): Promise<CommandOutput> {
  try {
    const answer = await callRelay('GET', address, '/domains')
    if (answer.status !== OK_STATUS) return failed(`${address} refused: status ${answer.status}`)
    const reports = reportSchema.parse(JSON.parse(answer.text))
    const lines = reports.flatMap(({ service, failureDomain, shares, states }) => [
      `${service} in ${failureDomain}: ${describeShares(shares)}`, ...states.map(state => `  ${describeState(state)}`)
    ])
    return { code: ExitCode.Success, text: lines.join('\n') || 'no shares have been decided', value: reports }
  } catch (error) {
    return failed(`${address} could not be reached: ${(error as Error).message}`)
  }
}

function describeShares (shares: Record<string, number>): string {
  const parts = Object.entries(shares).map(([receiver, share]) => `${percent(share)} to ${receiver}`)
  return parts.length === 0 ? 'all requests stay' : parts.join(', ')
}

function describeState ({ failureDomain, places, isShort, ageMilliseconds, sharedToUs, ...state }: DomainState): string {
  const load = `wait ${Math.round(state.waitMilliseconds ?? 0)} ms, ${percent(state.utilization ?? 0)} of ${places} places`
  return [
    `${failureDomain}: ${places === 0 ? 'no capacity' : load}`,
    ...(isShort ? ['short'] : []),
    ...(sharedToUs > 0 ? [`sends out ${percent(sharedToUs)}`] : []),
    ageMilliseconds === null ? 'unknown' : `${Math.round(ageMilliseconds)} ms old`
  ].join('; ')
}

function percent (share: number): string {
  return `${Math.round(share * 100)}%`
}

function failed (text: string): CommandOutput {
  return { code: ExitCode.Failed, text, value: { faults: [text] } }
}
