/**
 * The pipeline driver of each kind.
 */
import { DriverKind } from '@wigeonlead/protocol'
import type { PipelineDriver } from './driver.js'
import { driveSteps } from './step.js'
import { driveStream } from './stream.js'

/** The driver of each kind. */
export const DRIVERS: Record<DriverKind, PipelineDriver> = {
  [DriverKind.Stream]: driveStream,
  [DriverKind.Step]: driveSteps
}

export type { PipelineDriver } from './driver.js'
