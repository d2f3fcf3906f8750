/**
 * A stand-in for a plain HTTP service that books orders and looks up jobs. Its ledger shows which orders were executed.
 */
import { answerJson, listen, readJson, type RunningServer } from '../http.js'

/** One booking in the ledger. */
export interface Booking {
  number: number
  order: unknown
}

/** A stand-in order service. */
export interface OrderService {
  /** Every order that was executed. */
  bookings: Booking[]
  faults: {
    /** Whether the server breaks the connection without an answer after it has booked an order. */
    losesAnswers: boolean
    /** Delay between the booking and the answer, milliseconds. */
    delayMilliseconds: number
  }
  /** Executes an order and records it. */
  book: (order: unknown) => Booking
}

/** Creates an order service with an empty ledger. */
export function createOrderService (): OrderService {
  const bookings: Booking[] = []
  return {
    bookings,
    faults: { losesAnswers: false, delayMilliseconds: 0 },
    book (order) {
      const booking = { number: bookings.length + 1, order }
      bookings.push(booking)
      return booking
    }
  }
}

/** Serves an order service on loopback: `POST /orders` books, `GET /jobs/{number}` looks up. */
export function startOrderServer (service: OrderService, port?: number): Promise<RunningServer> {
  return listen((request, response) => {
    void (async () => {
      const body = await readJson(request)
      if (request.method === 'POST' && request.url === '/orders') {
        const booking = service.book(body)
        if (service.faults.delayMilliseconds > 0) await new Promise(resolve => setTimeout(resolve, service.faults.delayMilliseconds))
        if (service.faults.losesAnswers) response.destroy()
        else answerJson(response, 201, booking)
        return
      }
      const job = /^\/jobs\/(\d+)$/.exec(request.url ?? '')
      const booking = job === null ? undefined : service.bookings[Number(job[1]) - 1]
      if (booking === undefined) answerJson(response, 404, { detail: 'no such job' })
      else answerJson(response, 200, booking)
    })().catch(() => response.destroy())
  }, port)
}
