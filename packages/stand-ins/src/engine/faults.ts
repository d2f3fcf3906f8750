/**
 * Faults to inject into a stand-in engine.
 */
import type { StepResult } from '@wigeonlead/protocol'

/** Faults of an engine, which tests and the quickstart set. */
export interface EngineFaults {
  /** Number of further steps after which the engine dies: it then answers nothing and breaks its connections. */
  dieAfterSteps?: number
  isDead: boolean
  isStalled: boolean
  /** Factor on the duration of each step; 1 for no slowdown. */
  slowdown: number
  /** Changes the result of a step before it is returned. */
  corrupt?: (result: StepResult) => StepResult
}
