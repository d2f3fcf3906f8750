/**
 * Counts the requests in flight so that a graceful shutdown can wait for the last one.
 */
import type { CallerHandler, CallerResponse } from '../request/index.js'

/** The requests in flight. */
export interface InFlight {
  /** Wraps a handler so that its requests are counted until their last byte was handed out. */
  track: (handler: CallerHandler) => CallerHandler
  count: () => number
  /** Resolves once nothing is in flight. */
  whenIdle: () => Promise<void>
}

/** Makes an empty count. */
export function createInFlight (): InFlight {
  const waiting = new Set<() => void>()
  let count = 0

  function end (): void {
    count -= 1
    if (count > 0) return
    for (const resolve of waiting) resolve()
    waiting.clear()
  }

  return {
    track: handler => async request => {
      count += 1
      try {
        const response = await handler(request)
        if (typeof response.body === 'string' || response.body instanceof Uint8Array) {
          end()
          return response
        }
        return { ...response, body: untilEnd(response.body, end) }
      } catch (error) {
        end()
        throw error
      }
    },
    count: () => count,
    whenIdle: () => count === 0 ? Promise.resolve() : new Promise(resolve => { waiting.add(resolve) })
  }
}

async function * untilEnd (body: Exclude<CallerResponse['body'], string | Uint8Array>, end: () => void): AsyncIterable<string> {
  try {
    yield * body
  } finally {
    end()
  }
}
