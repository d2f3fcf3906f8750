/**
 * The configuration head: the one small value in the key-value service that says which manifest and which planned
 * stops are in force. Both publishing and planning a stop are one compare-and-swap of it that raises the generation.
 */
import { z } from 'zod'

/** Key of the head in the key-value service. */
export const CONFIGURATION_HEAD_KEY = '/wigeonlead/configuration/head'

/** Prefix of the keys of manifest parts; the part's digest follows. */
export const CONFIGURATION_PART_PREFIX = '/wigeonlead/configuration/parts/'

/** What a planned stop takes away. */
export enum StopSubject {
  Target = 'target',
  Vm = 'vm'
}

/** Shape of a planned stop. */
export const plannedStopSchema = z.object({
  id: z.string(),
  subject: z.enum(StopSubject),
  /** Name of the target, or name of the VM. */
  name: z.string(),
  /** From when it gets no new work, milliseconds since 1970. */
  fromMilliseconds: z.number(),
  /** When it will be gone, milliseconds since 1970. */
  untilMilliseconds: z.number()
})

/** A stop that operators planned. */
export type PlannedStop = z.infer<typeof plannedStopSchema>

/** Shape of what one head changed. */
const headChangeSchema = z.object({
  /** The manifest's parts changed. */
  manifest: z.boolean(),
  /** Ids of the stops that were taken out. */
  cancelledStops: z.array(z.string())
})

/** What one head changed against the one that it was built on. */
export type HeadChange = z.infer<typeof headChangeSchema>

/** Shape of the configuration head. */
export const configurationHeadSchema = z.object({
  generation: z.number().int().min(1),
  /** Made by the writer of this generation; tells an ambiguous write from another's. */
  nonce: z.string(),
  publishedAtMilliseconds: z.number(),
  /** SHA-256 digests of the manifest's parts, in order. */
  parts: z.array(z.string()),
  stops: z.array(plannedStopSchema),
  change: headChangeSchema.optional(),
  /** The heads that this one was built on, the latest first, as far as they are kept. */
  ancestors: z.array(z.object({ nonce: z.string(), change: headChangeSchema })).optional(),
  /** Parts that no head names any more, and since when; their values are deleted later. */
  retired: z.array(z.object({ digest: z.string(), atMilliseconds: z.number() })).optional()
})

/** Which manifest and stops are in force. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>
