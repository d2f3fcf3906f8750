/**
 * Decides when a client has taken too long, and which connection closes where there are too many.
 */

/** What a client does at the moment. */
export enum ClientPhase {
  /** Nothing of a request has arrived since the last answer. */
  Idle = 'idle',
  Head = 'head',
  Body = 'body',
  /** The whole request has arrived and is handled. */
  Waiting = 'waiting',
  /** The answer is ready, and the client has not read it. */
  Unread = 'unread'
}

/** Limits of one listener for its clients. */
export interface ClientLimits {
  /** Size limit of a head, bytes. */
  headBytes: number
  /** Size limit of what a client sends as a body to a listener that reads no bodies, bytes; by default, the handler limits the body. */
  unreadBodyBytes?: number
  /** Time for a whole head, milliseconds. */
  headTimeoutMilliseconds: number
  /** Time without any progress of a request, of an answer, or between two requests, milliseconds. */
  idleTimeoutMilliseconds: number
  connections: number
}

/** Limits of a listener that reads no bodies, for operators and probes. */
export const BODILESS_LIMITS: ClientLimits = {
  headBytes: 16_384, unreadBodyBytes: 65_536, headTimeoutMilliseconds: 3000, idleTimeoutMilliseconds: 15_000, connections: 100
}

/** What is known of a connection. */
export interface ClientState {
  phase: ClientPhase
  /** Start of the phase; for a body, its latest byte. Milliseconds of the monotonic clock. */
  since: number
}

/** How much longer than the limits a connection is kept, milliseconds: what a client has sent in time may arrive late. */
const SLACK_MILLISECONDS = 1000

const TIMEOUTS: Record<ClientPhase, (limits: ClientLimits) => number> = {
  [ClientPhase.Idle]: limits => limits.idleTimeoutMilliseconds,
  [ClientPhase.Head]: limits => limits.headTimeoutMilliseconds,
  [ClientPhase.Body]: limits => limits.idleTimeoutMilliseconds,
  [ClientPhase.Waiting]: () => Infinity,
  // The runtime notices whether an answer makes progress.
  [ClientPhase.Unread]: () => Infinity
}

/** Whether a client has exceeded its time. */
export function isOverdue ({ phase, since }: ClientState, limits: ClientLimits, now: number): boolean {
  return now - since > TIMEOUTS[phase](limits) + SLACK_MILLISECONDS
}

/** Phases in which a connection may be closed for a new one, the first ones first. */
const CLOSING_ORDER = [ClientPhase.Idle, ClientPhase.Head, ClientPhase.Body, ClientPhase.Unread]

/** @returns the connection that closes for a new one: the longest in its phase; undefined if the requests of all are being handled. */
export function chooseConnectionToClose<Connection extends ClientState> (connections: Iterable<Connection>): Connection | undefined {
  let chosen: Connection | undefined
  let chosenRank = Infinity
  for (const connection of connections) {
    const rank = CLOSING_ORDER.indexOf(connection.phase)
    if (rank < 0 || rank > chosenRank || (rank === chosenRank && connection.since >= chosen!.since)) continue
    chosen = connection
    chosenRank = rank
  }
  return chosen
}
