/**
 * Pipeline drivers: how one epoch of a generation is run along a path.
 */
import type { EngineEvent, EnginePort, GenerationRequest } from '@wigeonlead/protocol'

/** Runs one epoch; yields tokens with receipts, then one finish or one failure. */
export type PipelineDriver = (engines: EnginePort, request: GenerationRequest, signal: AbortSignal) => AsyncIterable<EngineEvent>
