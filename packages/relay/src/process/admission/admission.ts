/**
 * Decides which requests start now, which wait and which are refused, where callers compete for too little capacity.
 */

/** Rank of a request: 0 is the most urgent. The workspace's priority, or else the route's. */
export type Rank = number

/** A request that asks to start. */
export interface AdmissionTicket<Start> {
  requestId: string
  service: string
  rank: Rank
  /** Name of the workspace; absent on anonymous routes. */
  workspace?: string
  /** Expected tokens of prompt and answer; 1 for plain services. */
  tokens: number
  /** Monotonic time after which waiting is of no use to the caller, milliseconds. */
  waitEndsAt: number
  /** Monotonic time by which the caller must have its answer, milliseconds: a third of what is left of it bounds a time to return. */
  deadline: number
  /**
   * Whether the request has been admitted before: its run broke, or it had withdrawn. It goes in front of first starts of its rank, and the
   * level neither counts nor refuses it again.
   */
  isRepeat?: boolean
  /** Whether the request has given up asking for capacity, because something other than capacity decides about it now. */
  isWithdrawn?: () => boolean
  /** Aborted when the caller leaves. */
  callerLeft: AbortSignal
  /**
   * Tries to reserve capacity for the request. It is called in the order of the queue whenever capacity may be free.
   * @returns the reserved start; undefined if there is no capacity for this request now.
   */
  tryStart: () => Start | undefined
}

export enum AdmissionResult {
  Started = 'started',
  /** The request will not start in time. */
  Refused = 'refused',
  /** The request gave up asking; see `AdmissionTicket.isWithdrawn`. */
  Withdrawn = 'withdrawn',
  CallerLeft = 'caller-left'
}

/** Outcome of an admission. */
export type AdmissionOutcome<Start> =
  | { result: AdmissionResult.Started, start: Start, waitedMilliseconds: number }
  | { result: AdmissionResult.Refused, reason: RefusalReason, retryAfterMilliseconds: number }
  | { result: AdmissionResult.Withdrawn }
  | { result: AdmissionResult.CallerLeft }

/** Why a request was not admitted. */
export enum RefusalReason {
  /** The fleet gives way at this rank. */
  Level = 'level',
  /** The queue holds as many requests as can start in time. */
  QueueFull = 'queue-full',
  /** No capacity became free in time. */
  WaitedTooLong = 'waited-too-long'
}

/** Admission of one VM. */
export interface Admission {
  /** Admits a request at once if nothing waits and there is capacity; else it waits in the queue of its service, or is refused. */
  enter: <Start>(ticket: AdmissionTicket<Start>) => Promise<AdmissionOutcome<Start>>
  /** Tells that capacity may have become free: a request of the service has ended, or its load has changed. */
  wake: (service: string) => void
  /** @returns the number of requests that wait for a service. */
  waiting: (service: string) => number
  /**
   * @param deadline monotonic time by which the caller must have its answer, milliseconds.
   * @returns milliseconds after which a caller that is refused for another reason than admission is to return; counted as promised.
   */
  returnMilliseconds: (service: string, rank: Rank, deadline: number) => number
  /**
   * @returns milliseconds after which a caller that the admission refuses now would be told to return, in the middle of the spread. It
   * promises nothing.
   */
  expectedReturnMilliseconds: (service: string, rank: Rank, deadline: number) => number
}

/** Admission level of the fleet. */
export interface AdmissionLevel {
  /**
   * Counts a request that has arrived, and decides whether its rank is served now.
   * @param workspace name of its workspace, whose floor applies.
   */
  admits: (service: string, rank: Rank, workspace?: string) => boolean
  /** Records that a request started, after waiting for the given time. */
  recordStart: (service: string, rank: Rank, waitedMilliseconds: number) => void
  /** Records that a request was refused for want of capacity. */
  recordRefusal: (service: string, rank: Rank) => void
  /** Records that a request was answered, and whether within its objectives. */
  recordEnd: (service: string, rank: Rank, isInTime: boolean) => void
}

/** Levels of one process, and the step that computes them. */
export interface SteppedAdmissionLevel extends AdmissionLevel {
  /** Computes the levels; called every `LEVEL_INTERVAL_MILLISECONDS` of `level.ts`. */
  step: () => void
  /** @returns the share of a rank's requests that is admitted now, over all workspaces. It counts nothing. */
  shareFor: (service: string, rank: Rank) => number
  /** @returns the level of a service: `OPEN_LEVEL` of `demand.ts` if everything is served. */
  levelOf: (service: string) => number
}
