/**
 * Messages between the router and model engines, and the port through which they are sent.
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

/** A generated token; `index` counts from 0 over the whole answer, across all epochs. */
export type Token = z.infer<typeof tokenSchema>

/** Shape of the entry of one stage in the receipt of a token. */
export const stageReceiptSchema = z.object({ target: z.string(), layers: layerRangeSchema })

/** Shape of the receipt of one token. */
export const receiptSchema = z.object({
  session: z.string(),
  epoch: z.number().int().min(0),
  index: z.number().int().min(0),
  stages: z.array(stageReceiptSchema)
})

/** Lists, for one token, the targets and the layers that each of them ran, in order. */
export type Receipt = z.infer<typeof receiptSchema>

/** Why a generation ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length'
}

/** Shape of a reference to a served model. */
export const modelReferenceSchema = z.object({ model: z.string(), version: z.string(), adapter: z.string().optional() })

/** A model, its version and an optional adapter. */
export type ModelReference = z.infer<typeof modelReferenceSchema>

/** Shape of a generation request. */
export const generationRequestSchema = modelReferenceSchema.extend({
  session: z.string(),
  epoch: z.number().int().min(0),
  /** Nonce of this attempt, which every event of the answer carries. */
  attempt: z.string(),
  stages: z.array(pathStageSchema).min(1),
  prompt: z.string(),
  /** Tokens already delivered to the caller; generation continues after them. */
  prefix: z.array(tokenSchema),
  /** Maximum number of tokens of the whole answer, including the prefix. */
  maximumTokens: z.number().int().min(1),
  temperature: z.number().optional(),
  seed: z.number().int().optional(),
  /** 0 is the most urgent. */
  priority: z.number().int().min(0)
})

/** A request to generate along a pipeline path, from a prompt and the tokens already delivered. */
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
    /** Number of tokens in the whole answer. */
    tokens: z.number().int().min(0)
  }),
  z.object({
    kind: z.literal(EngineEventKind.Failure),
    attempt: z.string(),
    detail: z.string(),
    /** The stage at which the failure occurred, if the engine knows it. */
    target: z.string().optional(),
    /** Whether the engine accepted none of the work. */
    notAccepted: z.boolean().optional()
  })
])

/** An event in its wire format. */
export type EngineWireEvent = z.infer<typeof engineWireEventSchema>

/** An event of a generation as the port yields it; a stream that ends without a finish event yields a failure before it ends. */
export type EngineEvent =
  | Extract<EngineWireEvent, { kind: EngineEventKind.Token | EngineEventKind.Finish }>
  | { kind: EngineEventKind.Failure, attempt: string, failure: Failure }

/** Shape of one session's part of a step call. */
export const stepInputSchema = modelReferenceSchema.extend({
  session: z.string(),
  epoch: z.number().int().min(0),
  /** Index of the token that this step generates. */
  index: z.number().int().min(0),
  layers: layerRangeSchema,
  /** Prompt and delivered tokens, from which the stage fills its cache; only at the first step of an epoch. */
  prefill: z.object({ prompt: z.string(), prefix: z.array(tokenSchema) }).optional(),
  /** Output of the previous stage, base64; absent at the first stage. */
  activation: z.string().optional(),
  /** Text of the previous token; absent at the first step of an epoch. */
  previousToken: z.string().optional(),
  /** Whether the stage runs the last layer and answers with a token. */
  isLast: z.boolean(),
  priority: z.number().int().min(0)
})

/** One session's part of a step call. */
export type StepInput = z.infer<typeof stepInputSchema>

/** Shape of a step call: one step of several sessions. */
export const stepRequestSchema = z.object({ attempt: z.string(), inputs: z.array(stepInputSchema).min(1) })

/** One step of several sessions at one stage. */
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

/** Shape of a part of a model: a range of its layers in one version, with adapters. */
export const modelPartSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  layers: layerRangeSchema
})

/** A part of a model. In `held` of a report it is loaded and ready to serve; in an order it is the part to load or unload. */
export type ModelPart = z.infer<typeof modelPartSchema>

/** Kinds of cache events. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** Number of characters at the beginning of a prompt by which caches identify its prefix. */
const PREFIX_CHARACTERS = 128

/** Returns the digest by which caches and cache events identify the beginning of a prompt. */
export function prefixDigest (prompt: string): string {
  return createHash('sha256').update(prompt.slice(0, PREFIX_CHARACTERS)).digest('base64url').slice(0, 16)
}

/** Shape of an engine's report. */
export const engineReportSchema = z.object({
  target: z.string(),
  /** Changes when the engine restarts. */
  incarnation: z.string(),
  /** When the engine created the report, milliseconds since 1970. */
  atMilliseconds: z.number(),
  running: z.number().int().min(0),
  queued: z.number().int().min(0),
  /** Tokens per second over the last interval. */
  tokensPerSecond: z.number().min(0),
  role: z.enum(EngineRole),
  held: z.array(modelPartSchema.extend({
    /** Number of sessions that use this part; absent if the engine does not report it. */
    running: z.number().int().min(0).optional()
  })),
  /** Highest fencing token received; absent if the engine ignores fencing tokens. */
  fencingToken: z.number().int().optional(),
  /** Cache events; gaps in the sequence numbers reveal missing events. */
  cacheEvents: z.array(z.object({
    sequence: z.number().int(),
    kind: z.enum(CacheEventKind),
    /** Digest of the first characters of a prompt, see `prefixDigest`. */
    prefix: z.string()
  }))
})

/** The state that an engine reports; reports lag behind the actual state. */
export type EngineReport = z.infer<typeof engineReportSchema>

/** Kinds of engine orders. */
export enum EngineOrderKind {
  Load = 'load',
  Unload = 'unload',
  SetRole = 'set-role'
}

/** Shape of an engine order: an idempotent declaration of a desired state. */
export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(EngineOrderKind.Load), part: modelPartSchema }),
  z.object({ kind: z.literal(EngineOrderKind.Unload), part: modelPartSchema }),
  z.object({ kind: z.literal(EngineOrderKind.SetRole), role: z.enum(EngineRole) })
])

/** An idempotent declaration of a desired state of an engine. */
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** Shape of the message that carries an order to an engine. */
export const orderEnvelopeSchema = z.object({ fencingToken: z.number().int(), order: engineOrderSchema })

/** Shape of an exported key-value cache of a session at one stage. */
export const cacheExportSchema = z.object({
  session: z.string(),
  epoch: z.number().int(),
  /** Number of the answer's tokens that the cache covers. */
  tokens: z.number().int().min(0),
  layers: layerRangeSchema,
  /** Opaque to the router. */
  content: z.string()
})

/** The cache of a session at one stage, opaque to the router. */
export type CacheExport = z.infer<typeof cacheExportSchema>

/** Name and address of a target. */
export interface TargetAddress {
  target: string
  /** `host:port`. */
  address: string
}

/** Calls to model engines. No method rejects and no iterable throws; failures are returned in outcomes and events. */
export interface EnginePort {
  /** Starts a generation at the first stage of its path; the engines forward activations between stages. */
  generate: (target: TargetAddress, request: GenerationRequest, signal: AbortSignal) => AsyncIterable<EngineEvent>
  /** Runs one step of several sessions at one stage. */
  step: (target: TargetAddress, request: StepRequest, signal: AbortSignal) => Promise<Outcome<StepResult[]>>
  /** Cancels an epoch of a session and all earlier epochs. */
  cancel: (target: TargetAddress, session: string, epoch: number) => Promise<Outcome<void>>
  report: (target: TargetAddress, deadlineMilliseconds: number) => Promise<Outcome<EngineReport>>
  order: (target: TargetAddress, fencingToken: number, order: EngineOrder, deadlineMilliseconds: number) => Promise<Outcome<void>>
  exportCache: (target: TargetAddress, session: string, epoch: number) => Promise<Outcome<CacheExport>>
  /** Transfers a cache to an engine, as the starting state of `epoch`. */
  importCache: (target: TargetAddress, cache: CacheExport, epoch: number) => Promise<Outcome<void>>
}
