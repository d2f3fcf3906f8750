/**
 * JSON answers of an entry VM on its operators' listener: its status, and the burn, which shows how fast the error budgets of the
 * service-level objectives are used up.
 */
import { z } from 'zod'
import { MemberState } from '../peers/messages.js'

/** Shape of the answer to `/status`. */
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
   * Named sections. The list `pending` of a section holds the changes that are not yet in force,
   * each with `target`, `order`, `reason` and `detail` if they apply.
   */
  sections: z.record(z.string(), z.unknown())
})

/** The status that a node reports to operators. */
export type NodeStatusReport = z.infer<typeof nodeStatusSchema>

/** Kinds of resources that have objectives. */
export enum ResourceKind {
  Model = 'model',
  Service = 'service'
}

/** What an objective measures. */
export enum ObjectiveKind {
  /** Requests answered in full. */
  Availability = 'availability',
  /** Requests whose first token arrived in time. */
  FirstToken = 'first-token',
  /** Tokens that arrived in time after the previous token. */
  BetweenTokens = 'between-tokens',
  /** Requests whose whole answer arrived in time. */
  Answer = 'answer'
}

/** Lengths of the burn windows, minutes. */
export const BURN_WINDOWS_MINUTES = [5, 30, 60, 360] as const
/** Interval that one point of a burn series covers, minutes. */
export const BURN_SERIES_STEP_MINUTES = 5

const countsSchema = z.object({ good: z.number().min(0), bad: z.number().min(0) })

/** Shape of the error budget burn of one objective. */
export const objectiveBurnSchema = z.object({
  resource: z.enum(ResourceKind),
  name: z.string(),
  objective: z.enum(ObjectiveKind),
  /** Minimum share of good events. */
  share: z.number(),
  /** Longest time that counts as good, milliseconds; absent for availability. */
  limitMilliseconds: z.number().optional(),
  /** Counts of each window, in the order of `BURN_WINDOWS_MINUTES`. */
  windows: z.array(countsSchema),
  /** The longest window divided into steps of `BURN_SERIES_STEP_MINUTES`, oldest first. */
  series: z.array(countsSchema)
})

/** Shape of the answer to `/burn`. */
export const burnReportSchema = z.object({
  vm: z.string(),
  failureDomain: z.string(),
  atMilliseconds: z.number(),
  objectives: z.array(objectiveBurnSchema)
})

/** Numbers of good and bad events. */
export type BurnCounts = z.infer<typeof countsSchema>
/** The burn of one objective. */
export type ObjectiveBurn = z.infer<typeof objectiveBurnSchema>
/** The burn of every objective at one node. */
export type BurnReport = z.infer<typeof burnReportSchema>

/**
 * Returns how fast an objective's error budget is used up: at a rate of 1 the budget is used up exactly at the end of its period.
 * @param share minimum share of good events.
 */
export function burnRate ({ good, bad }: BurnCounts, share: number): number {
  const total = good + bad
  return total === 0 ? 0 : bad / total / (1 - share)
}
