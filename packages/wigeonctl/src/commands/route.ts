/**
 * `wigeonctl route`: explains where a request would go now from one relay, and why, without sending it.
 */
import { z } from 'zod'
import { callRelay, type RelayAnswer } from '../relay-call.js'
import { ExitCode, type CommandOutput } from '../tool.js'

/** The request in question, as on the command line. */
export interface RouteArguments {
  host: string
  path: string
  /** Name of the workspace, not its key. */
  workspace?: string
  promptTokens?: string
  answerTokens?: string
}

const OK_STATUS = 200
/** JSON has no infinite numbers: null stands for an unknown age. */
const age = z.number().nullable()
const explanationSchema = z.object({
  route: z.string(),
  form: z.string(),
  version: z.number(),
  versionAge: age,
  adoptedAge: z.number(),
  service: z.string(),
  services: z.array(z.object({ name: z.string(), weight: z.number() })),
  workspace: z.string().optional(),
  rank: z.number(),
  admission: z.object({ level: z.number().optional(), share: z.number(), waiting: z.number(), returnMilliseconds: z.number() }),
  failureDomain: z.object({ own: z.string(), shares: z.record(z.string(), z.number()), drawn: z.string(), isCutOff: z.boolean() }),
  paths: z.array(z.object({
    stages: z.array(z.object({ target: z.string(), failureDomain: z.string(), from: z.number(), to: z.number() })),
    standing: z.string(),
    cost: z.number(),
    isUnsplit: z.boolean(),
    firstEventMilliseconds: z.number().optional(),
    eventIntervalMilliseconds: z.number().optional()
  })),
  targets: z.array(z.object({
    target: z.string(), failureDomain: z.string(), requestsPerSlot: z.number(), rank: z.number(), hasCapacity: z.boolean()
  })),
  paused: z.array(z.object({ target: z.string(), waitMilliseconds: age })),
  obstacle: z.string().optional(),
  ages: z.object({ counts: z.record(z.string(), age), demand: z.record(z.string(), age) })
})
type Explanation = z.infer<typeof explanationSchema>
type ExplainedPath = Explanation['paths'][number]

/** Why a path is not the chosen one, by its standing. */
const STANDING_TEXTS: Record<string, (path: ExplainedPath, first: ExplainedPath) => string> = {
  chosen: () => 'chosen',
  costlier: (path, first) => `costs ${cost(path.cost - first.cost, path)} more`,
  'no-capacity': () => 'a stage has no capacity',
  'breaks-pause': () => 'the interval between events would break the pause objective'
}

/**
 * Explains one request.
 * @param address `IP:PORT` of the relay's metrics listener.
 */
export async function routeCommand (address: string, given: RouteArguments): Promise<CommandOutput> {
  try {
    const query = Object.entries(given).filter((entry): entry is [string, string] => entry[1] !== undefined)
    const answer = await callRelay('GET', address, `/route?${new URLSearchParams(query).toString()}`)
    if (answer.status !== OK_STATUS) return failed(`${address} refused: ${readDetail(answer)}`)
    const explanation = explanationSchema.parse(JSON.parse(answer.text))
    return { code: ExitCode.Success, text: describe(explanation).join('\n'), value: explanation }
  } catch (error) {
    return failed(`${address} could not be reached: ${(error as Error).message}`)
  }
}

function describe (explanation: Explanation): string[] {
  const { service, services, workspace, admission, failureDomain, paths, targets, paused, obstacle, ages } = explanation
  const weights = services.length < 2 ? '' : `, drawn from ${services.map(({ name, weight }) => `${name}:${weight}`).join(' ')}`
  const level = admission.level === undefined ? 'open' : String(Math.round(admission.level * 100) / 100)
  return [
    `route ${explanation.route} (${explanation.form}); version ${explanation.version}, confirmed ${ago(explanation.versionAge)}, adopted ${ago(explanation.adoptedAge)}`,
    `service ${service}${weights}; workspace ${workspace ?? 'not given'}; rank ${explanation.rank}`,
    `admission: level ${level}, ${percent(admission.share)} of this rank admitted; ${admission.waiting} waiting; if refused, return in about ${Math.round(admission.returnMilliseconds)} ms`,
    `failure domain: ${failureDomain.own}; ${describeShares(failureDomain.shares)}; this request is drawn to ${failureDomain.drawn}`,
    ...(failureDomain.isCutOff ? ['cut off from the targets: a peer handles the request'] : []),
    ...paths.map(path => describePath(path, paths[0]!)),
    ...targets.map(({ target, failureDomain: domain, requestsPerSlot, rank, hasCapacity }, index) => [
      `target ${target} in ${domain}: ${hundredths(requestsPerSlot)} requests per slot, rank ${hundredths(rank)}`,
      hasCapacity ? (index === 0 ? 'chosen' : 'ranks behind') : 'no capacity'
    ].join('; ')),
    ...(obstacle === undefined ? [] : [`nothing would take it: ${obstacle}`]),
    ...paused.map(({ target, waitMilliseconds }) => `left out: ${target}, to which this VM may send ${waitMilliseconds === null ? 'never' : `in ${Math.round(waitMilliseconds)} ms`}`),
    `ages: ${[...describeAges('counts of', ages.counts), ...describeAges('demand in', ages.demand)].join(', ') || 'no peers'}`
  ]
}

function describePath (path: ExplainedPath, first: ExplainedPath): string {
  const stages = path.stages.map(({ target, failureDomain, from, to }) => `${target}=${from}-${to} (${failureDomain})`).join(' ')
  const estimate = path.firstEventMilliseconds === undefined || path.eventIntervalMilliseconds === undefined
    ? []
    : [`first event ${Math.round(path.firstEventMilliseconds)} ms, then every ${hundredths(path.eventIntervalMilliseconds)} ms`]
  const standing = STANDING_TEXTS[path.standing]?.(path, first) ?? path.standing
  return [`path ${stages}`, `cost ${cost(path.cost, path)}`, ...estimate, standing].join('; ')
}

function cost (value: number, { isUnsplit }: ExplainedPath): string {
  return isUnsplit ? `${hundredths(value)} of the capacity` : `${Math.round(value)} ms`
}

function describeShares (shares: Record<string, number>): string {
  const parts = Object.entries(shares).map(([receiver, share]) => `${percent(share)} to ${receiver}`)
  return parts.length === 0 ? 'all requests stay' : parts.join(', ')
}

function describeAges (name: string, ages: Record<string, number | null>): string[] {
  return Object.entries(ages).map(([subject, milliseconds]) => `${name} ${subject} ${milliseconds === null ? 'unknown' : `${Math.round(milliseconds)} ms`}`)
}

function ago (milliseconds: number | null): string {
  return milliseconds === null ? 'never' : `${Math.round(milliseconds)} ms ago`
}

function hundredths (value: number): number {
  return Math.round(value * 100) / 100
}

function percent (share: number): string {
  return `${Math.round(share * 100)}%`
}

function readDetail ({ status, text }: RelayAnswer): string {
  try {
    return z.object({ detail: z.string() }).parse(JSON.parse(text)).detail
  } catch {
    return `status ${status}`
  }
}

function failed (text: string): CommandOutput {
  return { code: ExitCode.Failed, text, value: { faults: [text] } }
}
