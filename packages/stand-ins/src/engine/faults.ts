/**
 * Faults of a stand-in engine.
 */
import type { StepResult } from '@wigeonlead/protocol'

/** Faults that tests and the quickstart switch on. */
export interface EngineFaults {
  /** The engine answers nothing and breaks its connections after so many more steps. */
  dieAfterSteps?: number
  isDead: boolean
  isStalled: boolean
  /** Factor on each step's time. */
  slowdown: number
  /** Changes a step's result before it is answered. */
  corrupt?: (result: StepResult) => StepResult
}
