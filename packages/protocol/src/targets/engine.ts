/**
 * Messages between the router and model engines, and the port that carries them.
 * Layer ranges are half-open: `from` is included, `to` is not.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { Failure, Outcome } from '../failure.js'

/** Shape of a half-open range of layers. */
export const layerRangeSchema = z.object({ from: z.number().int().min(0), to: z.number().int().min(1) })

/** A half-open range of layers. */
export type LayerRange = z.infer<typeof layerRangeSchema>

/** Shape of one stage of a pipeline path. */
export const pathStageSchema = z.object({ target: z.string(), address: z.string(), layers: layerRangeSchema })

/** One stage of a pipeline path: which target runs which layers. */
export type PathStage = z.infer<typeof pathStageSchema>

/** Shape of a generated token. */
export const tokenSchema = z.object({ index: z.number().int().min(0), text: z.string() })

/** A generated token; `index` counts from 0 over the whole answer, over all epochs. */
export type Token = z.infer<typeof tokenSchema>

/** Shape of what one stage says of one token. */
export const stageReceiptSchema = z.object({ target: z.string(), layers: layerRangeSchema })

/** Shape of the receipt of one token. */
export const receiptSchema = z.object({
  session: z.string(),
  epoch: z.number().int().min(0),
  index: z.number().int().min(0),
  stages: z.array(stageReceiptSchema)
})

/** Which layers ran where, in order, for one token. */
export type Receipt = z.infer<typeof receiptSchema>

/** Why a generation ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length'
}

/** Shape of what identifies a model as served. */
export const modelReferenceSchema = z.object({ model: z.string(), version: z.string(), adapter: z.string().optional() })

/** A model, its version and an optional adapter. */
export type ModelReference = z.infer<typeof modelReferenceSchema>

/** Shape of a generation request. */
export const generationRequestSchema = modelReferenceSchema.extend({
  session: z.string(),
  epoch: z.number().int().min(0),
  /** Nonce of this attempt; every event of the answer repeats it. */
  attempt: z.string(),
  stages: z.array(pathStageSchema).min(1),
  prompt: z.string(),
  /** Tokens already delivered; generation goes on after them. */
  prefix: z.array(tokenSchema),
  /** Highest number of tokens of the whole answer, the prefix included. */
  maximumTokens: z.number().int().min(1),
  temperature: z.number().optional(),
  seed: z.number().int().optional(),
  /** 0 is the most urgent. */
  priority: z.number().int().min(0)
})

/** A request to generate along a path, from a prompt and the tokens already delivered. */
export type GenerationRequest = z.infer<typeof generationRequestSchema>

/** Kinds of events of a generation. */
export enum EngineEventKind {
  Token = 'token',
  Finish = 'finish',
  Failure = 'failure'
}

/** Shape of one event that an engine streams. */
export const engineWireEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(EngineEventKind.Token), attempt: z.string(), token: tokenSchema, receipt: receiptSchema }),
  z.object({
    kind: z.literal(EngineEventKind.Finish),
    attempt: z.string(),
    reason: z.enum(FinishReason),
    /** Number of tokens of the whole answer. */
    tokens: z.number().int().min(0)
  }),
  z.object({
    kind: z.literal(EngineEventKind.Failure),
    attempt: z.string(),
    detail: z.string(),
    /** The stage at which the failure arose, where the engine knows it. */
    target: z.string().optional(),
    /** The engine accepted none of the work. */
    notAccepted: z.boolean().optional()
  })
])

/** An event as it stands on the wire. */
export type EngineWireEvent = z.infer<typeof engineWireEventSchema>

/** An event of a generation as the port yields it; a stream that ends without a finish yields a failure first. */
export type EngineEvent =
  | Extract<EngineWireEvent, { kind: EngineEventKind.Token | EngineEventKind.Finish }>
  | { kind: EngineEventKind.Failure, attempt: string, failure: Failure }

/** Shape of one session's part of a step call. */
export const stepInputSchema = modelReferenceSchema.extend({
  session: z.string(),
  epoch: z.number().int().min(0),
  /** Index of the token that this step makes. */
  index: z.number().int().min(0),
  layers: layerRangeSchema,
  /** Prompt and delivered tokens, at the first step of an epoch only: the stage fills its cache from them. */
  prefill: z.object({ prompt: z.string(), prefix: z.array(tokenSchema) }).optional(),
  /** Output of the stage before, base64; absent at the first stage. */
  activation: z.string().optional(),
  /** Text of the token before; absent at the first step of an epoch. */
  previousToken: z.string().optional(),
  /** The stage holds the last layer and answers with a token. */
  isLast: z.boolean(),
  priority: z.number().int().min(0)
})

/** One session's part of a step call. */
export type StepInput = z.infer<typeof stepInputSchema>

/** Shape of a step call: one step of many sessions. */
export const stepRequestSchema = z.object({ attempt: z.string(), inputs: z.array(stepInputSchema).min(1) })

/** One step of many sessions at one stage. */
export type StepRequest = z.infer<typeof stepRequestSchema>

/** Shape of one session's result of a step. */
export const stepResultSchema = z.object({
  session: z.string(),
  epoch: z.number().int().min(0),
  index: z.number().int().min(0),
  receipt: stageReceiptSchema.optional(),
  activation: z.string().optional(),
  token: z.string().optional(),
  finish: z.enum(FinishReason).optional(),
  /** Why this session's step did not run. */
  refused: z.string().optional()
})

/** One session's result of a step. */
export type StepResult = z.infer<typeof stepResultSchema>

/** Shape of a step call's answer. */
export const stepAnswerSchema = z.object({ attempt: z.string(), results: z.array(stepResultSchema) })

/** Role of an engine in disaggregated serving. */
export enum EngineRole {
  Both = 'both',
  Prefill = 'prefill',
  Decode = 'decode'
}

/** Shape of one part of a model that an engine holds. */
export const heldPartSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  layers: layerRangeSchema
})

/** One part of a model that an engine holds, ready to serve. */
export type HeldPart = z.infer<typeof heldPartSchema>

/** Kinds of cache events. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** How many characters at the beginning of a prompt stand for its prefix in caches. */
const PREFIX_CHARACTERS = 128

/** @returns the digest by which caches and cache events name the beginning of a prompt. */
export function prefixDigest (prompt: string): string {
  return createHash('sha256').update(prompt.slice(0, PREFIX_CHARACTERS)).digest('base64url').slice(0, 16)
}

/** Shape of an engine's report. */
export const engineReportSchema = z.object({
  target: z.string(),
  /** Changes when the engine restarts. */
  incarnation: z.string(),
  /** When the engine made the report, milliseconds since 1970. */
  atMilliseconds: z.number(),
  running: z.number().int().min(0),
  queued: z.number().int().min(0),
  /** Tokens a second over the last interval. */
  tokensPerSecond: z.number().min(0),
  role: z.enum(EngineRole),
  held: z.array(heldPartSchema.extend({
    /** Sessions that use this part; absent where the engine doesn't say. */
    running: z.number().int().min(0).optional()
  })),
  /** Highest fencing token seen; absent where the engine ignores them. */
  fencingToken: z.number().int().optional(),
  /** Sequence numbers show gaps. */
  cacheEvents: z.array(z.object({
    sequence: z.number().int(),
    kind: z.enum(CacheEventKind),
    /** Digest of the first characters of a prompt, see `prefixDigest`. */
    prefix: z.string()
  }))
})

/** What an engine says of itself, late. */
export type EngineReport = z.infer<typeof engineReportSchema>

/** Kinds of engine orders. */
export enum EngineOrderKind {
  Load = 'load',
  Unload = 'unload',
  SetRole = 'set-role'
}

/** Shape of an engine order: an idempotent declaration of a wanted state. */
export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(EngineOrderKind.Load), part: heldPartSchema }),
  z.object({ kind: z.literal(EngineOrderKind.Unload), part: heldPartSchema }),
  z.object({ kind: z.literal(EngineOrderKind.SetRole), role: z.enum(EngineRole) })
])

/** An idempotent declaration of a wanted state of an engine. */
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** Shape of an order as sent. */
export const orderEnvelopeSchema = z.object({ fencingToken: z.number().int(), order: engineOrderSchema })

/** Shape of an exported key-value cache of a session at one stage. */
export const cacheExportSchema = z.object({
  session: z.string(),
  epoch: z.number().int(),
  /** Number of tokens of the answer that the cache covers. */
  tokens: z.number().int().min(0),
  layers: layerRangeSchema,
  /** Opaque to the router. */
  content: z.string()
})

/** The cache of a session at one stage, opaque to the router. */
export type CacheExport = z.infer<typeof cacheExportSchema>

/** Where an engine listens. */
export interface TargetAddress {
  target: string
  /** `host:port`. */
  address: string
}

/** Model engines. No method rejects and no iterable throws; failures are in the outcomes and events. */
export interface EnginePort {
  /** Opens a generation at the first stage of its path; the engines forward between stages. */
  generate: (target: TargetAddress, request: GenerationRequest, signal: AbortSignal) => AsyncIterable<EngineEvent>
  /** Runs one step of many sessions at one stage. */
  step: (target: TargetAddress, request: StepRequest, signal: AbortSignal) => Promise<Outcome<StepResult[]>>
  /** Cancels a session's epoch and all before it. */
  cancel: (target: TargetAddress, session: string, epoch: number) => Promise<Outcome<void>>
  report: (target: TargetAddress, deadlineMilliseconds: number) => Promise<Outcome<EngineReport>>
  order: (target: TargetAddress, fencingToken: number, order: EngineOrder, deadlineMilliseconds: number) => Promise<Outcome<void>>
  exportCache: (target: TargetAddress, session: string, epoch: number) => Promise<Outcome<CacheExport>>
  /** Hands a cache over as the base of `epoch`. */
  importCache: (target: TargetAddress, cache: CacheExport, epoch: number) => Promise<Outcome<void>>
}
