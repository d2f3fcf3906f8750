/**
 * The interface of pipeline drivers, which run one epoch of a generation along a path.
 */
import type { EngineEvent, EnginePort, GenerationRequest } from '@wigeonlead/protocol'

/** Runs one epoch. Yields tokens with receipts, then one finish or one failure. */
export type PipelineDriver = (engines: EnginePort, request: GenerationRequest, signal: AbortSignal) => AsyncIterable<EngineEvent>
