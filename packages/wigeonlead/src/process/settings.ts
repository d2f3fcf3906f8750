/**
 * Settings of one router process: TOML, checked before anything starts.
 */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'

const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'an IP number and a port, such as "127.0.0.1:8080"')
const endpoint = z.string().regex(/^https?:\/\//, 'an address that begins with "http://" or "https://"')
const positive = z.number().int().min(1)

/** Shape of the settings. */
export const settingsSchema = z.strictObject({
  node: z.strictObject({ vm: z.string().min(1), failureDomain: z.string().min(1) }),
  listen: z.strictObject({
    callers: address,
    operators: address,
    peers: address
  }),
  platform: z.strictObject({
    keyValue: z.array(endpoint).min(1),
    vmList: endpoint,
    callDeadlineMilliseconds: positive.default(1000)
  }),
  peers: z.strictObject({
    /** Addresses of other nodes' peers' listeners, tried beside the VM list. */
    seeds: z.array(address).default([]),
    /** The first signs; all are accepted. */
    secrets: z.array(z.strictObject({ id: z.string().regex(/^[\w.-]+$/, 'letters, digits, "_", "." and "-"'), value: z.string().min(16) }))
      .min(1),
    /** Files in PEM for mutual TLS between nodes; plain HTTP when absent. Certificates carry the nodes' IP numbers. */
    tls: z.strictObject({ certificate: z.string().min(1), key: z.string().min(1), authority: z.string().min(1) }).optional()
  }),
  operators: z.strictObject({
    /** SHA-256 digests of the operators' bearer tokens, lower-case hexadecimal. */
    tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in lower-case hexadecimal')).min(1)
  }),
  callers: z.strictObject({
    maximumHeaderBytes: positive.default(16_384),
    maximumBodyBytes: positive.default(1_048_576),
    headerTimeoutMilliseconds: positive.default(10_000),
    requestTimeoutMilliseconds: positive.default(30_000),
    defaultDeadlineMilliseconds: positive.default(120_000)
  }).prefault({}),
  shutdown: z.strictObject({
    /** How long the balancer goes on sending after this node says that it is not ready. */
    balancerLagMilliseconds: z.number().int().min(0).default(5000),
    /** Ends requests that run longer than this after the shutdown began; absent: none is cut off. */
    cutOffMilliseconds: positive.optional()
  }).prefault({}),
  reconciler: z.strictObject({
    /** Life of the failure domain's lease without renewal; the key-value service counts whole seconds. */
    leaseMilliseconds: z.number().int().min(3000).default(9000),
    /** Longest wait for the answer to one engine order. */
    orderDeadlineMilliseconds: positive.default(2000),
    /** Loads that the weight store bears from this failure domain. */
    loadsPerMinute: z.number().positive().default(60),
    loadBurst: positive.default(4),
    /** How long an undeclared part is kept when the engine doesn't say whether it is used. */
    drainMilliseconds: positive.default(120_000)
  }).prefault({}),
  logging: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).prefault({})
})

/** Checked settings with their defaults. */
export type Settings = z.infer<typeof settingsSchema>

/** Settings as written, before defaults. */
export type SettingsInput = z.input<typeof settingsSchema>

/** Checked settings, or the faults found, one line each. */
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

/** Checks settings that were parsed; each fault names file, key, what was found and what was wanted. */
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
