/**
 * Counts what a request meets of its objectives: its tokens' times and how it ends.
 */
import type { Problem } from '@wigeonlead/protocol'
import { RequestEnd, type BurnMeter } from '../process/burn.js'
import { DeliveryKind, type Delivery } from './generation.js'

const FIRST_SERVER_FAULT_STATUS = 500

/** @returns how a request ended that was answered with this status; one whose caller hung up is not counted. */
export function endOfStatus (status: number, caller: AbortSignal): RequestEnd {
  if (caller.aborted) return RequestEnd.NotCounted
  return status >= FIRST_SERVER_FAULT_STATUS ? RequestEnd.Failed : RequestEnd.Answered
}

/** @returns how a request ended that was refused: limits and faulty requests are the caller's own doing. */
export function endOfRefusal (problem: Problem, caller: AbortSignal): RequestEnd {
  return !caller.aborted && problem.status >= FIRST_SERVER_FAULT_STATUS ? RequestEnd.Failed : RequestEnd.NotCounted
}

/** Passes deliveries on and tells the meter of them; one that is left unread is not counted. */
export async function * meterDeliveries (
  deliveries: AsyncIterable<Delivery>, meter: BurnMeter, caller: AbortSignal
): AsyncIterable<Delivery> {
  try {
    for await (const delivery of deliveries) {
      if (delivery.kind === DeliveryKind.Token) meter.token()
      else meter.end(delivery.kind === DeliveryKind.Finish ? RequestEnd.Answered : endOfRefusal(delivery.problem, caller))
      yield delivery
    }
  } finally {
    meter.end(RequestEnd.NotCounted)
  }
}
