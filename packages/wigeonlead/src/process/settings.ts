/**
 * Settings of one node, that is one router process on an entry VM: read from TOML and checked before anything starts.
 */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'

const ipAndPort = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'an IP number and a port, such as "127.0.0.1:8080"')
const httpUrl = z.string().regex(/^https?:\/\//, 'an address that begins with "http://" or "https://"')
const positiveInteger = z.number().int().min(1)

/** Schema of the settings. */
export const settingsSchema = z.strictObject({
  node: z.strictObject({ vm: z.string().min(1), failureDomain: z.string().min(1) }),
  listen: z.strictObject({
    callers: ipAndPort,
    operators: ipAndPort,
    peers: ipAndPort
  }),
  platform: z.strictObject({
    keyValue: z.array(httpUrl).min(1),
    vmList: httpUrl,
    /** Timeout of one call to the key-value service. */
    callDeadlineMilliseconds: positiveInteger.default(1000)
  }),
  peers: z.strictObject({
    /**
     * Peer listener addresses of other nodes. In addition to the VM list, they are used for gossip, and for reading the manifest head when
     * the node starts.
     */
    seeds: z.array(ipAndPort).default([]),
    /** The first secret signs this node's requests. Requests signed with any secret are accepted; the same secret signs the answer. */
    secrets: z.array(z.strictObject({ id: z.string().regex(/^[\w.-]+$/, 'letters, digits, "_", "." and "-"'), value: z.string().min(16) }))
      .min(1),
    /** PEM files for mutual TLS between nodes; plain HTTP if absent. A node's certificate must name the IP address that peers call. */
    tls: z.strictObject({ certificate: z.string().min(1), key: z.string().min(1), authority: z.string().min(1) }).optional()
  }),
  operators: z.strictObject({
    /** SHA-256 digests of the operators' bearer tokens, in lower-case hexadecimal. */
    tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')).min(1)
  }),
  callers: z.strictObject({
    maximumHeaderBytes: positiveInteger.default(16_384),
    maximumBodyBytes: positiveInteger.default(1_048_576),
    /** Connections that stay open at a time; the longest idle one closes for a new one. */
    maximumConnections: positiveInteger.default(2000),
    /** Memory for unfinished requests, requests in flight and unread answers of all clients; two of the longest bodies fit in any case. */
    maximumHeldBytes: positiveInteger.default(67_108_864),
    /** Maximum time to receive the headers of a request. */
    headerTimeoutMilliseconds: positiveInteger.default(10_000),
    /** Maximum time to receive a whole request. */
    requestTimeoutMilliseconds: positiveInteger.default(30_000),
    /** Deadline of a request that states none. */
    defaultDeadlineMilliseconds: positiveInteger.default(120_000)
  }).prefault({}),
  targets: z.strictObject({
    /** Memory for the answers that are arriving from all engines and services; two of the longest ones, 16 MiB, fit. */
    maximumHeldBytes: positiveInteger.default(33_554_432)
  }).prefault({}),
  shutdown: z.strictObject({
    /** How long the balancer may keep sending requests after this node reports that it is not ready. */
    balancerLagMilliseconds: z.number().int().min(0).default(5000),
    /** Time from the start of the shutdown after which running requests are cut off. If absent, the shutdown waits until they end. */
    cutOffMilliseconds: positiveInteger.optional()
  }).prefault({}),
  reconciler: z.strictObject({
    /** Time after which the failure domain's lease expires without renewal; rounded up to whole seconds at the key-value service. */
    leaseMilliseconds: z.number().int().min(3000).default(9000),
    /** Timeout for the answer to one engine order. */
    orderDeadlineMilliseconds: positiveInteger.default(2000),
    /** Maximum rate of loads from the weight store that the failure domain's lease holder orders. */
    loadsPerMinute: z.number().positive().default(60),
    /** Maximum number of loads in a burst. */
    loadBurst: positiveInteger.default(4),
    /**
     * How long a model part that the manifest no longer declares stays loaded when it is unknown whether requests use it, counted from the
     * reconciler's first pass with that manifest.
     */
    drainMilliseconds: positiveInteger.default(120_000)
  }).prefault({}),
  logging: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).prefault({})
})

/** Checked settings with their defaults. */
export type Settings = z.infer<typeof settingsSchema>

/** Settings as written, without the defaults filled in. */
export type SettingsInput = z.input<typeof settingsSchema>

/** The checked settings, or the faults that were found, one line each. */
export type SettingsCheck = { ok: true, settings: Settings } | { ok: false, faults: string[] }

/** Reads and checks a settings file. */
export function readSettings (file: string): SettingsCheck {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return { ok: false, faults: [`${file}: cannot be read: ${(error as Error).message}`] }
  }
  try {
    return checkSettings(parse(text), file)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    return { ok: false, faults: [`${file}:${error.line}: malformed TOML: ${error.message.split('\n')[0]}`] }
  }
}

/**
 * Checks parsed settings. Each fault states the file, the key, the value found and what was expected. For an unknown key it states the
 * section that contains it.
 */
export function checkSettings (document: unknown, file: string): SettingsCheck {
  const parsed = settingsSchema.safeParse(document)
  if (parsed.success) return { ok: true, settings: parsed.data }
  const faults = parsed.error.issues.map(issue => {
    const found = JSON.stringify(valueAt(document, issue.path)) ?? 'nothing'
    return `${file}: ${issue.path.join('.') || 'top level'}: found ${found}, wanted: ${issue.message}`
  })
  return { ok: false, faults }
}

function valueAt (document: unknown, path: PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], document)
}
