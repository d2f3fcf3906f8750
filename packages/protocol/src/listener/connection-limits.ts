/**
 * Limits of what a client sends on one connection.
 */

/** Limits of one listener for its clients. */
export interface ClientLimits {
  /** Size limit of a head, bytes. */
  headBytes: number
  /** Size limit of what a client sends as a body to a listener that reads no bodies, bytes; by default, the handler limits the body. */
  unreadBodyBytes?: number
}

/** Limits of a listener that reads no bodies, for operators and probes. */
export const BODILESS_LIMITS: ClientLimits = {
  headBytes: 16_384, unreadBodyBytes: 65_536
}
