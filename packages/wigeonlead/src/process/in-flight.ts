/**
 * Counts the requests in flight so that a graceful shutdown can wait for the last one, and cuts them off where operators
 * set a limit.
 */
import { OrderState, ProblemType, Submission, createProblem, type Problem } from '@wigeonlead/protocol'
import { problemResponse, type CallerHandler, type CallerRequest, type CallerResponse } from '../request/index.js'

/** The requests in flight. */
export interface InFlight {
  /** Wraps a handler so that its requests are counted until their last byte was handed out. */
  track: (handler: CallerHandler) => CallerHandler
  count: () => number
  /** Resolves once nothing is in flight. */
  whenIdle: () => Promise<void>
  /** Ends every request now: each is answered that this node stops and that its order's state is unknown. */
  cutOff: () => void
}

type StreamedBody = Exclude<CallerResponse['body'], string | Uint8Array>

/**
 * Makes an empty count.
 * @param onCutOff is told of each request that is cut off.
 */
export function createInFlight (onCutOff: (request: CallerRequest) => void = () => {}): InFlight {
  const waiting = new Set<() => void>()
  const tracked = new Map<CallerRequest, AbortController>()

  function settle (): void {
    if (tracked.size > 0) return
    for (const resolve of waiting) resolve()
    waiting.clear()
  }

  function end (request: CallerRequest): void {
    tracked.delete(request)
    settle()
  }

  return {
    track: handler => async request => {
      const cut = new AbortController()
      const isCut = whenAborted(cut.signal)
      tracked.set(request, cut)
      try {
        const signal = AbortSignal.any([request.signal, cut.signal])
        const response = await Promise.race([handler({ ...request, signal }), isCut.then(() => problemResponse(cutOffProblem()))])
        if (typeof response.body === 'string' || response.body instanceof Uint8Array) {
          end(request)
          return response
        }
        return { ...response, body: untilEnd(response.body, cut.signal, () => end(request)) }
      } catch (error) {
        end(request)
        throw error
      }
    },
    count: () => tracked.size,
    whenIdle: () => new Promise(resolve => {
      waiting.add(resolve)
      settle()
    }),
    cutOff () {
      for (const [request, cut] of [...tracked]) {
        onCutOff(request)
        cut.abort()
      }
    }
  }
}

/** Passes the pieces on until the body ends or is cut off; then says so once. */
function untilEnd (body: StreamedBody, cut: AbortSignal, end: () => void): StreamedBody {
  const pieces = body[Symbol.asyncIterator]()
  let isEnded = false
  let onCut = (): void => {}
  cut.addEventListener('abort', () => onCut(), { once: true })

  function close (): void {
    if (isEnded) return
    isEnded = true
    end()
  }

  function nextOrCut (): Promise<IteratorResult<string> | undefined> {
    if (cut.aborted) return Promise.resolve(undefined)
    return new Promise((resolve, reject) => {
      onCut = () => resolve(undefined)
      pieces.next().then(resolve, reject)
    })
  }

  async function next (): Promise<IteratorResult<string>> {
    if (isEnded) return { done: true, value: undefined }
    try {
      const piece = await nextOrCut()
      if (piece?.done === true) close()
      if (piece !== undefined) return piece
    } catch (error) {
      close()
      throw error
    }
    close()
    void pieces.return?.()
    return { done: false, value: `event: error\ndata: ${JSON.stringify({ error: cutOffProblem() })}\n\n` }
  }

  async function leave (): Promise<IteratorResult<string>> {
    if (!isEnded) void pieces.return?.()
    close()
    return { done: true, value: undefined }
  }

  return { [Symbol.asyncIterator]: () => ({ next, return: leave }) }
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
