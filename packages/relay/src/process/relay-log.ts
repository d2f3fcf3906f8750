/**
 * Structured log lines through a bounded queue: a reader that does not keep up costs lines, never time.
 */
import { Writable } from 'node:stream'
import { createLogger, format, transports } from 'winston'

/** The closed set of logged events. */
export enum RelayEvent {
  Started = 'started',
  Stopping = 'stopping',
  Stopped = 'stopped',
  Reloaded = 'reloaded',
  Ready = 'ready',
  NotReady = 'not-ready',
  ConfigurationInForce = 'configuration-in-force',
  ConfigurationRefused = 'configuration-refused',
  FreshnessLearnt = 'freshness-learnt',
  TargetListed = 'target-listed',
  TargetLayers = 'target-layers',
  TargetLeaving = 'target-leaving',
  TargetGone = 'target-gone',
  TargetSuspected = 'target-suspected',
  TargetSkipped = 'target-entry-skipped',
  StoreLost = 'store-lost',
  StoreRegained = 'store-regained',
  StoreFollowed = 'store-followed',
  StoreHistoryGone = 'store-history-gone',
  PeerListed = 'peer-listed',
  PeerGone = 'peer-gone',
  PeerRefused = 'peer-message-refused',
  LeaseHeld = 'lease-held',
  LeaseLost = 'lease-lost',
  OrderSent = 'order-sent',
  OrderWithheld = 'order-withheld',
  RequestAnswered = 'request-answered',
  RequestRefused = 'request-refused',
  RequestFailed = 'request-failed',
  RequestLeft = 'request-left-by-caller',
  SendFailed = 'send-failed',
  StreamResumed = 'stream-resumed',
  StreamMoved = 'stream-moved',
  StreamStalled = 'stream-stalled',
  InternalFault = 'internal-fault',
  LinesDropped = 'lines-dropped'
}

/** Values of one line. */
export type RelayLogFields = Record<string, string | number | boolean | undefined>

/** Writes one line an event. */
export interface RelayLog {
  note: (event: RelayEvent, fields?: RelayLogFields) => void
  warn: (event: RelayEvent, fields?: RelayLogFields) => void
}

/** A log that writes nothing. */
export const SILENT_RELAY_LOG: RelayLog = { note: () => {}, warn: () => {} }

/** Bytes that may wait for the reader of standard output: some seconds of lines under full load. */
const WAITING_BYTES_LIMIT = 262_144

/** Makes a log that writes JSON lines to a stream. */
export function createRelayLog (level: string, vm: string, output: Writable, countDropped: (lines: number) => void): RelayLog {
  let dropped = 0
  const bounded = new Writable({
    decodeStrings: false,
    write (line: string, _encoding, done) {
      if (output.writableLength > WAITING_BYTES_LIMIT) {
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
    note: (event, fields) => { winston.info(event, fields) },
    warn: (event, fields) => { winston.warn(event, fields) }
  }
}
