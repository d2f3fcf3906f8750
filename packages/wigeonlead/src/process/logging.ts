/**
 * Logging: one line of key=value pairs for each event.
 */
import { createLogger as createWinstonLogger, format, transports } from 'winston'

/** All events that are logged. */
export enum LogEvent {
  Started = 'started',
  Stopping = 'stopping',
  Stopped = 'stopped',
  ConfigurationInForce = 'configuration-in-force',
  ConfigurationRefused = 'configuration-refused',
  ConfigurationWrittenBack = 'configuration-written-back',
  /** The answer has begun; a streamed one may still be in progress. */
  RequestAnswered = 'request-answered',
  TargetFailed = 'target-failed',
  MemberChanged = 'member-changed',
  PeerRefused = 'peer-refused',
  OrderSent = 'order-sent',
  LeaseAcquired = 'lease-acquired',
  LeaseLost = 'lease-lost',
  EngineOrdered = 'engine-ordered',
  TargetLeaving = 'target-leaving',
  TargetServing = 'target-serving',
  SessionMoved = 'session-moved',
  RequestCutOff = 'request-cut-off',
  /** Clients were refused, or their connections closed, because they do not keep to the limits; at most once a second. */
  ClientsRefused = 'clients-refused',
  InternalFault = 'internal-fault'
}

/** Fields of one log line; undefined ones are left out. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** Writes events to the log. */
export interface Logger {
  info: (event: LogEvent, fields?: LogFields) => void
  warn: (event: LogEvent, fields?: LogFields) => void
}

/** Creates a logger that writes to standard error. */
export function createLogger (level: string, vm: string): Logger {
  const line = format.printf(({ timestamp, level, message, ...fields }) =>
    renderLine({ time: timestamp, level, event: message, vm, ...fields }))
  const winston = createWinstonLogger({
    level,
    format: format.combine(format.timestamp(), line),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
  return {
    info: (event, fields) => { winston.info(event, fields) },
    warn: (event, fields) => { winston.warn(event, fields) }
  }
}

/** A logger that discards all events. */
export const SILENT_LOGGER: Logger = { info: () => {}, warn: () => {} }

/** @returns fields as `key=value` pairs; values that are empty or contain whitespace, quotes or `=` are quoted, undefined ones left out. */
export function renderLine (fields: Record<string, unknown>): string {
  return Object.entries(fields).filter(([, value]) => value !== undefined).map(([key, value]) => `${key}=${quote(String(value))}`).join(' ')
}

function quote (text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)
}
