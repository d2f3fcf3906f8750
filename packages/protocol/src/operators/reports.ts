/**
 * What an entry VM answers on its operators' listener, in JSON: its status and its service-level burn.
 */
import { z } from 'zod'
import { MemberState } from '../peers/messages.js'

/** Shape of the answer of `/status`. */
export const nodeStatusSchema = z.object({
  member: z.object({
    address: z.string(),
    vm: z.string(),
    failureDomain: z.string(),
    incarnation: z.number(),
    state: z.enum(MemberState),
    generation: z.number().int()
  }),
  isReady: z.boolean().optional(),
  /**
   * Named sections; what a section has not yet brought into force stands in its list `pending`,
   * each item with `target`, `order`, `reason` and `detail` as far as they apply.
   */
  sections: z.record(z.string(), z.unknown())
})

/** What a node tells operators of itself. */
export type NodeStatusReport = z.infer<typeof nodeStatusSchema>

/** What an objective is set for. */
export enum ResourceKind {
  Model = 'model',
  Service = 'service'
}

/** What an objective counts. */
export enum ObjectiveKind {
  /** Requests answered in full. */
  Availability = 'availability',
  /** Requests whose first token came in time. */
  FirstToken = 'first-token',
  /** Tokens that came in time after the one before. */
  BetweenTokens = 'between-tokens',
  /** Requests whose whole answer came in time. */
  Answer = 'answer'
}

/** Lengths of the burn windows, minutes. */
export const BURN_WINDOWS_MINUTES = [5, 30, 60, 360] as const
/** Length of one point of a burn series, minutes. */
export const BURN_SERIES_STEP_MINUTES = 5

const countsSchema = z.object({ good: z.number().min(0), bad: z.number().min(0) })

/** Shape of the burn of one objective. */
export const objectiveBurnSchema = z.object({
  resource: z.enum(ResourceKind),
  name: z.string(),
  objective: z.enum(ObjectiveKind),
  /** Share that has to be good. */
  share: z.number(),
  /** Longest time that is good, milliseconds; absent for availability. */
  limitMilliseconds: z.number().optional(),
  /** In the order of `BURN_WINDOWS_MINUTES`. */
  windows: z.array(countsSchema),
  /** The longest window in steps, the oldest first. */
  series: z.array(countsSchema)
})

/** Shape of the answer of `/burn`. */
export const burnReportSchema = z.object({
  vm: z.string(),
  failureDomain: z.string(),
  atMilliseconds: z.number(),
  objectives: z.array(objectiveBurnSchema)
})

/** Good and bad events. */
export type BurnCounts = z.infer<typeof countsSchema>
/** The burn of one objective. */
export type ObjectiveBurn = z.infer<typeof objectiveBurnSchema>
/** The burn of every objective at one node. */
export type BurnReport = z.infer<typeof burnReportSchema>

/**
 * How fast an objective's error budget is used up: 1 uses it up exactly at the end of its period.
 * @param share share that has to be good.
 */
export function burnRate ({ good, bad }: BurnCounts, share: number): number {
  const all = good + bad
  return all === 0 ? 0 : bad / all / (1 - share)
}
