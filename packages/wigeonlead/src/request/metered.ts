/**
 * Measures requests against their service objectives: the times of their tokens and how they end.
 */
import type { Problem } from '@wigeonlead/protocol'
import { RequestEnd, type BurnMeter } from '../process/burn.js'
import { DeliveryKind, type Delivery } from './generation.js'

const FIRST_SERVER_FAULT_STATUS = 500

/** @returns how a request that was answered with this status counts; it is not counted if its caller hung up. */
export function classifyStatus (status: number, caller: AbortSignal): RequestEnd {
  if (caller.aborted) return RequestEnd.NotCounted
  return status >= FIRST_SERVER_FAULT_STATUS ? RequestEnd.Failed : RequestEnd.Answered
}

/** @returns how a refused request counts: only server errors count as failed, since limits and faulty requests are up to the caller. */
export function classifyRefusal (problem: Problem, caller: AbortSignal): RequestEnd {
  return !caller.aborted && problem.status >= FIRST_SERVER_FAULT_STATUS ? RequestEnd.Failed : RequestEnd.NotCounted
}

/** Passes deliveries on and records them in the meter. Of a request whose deliveries are not read to the end, only token times count. */
export async function * meterDeliveries (
  deliveries: AsyncIterable<Delivery>, meter: BurnMeter, caller: AbortSignal
): AsyncIterable<Delivery> {
  try {
    for await (const delivery of deliveries) {
      if (delivery.kind === DeliveryKind.Token) meter.recordToken()
      else meter.end(delivery.kind === DeliveryKind.Finish ? RequestEnd.Answered : classifyRefusal(delivery.problem, caller))
      yield delivery
    }
  } finally {
    meter.end(RequestEnd.NotCounted)
  }
}
