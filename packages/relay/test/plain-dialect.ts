/**
 * A dialect with short header names, for tests that do not depend on a deployment's format.
 */
import { OrderResult, type Dialect } from '@wigeonlead/relay'

const CONNECTION_HEADERS = /^(content-length|transfer-encoding|connection|x-reached|x-further|x-waited|x-version|x-arrivals)$/i

const TERMS_HEADERS = /^(content-length|transfer-encoding|connection|x-wait|last-event-id|x-reached|x-further|x-waited|x-version)$/i

/** Reads and writes only the fields that the tests check. */
export const PLAIN_DIALECT: Dialect = {
  readCaller: headers => ({
    requestId: headers['x-request'] as string | undefined,
    waitMilliseconds: headers['x-wait'] === undefined ? undefined : Number(headers['x-wait']),
    key: headers.authorization,
    lastEvent: headers['last-event-id'] === undefined ? undefined : Number(headers['last-event-id']),
    promptTokens: 10,
    maximumAnswerTokens: 10,
    waitedMilliseconds: headers['x-waited'] === undefined ? undefined : Number(headers['x-waited']),
    configurationVersion: headers['x-version'] === undefined ? undefined : Number(headers['x-version']),
    handOver: headers['x-further'] === undefined
      ? undefined
      : { reachedTargets: readList(headers['x-reached']), furtherTargets: Number(headers['x-further']) },
    sharedPromptParts: headers['x-parts'] === undefined ? undefined : String(headers['x-parts']).split(',').slice(0, -1)
  }),
  writeHeaders: (rawHeaders, terms) => [
    ...withoutConnectionHeaders(rawHeaders), 'X-Target', terms.targetId, 'X-Wait', String(terms.waitMilliseconds),
    ...(terms.lastEvent === undefined ? [] : ['X-Last', String(terms.lastEvent)])
  ],
  writeHandOverHeaders: (rawHeaders, terms) => [
    ...rawHeaders.filter((_, index) => !TERMS_HEADERS.test(rawHeaders[index - index % 2]!)),
    'X-Wait', String(terms.waitMilliseconds),
    'X-Reached', terms.reachedTargets.join(), 'X-Further', String(terms.furtherTargets), 'X-Waited', String(terms.waitedMilliseconds),
    'X-Version', String(terms.configurationVersion),
    ...(terms.lastEvent === undefined ? [] : ['Last-Event-Id', String(terms.lastEvent)])
  ],
  writeReachReport: ({ reachedTargets, arrivals }) => ({ 'X-Reached': reachedTargets.join(), 'X-Arrivals': String(arrivals) }),
  readAnswer: headers => ({
    requestId: headers['x-request'] as string | undefined,
    isSealed: headers['x-seal'] !== undefined,
    isNotRun: headers['x-not-run'] !== undefined,
    isLeaving: headers['x-leaving'] !== undefined,
    pauseSeconds: headers['retry-after'] === undefined ? undefined : Number(headers['retry-after']),
    requestsPerSecond: headers['x-limit'] === undefined ? undefined : Number(headers['x-limit']),
    isEventStream: headers['content-type'] === 'text/event-stream',
    reachReport: headers['x-arrivals'] === undefined
      ? undefined
      : { reachedTargets: readList(headers['x-reached']), arrivals: Number(headers['x-arrivals']) }
  }),
  answerHeaders: withoutConnectionHeaders,
  reportPath: '/report',
  readReport: text => JSON.parse(text),
  orderPath: '/order',
  writePlaceOrder: order => JSON.stringify(order),
  readOrderStatus: status => status < 300 ? OrderResult.Accepted : OrderResult.Conflict,
  repathPath: '/repath',
  writeRepathOrder: (requestId, stages) => JSON.stringify({ requestId, stages }),
  readFaultyAddress: () => undefined,
  ownCallHeaders: () => ({}),
  readinessPath: '/ready'
}

function readList (text: string | string[] | undefined): string[] {
  return String(text ?? '').split(',').filter(element => element !== '')
}

function withoutConnectionHeaders (rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => !CONNECTION_HEADERS.test(rawHeaders[index - index % 2]!))
}
