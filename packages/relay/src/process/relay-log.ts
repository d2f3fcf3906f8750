/**
 * Structured log lines through a bounded queue: if the reader is too slow, lines are dropped and the process does not wait.
 */
import { Writable } from 'node:stream'
import { createLogger, format, transports } from 'winston'

/** All events that are logged. */
export enum RelayEvent {
  Started = 'started',
  Stopping = 'stopping',
  Stopped = 'stopped',
  Reloaded = 'reloaded',
  Ready = 'ready',
  NotReady = 'not-ready',
  ConfigurationInForce = 'configuration-in-force',
  ConfigurationRefused = 'configuration-refused',
  ConfigurationBehind = 'configuration-behind',
  FreshnessChecked = 'freshness-learnt',
  TargetListed = 'target-listed',
  TargetLayers = 'target-layers',
  TargetLeaving = 'target-leaving',
  TargetGone = 'target-gone',
  TargetSuspected = 'target-suspected',
  TargetsUnreachable = 'targets-unreachable',
  TargetsReachable = 'targets-reachable',
  TargetPaused = 'target-paused',
  TargetPauseFaulty = 'target-pause-faulty',
  TargetLimited = 'target-limited',
  TargetLimitFaulty = 'target-limit-faulty',
  TargetOutdated = 'target-entry-outdated',
  TargetSkipped = 'target-entry-skipped',
  StoreLost = 'store-lost',
  StoreRecovered = 'store-regained',
  StoreFollowed = 'store-followed',
  StorePageCut = 'store-page-cut',
  StoreHistoryGone = 'store-history-gone',
  StoreRestored = 'store-restored',
  StoreEraFaulty = 'store-era-faulty',
  StoreAnswerDropped = 'store-answer-dropped',
  RelayedPageDropped = 'relayed-page-dropped',
  PeerReplyTooLong = 'peer-reply-too-long',
  PeerListed = 'peer-listed',
  PeerGone = 'peer-gone',
  PeerRefused = 'peer-message-refused',
  ContentJudged = 'content-judged',
  ContentQuarantined = 'content-quarantined',
  ContentRecorded = 'content-recorded',
  ContentRecordRefused = 'content-record-refused',
  AdmissionLevelChanged = 'admission-level-changed',
  DomainShareChanged = 'domain-share-changed',
  LeaseHeld = 'lease-held',
  LeaseLost = 'lease-lost',
  OrderSent = 'order-sent',
  OrderWithheld = 'order-withheld',
  AdmissionWaited = 'admission-waited',
  AdmissionRefused = 'admission-refused',
  RequestAnswered = 'request-answered',
  RequestRefused = 'request-refused',
  RequestFailed = 'request-failed',
  RequestHandedOver = 'request-handed-over',
  HandOverFailed = 'hand-over-failed',
  RequestLeft = 'request-left-by-caller',
  /** Whether a target has survived the end of an answer without a length, which is whole only then. */
  AnswerEndJudged = 'answer-end-judged',
  SendFailed = 'send-failed',
  StreamResumed = 'stream-resumed',
  StreamMoved = 'stream-moved',
  StreamStalled = 'stream-stalled',
  /** Clients were refused, or their connections closed, because they do not keep to the limits; at most once a second. */
  ClientsRefused = 'clients-refused',
  InternalFault = 'internal-fault',
  LinesDropped = 'lines-dropped'
}

/** Fields of one log line. */
export type RelayLogFields = Record<string, string | number | boolean | undefined>

/** Writes one log line per event. */
export interface RelayLog {
  info: (event: RelayEvent, fields?: RelayLogFields) => void
  warn: (event: RelayEvent, fields?: RelayLogFields) => void
}

/** A log that writes nothing. */
export const SILENT_RELAY_LOG: RelayLog = { info: () => {}, warn: () => {} }

/** Size limit of the output queue, bytes: some seconds of log lines under full load. */
const QUEUE_BYTES_LIMIT = 262_144

/**
 * Creates a log that writes JSON lines to a stream.
 * @param countDropped called with the number of dropped lines.
 */
export function createRelayLog (level: string, vm: string, output: Writable, countDropped: (lines: number) => void): RelayLog {
  let dropped = 0
  const bounded = new Writable({
    decodeStrings: false,
    write (line: string, _encoding, done) {
      if (output.writableLength > QUEUE_BYTES_LIMIT) {
        dropped += 1
        countDropped(1)
      } else {
        if (dropped > 0) output.write(JSON.stringify({ event: RelayEvent.LinesDropped, vm, lines: dropped }) + '\n')
        dropped = 0
        output.write(line)
      }
      done()
    }
  })
  const line = format.printf(({ level, message, ...fields }) =>
    JSON.stringify({ time: new Date().toISOString(), level, event: message, vm, ...fields }))
  const winston = createLogger({ level, format: line, transports: [new transports.Stream({ stream: bounded })] })
  return {
    info: (event, fields) => { winston.info(event, fields) },
    warn: (event, fields) => { winston.warn(event, fields) }
  }
}
