/**
 * Forwards the events of one answer to the caller, and decides whether its end is the end of the whole answer.
 */
import { NO_MEMORY, followBody } from '@wigeonlead/protocol'
import { SendResult, hasLength, type SendOutcome } from '../connection/target-client.js'
import { TargetState } from '../process/suspicion/target-life.js'
import { contentOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import { AnswerProgress, RunEnd, recordEventTime, type EventsProgress, type RunOutcome } from './event-progress.js'
import { createEventSplitter, type StreamEvent } from './event-splitter.js'

/** A send whose answer has begun. */
export type AnsweredSend = Extract<SendOutcome, { kind: SendResult.Answered }>

const SUCCESS_STATUS = 200

/** How a run follows the forwarding of its events. */
export interface EventForwarding {
  onProgress: () => void
  /** Called with the first event of the run. */
  onBegin?: () => void
  /**
   * Called at the start with a function for a run that is about to be given up: if the whole answer has arrived, it is forwarded without
   * waiting for its caller to read on. The function returns whether that is so.
   */
  onStart: (deliverRest: () => boolean) => void
  /** @returns why the run was aborted; empty if it was not. */
  abortReason: () => string
  /** Whether the sender of an answer without a length has survived the end of its connection, which then is the end of the answer. */
  stateOfSender: () => Promise<TargetState>
}

/** Forwards the events of an answer to the caller as they arrive, until the answer ends. */
export function forwardEvents (
  request: AdmittedRequest, answer: AnsweredSend, progress: EventsProgress, dependencies: RequestDependencies,
  { onProgress, onBegin, onStart, abortReason, stateOfSender }: EventForwarding
): Promise<RunOutcome> {
  const caller = request.exchange.response
  const { response } = answer
  const isContinuation = progress.isHeadSent
  return new Promise(resolve => {
    let isFinished = false
    let isRestDelivered = false
    const holding = answer.openHolding(() => abortAnswer(NO_MEMORY))
    const splitter = createEventSplitter(holding)

    function finish (end: RunEnd, reason: string): void {
      isFinished = true
      holding.clear()
      resolve({ end, status: SUCCESS_STATUS, reason })
    }

    function abortAnswer (reason: string): void {
      response.destroy()
      finish(RunEnd.Broken, reason)
    }

    /** Wraps a handler whose exceptions nothing else would catch: they end the run instead of the process. */
    function guarded<Arguments extends unknown[]> (handler: (...values: Arguments) => void): (...values: Arguments) => void {
      return (...values) => {
        try {
          handler(...values)
        } catch (error) {
          abortAnswer((error as Error).message)
        }
      }
    }

    onStart(deliverRest)
    followBody(response, { onData: guarded(onData), onEnd: guarded(onEnd) })

    function onData (chunk: Buffer): void {
      if (response.destroyed || caller.destroyed) return
      const completeEvents: StreamEvent[] = []
      for (const event of splitter.push(chunk)) {
        if (event.id !== undefined) {
          if (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1) {
            forward(completeEvents)
            return abortAnswer(`event ${event.id} follows event ${progress.lastEvent}`)
          }
          progress.lastEvent = event.id
        } else if (progress.lastEvent !== undefined && !event.isComment) {
          forward(completeEvents)
          return abortAnswer(`an event without an id follows event ${progress.lastEvent}`)
        }
        completeEvents.push(event)
      }
      forward(completeEvents)
    }

    function onEnd (error?: Error): void {
      if (isFinished) return
      if (error !== undefined) {
        return finish(request.exchange.callerLeft.aborted ? RunEnd.CallerLeft : RunEnd.Broken, abortReason() || error.message)
      }
      if (splitter.hasRemainder()) return finish(RunEnd.Broken, 'the answer ended within an event')
      if (hasLength(response)) return finishComplete()
      void judgeEnd().catch((error: Error) => abortAnswer(error.message))
    }

    /** Decides whether the end of a connection is the end of an answer that states no length. */
    async function judgeEnd (): Promise<void> {
      const [isConfirmed, state] = await Promise.all([answer.isEndConfirmed(), stateOfSender()])
      if (isFinished) return
      if (request.exchange.callerLeft.aborted) return finish(RunEnd.CallerLeft, abortReason())
      if (isConfirmed && state === TargetState.Lives) return finishComplete()
      if (!isConfirmed) progress.unprovenEnd = undefined
      finish(RunEnd.Broken, isConfirmed ? `the answer may be incomplete: target ${state}` : 'the connection was reset')
    }

    function deliverRest (): boolean {
      if (isFinished || response.destroyed || !response.complete || !hasLength(response)) return false
      isRestDelivered = true
      response.resume()
      return true
    }

    function finishComplete (): void {
      // One answer without events does not prove that the earlier run had sent the last one.
      const isEmptyContinuation = isContinuation && progress.presentRun !== AnswerProgress.Events
      if (isEmptyContinuation && progress.hasEmptyContinuation !== true) {
        progress.hasEmptyContinuation = true
        return finish(RunEnd.Broken, `nothing follows event ${progress.lastEvent}`)
      }
      if (!progress.isHeadSent) writeHead()
      caller.end()
      if (progress.presentRun === AnswerProgress.Events) dependencies.contentQuarantine.recordCompletion(contentOf(request))
      finish(RunEnd.Complete, '')
    }

    function forward (events: readonly StreamEvent[]): void {
      if (events.length === 0) return
      onProgress()
      // Comments may come from a target that does not get as far as the first event.
      if (events.some(({ isComment }) => !isComment)) recordEvents()
      if (!progress.isHeadSent) writeHead()
      if (caller.write(events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(({ bytes }) => bytes))) || isRestDelivered) return
      response.pause()
      caller.once('drain', () => {
        if (isFinished) return
        onProgress()
        // The caller held the answer up: the time until it reads on is no pause of the answer.
        progress.latestEventAt = performance.now()
        response.resume()
      })
    }

    function recordEvents (): void {
      if (progress.presentRun !== AnswerProgress.Events) {
        progress.presentRun = AnswerProgress.Events
        progress.presentRunBeganAt = performance.now()
        dependencies.contentQuarantine.recordBegin(contentOf(request))
        onBegin?.()
      }
      recordEventTime(progress)
    }

    function writeHead (): void {
      const headers = dependencies.dialect.answerHeaders(response.rawHeaders)
      if (caller.hasHeader('Connection')) headers.push('Connection', 'close')
      caller.writeHead(SUCCESS_STATUS, headers as unknown as Record<string, string>)
      progress.isHeadSent = true
      dependencies.metrics.observe('first_event', performance.now() - request.arrivedAt)
    }
  })
}
