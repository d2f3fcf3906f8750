/**
 * Tracks the requests in flight, so that a graceful shutdown can wait for the last one and cut off those that exceed the limit
 * in the settings.
 */
import { OrderState, ProblemType, Submission, createProblem, type Problem } from '@wigeonlead/protocol'
import { problemResponse, type CallerHandler, type CallerRequest, type CallerResponse } from '../request/index.js'

/** The requests in flight. */
export interface InFlightRequests {
  /** Wraps a handler so that each request counts as in flight until the last byte of its response was delivered. */
  track: (handler: CallerHandler) => CallerHandler
  count: () => number
  /** Resolves once no request is in flight. */
  whenIdle: () => Promise<void>
  /** Ends every request at once with a problem that says that this node stops and that the state of the request's order is unknown. */
  cutOff: () => void
}

type StreamedBody = Exclude<CallerResponse['body'], string | Uint8Array>

/**
 * Creates a tracker without requests.
 * @param onCutOff is called with each request that is cut off.
 */
export function createInFlightRequests (onCutOff: (request: CallerRequest) => void = () => {}): InFlightRequests {
  const idleWaiters = new Set<() => void>()
  const controllers = new Map<CallerRequest, AbortController>()

  function resolveIfIdle (): void {
    if (controllers.size > 0) return
    for (const resolve of idleWaiters) resolve()
    idleWaiters.clear()
  }

  function end (request: CallerRequest): void {
    controllers.delete(request)
    resolveIfIdle()
  }

  return {
    track: handler => async request => {
      const controller = new AbortController()
      const whenCutOff = whenAborted(controller.signal)
      controllers.set(request, controller)
      try {
        const signal = AbortSignal.any([request.signal, controller.signal])
        const response = await Promise.race([handler({ ...request, signal }), whenCutOff.then(() => problemResponse(cutOffProblem()))])
        if (typeof response.body === 'string' || response.body instanceof Uint8Array) {
          end(request)
          return response
        }
        return { ...response, body: trackBody(response.body, controller.signal, () => end(request)) }
      } catch (error) {
        end(request)
        throw error
      }
    },
    count: () => controllers.size,
    whenIdle: () => new Promise(resolve => {
      idleWaiters.add(resolve)
      resolveIfIdle()
    }),
    cutOff () {
      for (const [request, controller] of [...controllers]) {
        onCutOff(request)
        controller.abort()
      }
    }
  }
}

/**
 * Returns a body that passes on the chunks of another one until it ends or is cut off.
 * @param onEnd is called once: when the body ends, fails, is cut off or is no longer read.
 */
function trackBody (body: StreamedBody, cutOffSignal: AbortSignal, onEnd: () => void): StreamedBody {
  const chunks = body[Symbol.asyncIterator]()
  let isEnded = false
  let onCutOff = (): void => {}
  cutOffSignal.addEventListener('abort', () => onCutOff(), { once: true })

  function endOnce (): void {
    if (isEnded) return
    isEnded = true
    onEnd()
  }

  function nextOrCutOff (): Promise<IteratorResult<string> | undefined> {
    if (cutOffSignal.aborted) return Promise.resolve(undefined)
    return new Promise((resolve, reject) => {
      onCutOff = () => resolve(undefined)
      chunks.next().then(resolve, reject)
    })
  }

  async function next (): Promise<IteratorResult<string>> {
    if (isEnded) return { done: true, value: undefined }
    try {
      const chunk = await nextOrCutOff()
      if (chunk?.done === true) endOnce()
      if (chunk !== undefined) return chunk
    } catch (error) {
      endOnce()
      throw error
    }
    endOnce()
    void chunks.return?.()
    return { done: false, value: `event: error\ndata: ${JSON.stringify({ error: cutOffProblem() })}\n\n` }
  }

  async function cancel (): Promise<IteratorResult<string>> {
    if (!isEnded) void chunks.return?.()
    endOnce()
    return { done: true, value: undefined }
  }

  return { [Symbol.asyncIterator]: () => ({ next, return: cancel }) }
}

function cutOffProblem (): Problem {
  return createProblem(ProblemType.NotReady, 'this node stops and cut the request off', {
    submission: Submission.Sent, order: OrderState.Unknown, retryAfterSeconds: 1
  })
}

function whenAborted (signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    signal.addEventListener('abort', () => resolve(), { once: true })
  })
}
