/**
 * Settings of one relay process: a TOML document that is validated before anything starts.
 */
import { z } from 'zod'

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an IP number and a port, such as "127.0.0.1:8080"')
const positive = z.number().int().min(1)
const atLeastZero = z.number().min(0)
/** A longer delay is more likely given in another unit. */
const MAXIMUM_CROSSING_MILLISECONDS = 10_000

/** Schema of the settings. Times are in milliseconds unless the name says another unit. */
export const relaySettingsSchema = z.strictObject({
  node: z.strictObject({
    vm: z.string().min(1),
    failureDomain: z.string().min(1),
    ip: z.string().min(1),
    /** Memory that the process may take. */
    memoryMegabytes: positive.default(350)
  }),
  listen: z.strictObject({
    callers: address,
    readiness: address,
    peers: address,
    metrics: address
  }),
  store: z.strictObject({ address, leastLeaseMilliseconds: positive.default(1000) }),
  bounds: z.strictObject({
    /** Time after which a revoked API key must no longer be accepted. */
    revokeMilliseconds: positive.default(5000),
    /** Time after which a target that is listed as leaving in the store must no longer be used. */
    leaveMilliseconds: positive.default(2000),
    /** Time within which every process must use a new configuration version. */
    applyMilliseconds: positive.default(2000),
    /** Time from the stop signal until the process is killed. */
    graceSeconds: z.number().positive().default(8),
    /** Repeats over the whole fleet in one window: this share of the first attempts, plus a fixed extra number. */
    repeatShare: atLeastZero.default(0.1),
    repeatExtra: atLeastZero.default(20),
    repeatWindowSeconds: z.number().positive().default(10),
    /** Time after which an engine gives up work that is stalled by a lost stage. */
    stallMilliseconds: positive.default(2500)
  }).prefault({}),
  /** How requests wait for capacity where callers compete for too little of it. */
  admission: z.strictObject({
    /** Names of the services without a queue: their requests ask for capacity again and again, in no order. */
    offServices: z.array(z.string().min(1, 'the name of a service, not an empty text')).default([]),
    /** Requests that wait for one service at this VM; beyond it, the one with the worst place is refused. */
    queueLimit: positive.max(10_000).default(256),
    /**
     * Whether the least urgent ranks give way at all VMs while a service is short. Without it, each VM's queue alone orders its requests.
     */
    isLevelOn: z.boolean().default(false),
    /**
     * Share of its requests that each rank keeps, however low the admission level is, if each refused caller returns once. A workspace
     * keeps this share of what its rank is served.
     */
    floorShare: z.number().min(0.05).max(0.9).default(0.3),
    /** A start that waited longer counts as a sign of shortage. */
    longWaitMilliseconds: positive.default(250),
    /** Share of late answers up to which the level does not fall. */
    lateShare: z.number().min(0).max(1).default(0.2),
    /** Largest rise of the admitted requests a second, as a share of what starts. */
    risePerSecond: z.number().min(0.01).max(1).default(0.12),
    /** Time after a fall during which the level does not rise. */
    holdMilliseconds: positive.default(1500)
  }).prefault({}),
  failureDomains: z.array(z.string()).min(1),
  domains: z.strictObject({
    /** Whether requests may be shared out to other failure domains by predicted wait. */
    mayLeave: z.boolean({ error: 'true or false: whether requests may be shared out to other failure domains' }).default(true),
    /** Delay between two failure domains, one way. */
    crossingMilliseconds: z.number({ error: 'a number of milliseconds, one way' })
      .min(0, 'a delay of 0 or more milliseconds').max(MAXIMUM_CROSSING_MILLISECONDS, `at most ${MAXIMUM_CROSSING_MILLISECONDS} milliseconds`)
      .default(0.6),
    /** Wait that a megabyte between failure domains is worth. */
    megabyteMilliseconds: z.number({ error: 'a number of milliseconds of wait that a megabyte is worth' })
      .min(0, 'a price of 0 or more milliseconds of wait').default(1000)
  }).prefault({}),
  /** Limits for all clients of the process together. */
  clients: z.strictObject({
    /**
     * Memory for unfinished requests, requests that are handled, and unread answers; by default, a share of the memory of the VM. Two of
     * the longest bodies that the configuration allows fit in any case.
     */
    heldMegabytes: positive.optional(),
    /** Connections of callers. */
    connections: positive.default(2000),
    /** Connections of peers that hand requests over. */
    peerConnections: positive.default(500)
  }).prefault({}),
  /** Limits for all targets, and the peers that requests are handed over to, together. */
  targets: z.strictObject({
    /** Memory for answers that are arriving, and incomplete events; by default, a share of the memory of the VM. */
    heldMegabytes: positive.optional()
  }).prefault({}),
  logging: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).prefault({})
})

/** Validated settings. */
export type RelaySettings = z.infer<typeof relaySettingsSchema>

/** Validated settings, or the faults that were found, one line each. */
export type RelaySettingsCheck = { ok: true, settings: RelaySettings } | { ok: false, faults: string[] }

/** Validates a parsed document. Each fault names the file, the key and what was expected. */
export function checkRelaySettings (document: unknown, file: string): RelaySettingsCheck {
  const parsed = relaySettingsSchema.safeParse(document)
  if (parsed.success) return { ok: true, settings: parsed.data }
  return { ok: false, faults: parsed.error.issues.map(issue => `${file}: ${issue.path.join('.') || 'top level'}: ${issue.message}`) }
}

const BYTES_PER_MEGABYTE = 1_048_576
/** Share of the memory of the VM that is held of answers that are arriving, beside the share for clients. */
const ANSWERS_HELD_SHARE = 0.1
/** Memory for answers that is there in any case, megabytes: for the longest answer of one body, and some events. */
const LEAST_ANSWERS_HELD_MEGABYTES = 18

/** @returns how much a process may hold of answers that are arriving, from targets and peers together, bytes. */
export function answerBytesLimit ({ node, targets }: RelaySettings): number {
  const megabytes = targets.heldMegabytes ?? Math.max(LEAST_ANSWERS_HELD_MEGABYTES, node.memoryMegabytes * ANSWERS_HELD_SHARE)
  return megabytes * BYTES_PER_MEGABYTE
}
