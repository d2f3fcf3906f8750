/**
 * The content quarantine of one VM on a paused clock, with helpers that let requests begin, end and lose their targets.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import { SILENT_RELAY_LOG, createContentQuarantine, type ContentQuarantine, type RequestContent } from '@wigeonlead/relay'

/** One VM. */
export interface Vm {
  clock: Clock
  quarantine: ContentQuarantine
  /** Lets requests with these parts, each another one, lose one target that they were sent to some milliseconds before. */
  lose: (parts: string[], options?: { sentAgo?: number, hasHead?: boolean, target?: string }) => void
  begin: (...parts: string[]) => void
  /** Lets requests with these parts, each another one, lose a target within their answer. */
  break: (parts: string[], options?: { sentAgo?: number, target?: string, digest?: string }) => void
  /** Lets an answer to a request with these parts begin and come to its regular end. */
  complete: (...parts: string[]) => void
  isRefused: (...parts: string[]) => boolean
  mayRepeat: (...parts: string[]) => boolean
  /** Lets one target end under requests with these digests and no parts, which were sent there some milliseconds before. */
  crash: (target: string, digests: string[], options?: { sentAgo?: number }) => void
  request: (digest: string) => RequestContent
  /** Lets an answer to the request with this digest begin. */
  answer: (digest: string) => void
  isRequestRefused: (digest: string) => boolean
}

/** One pattern of losses and proofs, and what must follow from it. */
export interface QuarantineCase {
  name: string
  play: (vm: Vm) => void
}

function createVm (clock: Clock): Vm {
  const quarantine = createContentQuarantine(SILENT_RELAY_LOG)
  let nextTarget = 1
  let nextRequest = 1
  const withParts = (parts: string[]): RequestContent => {
    const digest = `request-${nextRequest++}`
    return { service: 'model', parts, digest: () => digest }
  }
  const request = (digest: string): RequestContent => ({ service: 'model', parts: [], digest: () => digest })
  return {
    clock,
    quarantine,
    lose (parts, { sentAgo = 100, hasHead = true, target = `t${nextTarget++}@1` } = {}) {
      clock.tick(200)
      quarantine.recordLoss(withParts(parts), { incarnation: target, sentAt: performance.now() - sentAgo, hasHead })
    },
    begin: (...parts) => quarantine.recordBegin(withParts(parts)),
    break (parts, { sentAgo = 100, target = `t${nextTarget++}@1`, digest } = {}) {
      clock.tick(200)
      const content = digest === undefined ? withParts(parts) : { ...request(digest), parts }
      quarantine.recordBegin(content)
      quarantine.recordLoss(content, { incarnation: target, sentAt: performance.now() - sentAgo, hasHead: true, hasEvents: true })
    },
    complete (...parts) {
      clock.tick(1)
      const content = withParts(parts)
      quarantine.recordBegin(content)
      quarantine.recordCompletion(content)
    },
    isRefused: (...parts) => quarantine.find(withParts(parts)) !== undefined,
    mayRepeat: (...parts) => quarantine.mayRepeat(withParts(parts)),
    crash (target, digests, { sentAgo = 100 } = {}) {
      clock.tick(200)
      for (const digest of digests) {
        quarantine.recordLoss(request(digest), { incarnation: target, sentAt: performance.now() - sentAgo, hasHead: false })
      }
    },
    request,
    answer (digest) {
      clock.tick(1)
      quarantine.recordBegin(request(digest))
    },
    isRequestRefused: digest => quarantine.find(request(digest)) !== undefined
  }
}

/** Runs each case on a VM of its own, without evidence. */
export function playCases (suiteName: string, cases: readonly QuarantineCase[]): void {
  const quarantines = suite(suiteName)
  for (const { name, play } of cases) {
    quarantines(name, () => {
      const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
      try {
        play(createVm(clock))
      } finally {
        clock.uninstall()
      }
    })
  }
  quarantines.run()
}
